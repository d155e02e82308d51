#ifndef SOURCE_AGENT_WORKFLOW_RUNNER_H_
#define SOURCE_AGENT_WORKFLOW_RUNNER_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "source/agent/lost_runs.h"
#include "source/agent/run_client.h"
#include "source/agent/run_table.h"
#include "source/agent/speed_limiter.h"
#include "source/agent/unconfirmed_starts.h"
#include "source/agent/worker_announcement.h"
#include "source/agent/worker_candidates.h"
#include "source/agent/worker_lease.h"
#include "source/base/active_clock.h"
#include "source/base/clock.h"
#include "source/base/decision_log.h"
#include "source/message/leader_tracker.h"
#include "source/message/role.h"
#include "source/message/transport.h"

namespace fulmarrock {

/// Settings of a runner.
struct WorkflowRunnerOptions {
  NodeId id;
  Incarnation incarnation = 0;
  std::vector<NodeId> control_members;
  /// Longest lease extension that the worker accepts at once.
  Millis max_lease_extension{6'000};
  /// Longest time from a stop request until the run has ended.
  Millis stop_timeout{400};
  /// Time within which the evacuation of a data centre has to take effect; zero
  /// if start instructions may be of any age.
  Millis evacuation_limit;
};

/// The agent's side of workflows: starts and stops runs on the worker beside it
/// as instructed by control, extends the worker's lease within the one that
/// control granted, and reports run ends until control has stored them.
class WorkflowRunner : public Role {
 public:
  /// The references outlive the runner.
  WorkflowRunner(WorkflowRunnerOptions options,
                 const Clock& clock,
                 Transport& transport,
                 RunClient& client,
                 BestEffortController::MakePolicy make_speed_limit_policy,
                 DecisionLog& decisions);

  /// Handles an announcement of a worker. The announcement of an incarnation
  /// other than the current one takes effect once the worker at its address has
  /// confirmed it. Returns false if it was ignored because it is from an
  /// earlier worker incarnation, or older than one that was handled before.
  bool OnAnnouncement(const WorkerAnnouncement& announcement);

  /// Handles the deregistration of a worker. It may be delayed, so that it is
  /// ignored unless the current incarnation sent it. Returns false if it was
  /// ignored.
  bool OnDeregistration(const WorkerDeregistration& deregistration);

  /// Replaces the members of the control group that the settings name.
  void SetSeeds(const std::vector<NodeId>& seeds) {
    m_leader_tracker.SetSeeds(seeds);
  }

  /// Whether the leader of the control group does not reply.
  bool IsSearchingLeader() const;

  // Role:
  void OnMessage(const NodeId& from, const Message& message) override;
  void OnTick() override;
  void BeginShutdown() override { m_is_shutting_down = true; }
  bool IsDrained() const override;
  std::string DumpState() const override;
  const Counters& counters() const override { return m_counters; }

 private:
  /// Whether an incarnation, if it is confirmed, takes the place of the current
  /// one.
  bool MayReplaceWorker(const WorkerAnnouncement& announcement,
                        WorkerIdentity identity) const;
  void OnConfirmedCandidate(const WorkerAnnouncement& announcement,
                            WorkerIdentity identity);
  void AdoptWorkerIncarnation(const WorkerAnnouncement& announcement);
  /// The current worker incarnation announces itself again.
  void UpdateWorker(const WorkerAnnouncement& announcement);
  /// The current worker incarnation announces itself after its deregistration.
  void ResumeDeregisteredWorker();
  /// Stops the runs of a worker that is about to end.
  void StopAllRuns();
  bool IsFromCurrentWorker(const WorkerDeregistration& deregistration) const;
  /// The worker announces a capacity that differs from the last one. Control
  /// has to learn of it before it places the next run there.
  void OnCapacityChange(const WorkerAnnouncement& announcement);
  void OnInstructions(const NodeId& from,
                      const WorkerInstructions& instructions);
  /// Handles a start instruction for a task that the agent has a run of.
  /// Returns false if it has none.
  bool OnRepeatedStartInstruction(const StartInstruction& instruction);
  /// Handles a start instruction for a task that the agent has no run of.
  void OnNewStartInstruction(const StartInstruction& instruction);
  void AddRun(const StartInstruction& instruction);
  /// Whether a start instruction may be from before an evacuation of the
  /// worker's data centre that the agent has not heard of.
  bool IsOutdated(const WorkerInstructions& instructions) const;
  void UpdateEvacuation(const WorkerInstructions& instructions);
  void OnStopInstruction(const RunId& instruction);
  void LogStopInstruction(const RunId& instruction, std::string_view outcome);
  void StartRun(const TaskName& task);
  void OnStartResponse(const TaskName& task,
                       RunNumber run,
                       Millis sent_at,
                       const StartResponse& response);
  void FinishStart(const TaskName& task, RunNumber run, StartResult result);
  /// Handles a refused start: the run ends, unless the worker may still execute
  /// an earlier start request for it; then the run is stopped.
  void RefuseRun(const TaskName& task, RunOutcome kind);
  void StopRun(const TaskName& task);
  void EndRun(const TaskName& task,
              RunNumber run,
              RunOutcome kind,
              std::string checkpoint,
              uint64_t end_number);

