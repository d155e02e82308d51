#ifndef SOURCE_AGENT_WORKFLOW_RUNNER_H_
#define SOURCE_AGENT_WORKFLOW_RUNNER_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "source/agent/run_client.h"
#include "source/agent/run_table.h"
#include "source/agent/speed_limiter.h"
#include "source/agent/unanswered_starts.h"
#include "source/agent/worker_lease.h"
#include "source/base/clock.h"
#include "source/base/decision_log.h"
#include "source/message/leader_tracker.h"
#include "source/message/role.h"
#include "source/message/transport.h"

namespace fulmarrock {

/// What a worker says of itself.
struct WorkerAnnouncement {
  WorkerIncarnation worker_incarnation;
  /// Where it takes calls, as "ip:port".
  std::string address;
  WorkerAttributes attributes;
  bool is_draining = false;
  /// Rises with each announcement of one life.
  uint64_t sequence = 0;
  std::optional<Millis> worker_clock;
};

/// Settings of a runner.
struct WorkflowRunnerOptions {
  NodeId id;
  Incarnation incarnation = 0;
  std::vector<NodeId> control_members;
  /// Longest extension of its lease that the worker accepts.
  Millis max_lease_extension{6'000};
  /// Longest time from a stop to the end of the run.
  Millis stop_timeout{400};
};

/// The agent's side of workflows: starts and stops runs on the worker beside it
/// as control orders, extends the worker's lease within the one that control
/// granted, and reports ends until they are stored.
class WorkflowRunner : public Role {
 public:
  /// The references outlive the runner.
  WorkflowRunner(WorkflowRunnerOptions options,
                 const Clock& clock,
                 Transport& transport,
                 RunClient& client,
                 BestEffortController::MakePolicy make_pace,
                 DecisionLog& decisions);

  /// The worker spoke. Returns whether its word was taken; a word of an earlier
  /// life, or one that was overtaken, is not.
  bool OnAnnouncement(const WorkerAnnouncement& announcement);

  /// The worker with this id has left for good.
  void OnDeregistration(std::string_view id);

  /// Adds nodes where the control group may be found.
  void AddMembers(const std::vector<NodeId>& members) {
    m_leader_tracker.AddMembers(members);
  }

  // Role:
  void OnMessage(const NodeId& from, const Message& message) override;
  void OnTick() override;
  void BeginShutdown() override { m_is_stopping = true; }
  bool IsDrained() const override;
  std::string DumpState() const override;
  const Counters& counters() const override { return m_counters; }

 private:
  void AdoptLife(const WorkerAnnouncement& announcement);
  void OnInstructions(const NodeId& from,
                      const WorkerInstructions& instructions);
  void OnStartOrder(const StartInstruction& instruction);
  void OnStopOrder(const RunId& instruction);
  void StartRun(const TaskName& task);
  void OnStartAnswer(const TaskName& task,
                     RunNumber run,
                     const StartResponse& answer);
  /// A start was refused: the run ends, unless an earlier copy of the start may
  /// still be carried out.
  void RefuseRun(const TaskName& task, RunOutcome kind);
  void StopRun(const TaskName& task);
  void EndRun(const TaskName& task,
              RunNumber run,
              RunOutcome kind,
              std::string checkpoint,
              uint64_t end_number);

  bool NeedsLook() const;
  Millis LookWait() const;
  void Poll();
  /// `is_settled`: whether no start of an earlier life was left when the look
  /// was sent.
  void OnLook(Millis sent_at,
              bool is_settled,
              const std::optional<PollResponse>& answer);
  void FollowEnds(const PollResponse& answer);
  void FollowRows(const PollResponse& answer, Millis sent_at);
  void SettleUnlisted(const std::set<TaskName>& listed_runs, Millis sent_at);

  bool IsWorkerReachable() const;
  bool HasLapsed() const;
  void CheckLapse();
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
  bool m_has_left = false;
  bool m_was_lapsed = false;
  // Starts that control ordered before it knew of a lapse are void.
  Millis m_lapsed_at;
  bool m_is_lapse_unreported = false;
  bool m_is_stopping = false;
  const Millis m_started_at;
  WorkerLease m_lease;
  Millis m_heard_at;
  LocalRuns m_runs;
  RunEventQueue m_events;

  // Control hears of a new life only when no start meant for an earlier one can
  // begin in it.
  UnansweredStarts m_unanswered;

  // Calls carry the number of the life they were made in, so that late answers
  // of an earlier life are dropped.
  uint64_t m_life_number = 0;
  bool m_is_looking = false;
  bool m_has_looked = false;
  bool m_is_last_look_answered = true;
  // Whether the last look was answered with ends.
  bool m_lists_ends = false;
  Millis m_next_look;
  SpeedLimiter m_pacer;

  Term m_term = 0;
  bool m_needs_full_report = true;
  bool m_is_report_urgent = false;
  Millis m_last_report;
  uint64_t m_sent_sequence = 0;
  std::vector<RunId> m_confirmed;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_WORKFLOW_RUNNER_H_