  bool NeedsPoll() const;
  /// Number up to which the worker may forget the ends that it listed.
  uint64_t AcknowledgedEnds() const;
  Millis MaxPollWait() const;
  void Poll();
  /// A poll in flight.
  struct SentPoll {
    Millis sent_at;
    bool has_extension = false;
    /// Whether the worker had deregistered.
    bool is_after_deregistration = false;
    /// Whether all starts for an earlier worker incarnation had been stopped.
    bool has_no_earlier_starts = false;
  };
  void OnPollResponse(const SentPoll& poll,
                      const tl::expected<PollResponse, PollError>& response);
  /// Handles a poll that got no response of the current worker incarnation.
  void OnPollError(const SentPoll& poll, const PollError& error);
  void OnPollOfOtherIncarnation(const SentPoll& poll);
  void ProcessEndedRuns(const PollResponse& response);
  void ProcessListedRuns(const PollResponse& response, Millis sent_at);
  /// Whether a confirmed stop must have ended the run when the worker received
  /// a poll that was sent at `poll_sent_at`.
  bool HasStopTimedOut(const LocalRun& local, Millis poll_sent_at) const;
  void ResolveUnlistedRuns(const std::set<TaskName>& listed_runs,
                           Millis sent_at);

  /// Whether another incarnation under the worker's id sent a response that
  /// includes this start time. Zero stands for none.
  bool IsOfOtherIncarnation(int64_t start_time_unix_ms) const;
  bool IsWorkerReachable() const;
  bool HaveAllRunsEnded() const;
  void CheckLeaseExpiry();
  bool IsReportDue() const;
  void SendReport();
  WorkerReport MakeReport();

  const WorkflowRunnerOptions m_options;
  const Clock& m_clock;
  Transport& m_transport;
  RunClient& m_client;
  DecisionLog& m_decisions;
  Counters m_counters;
  LeaderTracker m_leader_tracker;

  std::optional<WorkerAnnouncement> m_worker;
  WorkerCandidates m_candidates;
  bool m_is_deregistered = false;
  // Whether the worker has ended since its deregistration.
  bool m_has_ended = false;
  bool m_is_lease_expired = false;
  // Start instructions that reply to a report from before this time are
  // discarded: control did not know yet that the worker's lease had expired.
  Millis m_lease_expired_at;
  bool m_is_expiry_unreported = false;
  bool m_is_shutting_down = false;
  ActiveClock m_active_clock;
  // On the active clock.
  const Millis m_started_at;
  WorkerLease m_lease;
  Millis m_last_contact;
  LocalRuns m_runs;
  RunEventQueue m_events;

  // A new worker incarnation is reported to control only when no start that was
  // meant for an earlier one can execute in it any more.
  UnconfirmedStarts m_unconfirmed_starts;
  LostRuns m_lost_runs;

  // Counts worker incarnations. Responses to requests that were sent to an
  // earlier one are dropped.
  uint64_t m_incarnation_number = 0;
  bool m_is_polling = false;
  bool m_has_polled = false;
  // Highest number of an end that the last poll response listed; zero for none.
  uint64_t m_last_listed_end = 0;
  Millis m_next_poll;
  // Until then, on the active clock, the worker is polled even if it has no
  // known run.
  Millis m_poll_until;
  SpeedLimiter m_speed_limiter;

  Term m_term = 0;
  // Newest known state of the worker's data centre.
  uint64_t m_evacuation_version = 0;
  bool m_is_evacuated = false;
  bool m_needs_full_report = true;
  bool m_is_report_urgent = false;
  Millis m_last_report;
  uint64_t m_sent_sequence = 0;
  // When a report last held all events that control has not stored.
  Millis m_all_events_sent_at;
  std::vector<RunId> m_newly_confirmed;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_WORKFLOW_RUNNER_H_
