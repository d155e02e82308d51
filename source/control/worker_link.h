#ifndef SOURCE_CONTROL_WORKER_LINK_H_
#define SOURCE_CONTROL_WORKER_LINK_H_

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "source/base/ids.h"
#include "source/base/millis.h"
#include "source/message/workflow_messages.h"
#include "source/workflow/workflow_state.h"

namespace fulmarrock {

/// Leader's communication with one agent: which of its events are proposed, and
/// which instructions it has not confirmed. Holds no replicated state.
class WorkerLink {
 public:
  WorkerLink(NodeId agent, const WorkflowState& state)
      : m_agent(std::move(agent)), m_state(state) {}

  /// Whether an agent process that a later one has replaced sent the report.
  bool IsFromReplacedProcess(const WorkerReport& report) const;

  /// Whether a later report of the same process has arrived before this one. It
  /// may have been held up in a connection that was replaced.
  bool IsOutdated(const WorkerReport& report) const;

  /// Handles a report of the agent's current process. `worker` is the worker
  /// incarnation that it describes, or kNoWorkerNumber while that one is not
  /// registered.
  void OnReport(const WorkerReport& report, WorkerNumber worker, Millis now);

  /// A worker incarnation was registered as `worker`. If the last report is of
  /// that incarnation, assigns the link to it and returns true.
  bool Attach(WorkerNumber worker, const WorkerIncarnation& worker_incarnation);

  /// Returns events that are not proposed yet; they count as proposed from now
  /// on. An event is returned only after all earlier ones, because the agent
  /// discards every event up to the last one that is stored.
  std::vector<RunEvent> TakeEvents(const WorkerReport& report);

  /// Whether the agent reported events that TakeEvents has not returned,
  /// because they do not fit into one command or follow a gap.
  bool HasUnproposedEvents() const {
    return m_reported_sequence > m_proposed_sequence;
  }

  /// Events were stored. They are acknowledged only if all earlier ones are
  /// stored too; otherwise they are proposed again with those.
  void OnStored(const StoredEvents& stored);

  /// A run was assigned to the worker and needs a start instruction.
  void AddStart(const TaskName& task, RunNumber run);
  /// A run of the worker needs a stop instruction.
  void AddStop(const TaskName& task, RunNumber run);
  /// The worker's runs are being released. Until that is applied no start
  /// instruction is sent, since its task may be assigned to another worker.
  void BeginRelease() { m_is_releasing = true; }
  void OnReleased() { m_is_releasing = false; }
  bool is_releasing() const { return m_is_releasing; }

  /// Discards all stop instructions.
  void DiscardStops() { m_stops.clear(); }

  /// Agent incarnation that last reported a registered worker incarnation; zero
  /// for none.
  Incarnation attached_agent_incarnation() const {
    return m_attached_agent_incarnation;
  }

  /// A run has ended.
  void OnRunEnded(const TaskName& task);

  /// Sets the interference coefficients that the next message carries.
  void SetInterferenceCoefficients(
      std::vector<InterferenceCoefficient> interference_coefficients) {
    m_interference_coefficients = std::move(interference_coefficients);
  }

  /// Latest samples that the agent sent.
  const std::vector<LatencyCriticalSample>& latency_critical_samples() const {
    return m_latency_critical_samples;
  }
  const std::vector<BestEffortSample>& best_effort_samples() const {
    return m_best_effort_samples;
  }

  /// Runs that the agent has not reported as ended `limit` after their first
  /// stop instruction.
  std::vector<RunId> OverdueStops(Millis limit, Millis now) const;

  /// Whether instructions are due at this time.
  bool HasDueInstructions(Millis now) const;

  /// Builds a message with the instructions that are due. `lease` is zero when
  /// the lease must not be extended.
  WorkerInstructions TakeInstructions(Term term, Millis lease, Millis now);

  const NodeId& agent() const { return m_agent; }
  WorkerNumber worker() const { return m_worker; }
  const WorkerReport& last_report() const { return m_report; }
  bool has_report() const { return m_has_report; }
  /// Time of the last report by the leader's clock.
  Millis last_report_at() const { return m_last_report_at; }
  bool IsStopping(const TaskName& task) const { return m_stops.contains(task); }
  bool IsConfirmed(const TaskName& task) const {
    return !m_starts.contains(task);
  }

 private:
  struct PendingInstruction {
    PendingInstruction() = default;
    explicit PendingInstruction(RunNumber number) : run(number) {}

    RunNumber run = 0;
    Millis first_sent_at;
    Millis sent_at;
    bool is_sent = false;
  };
  using Instructions = std::map<TaskName, PendingInstruction>;

  static bool IsDue(const PendingInstruction& instruction, Millis now);
  static void MarkSent(PendingInstruction& instruction, Millis now);
  /// Whether a run is active on this worker in the replicated state.
  bool IsActiveHere(const RunId& run) const;
  void Reconcile(const WorkerReport& report);
  void StopEndedWorkflows();
  StartInstruction MakeStart(const TaskName& task, RunNumber run) const;

  const NodeId m_agent;
  const WorkflowState& m_state;
  WorkerNumber m_worker = kNoWorkerNumber;
  WorkerReport m_report;
  bool m_has_report = false;
  bool m_is_releasing = false;
  // Agent incarnations whose reports were followed by those of another one.
  std::deque<Incarnation> m_replaced_processes;
  Incarnation m_attached_agent_incarnation = 0;
  Millis m_last_report_at;
  bool m_needs_full_report = true;
  // Whether start instructions are sent even for runs that the agent lists: a
  // new agent process learns the properties of its worker's runs from them.
  bool m_must_resend_starts = true;
  // Highest sequence number among the reported events.
  uint64_t m_reported_sequence = 0;
  uint64_t m_proposed_sequence = 0;
  uint64_t m_stored_sequence = 0;
  std::vector<LatencyCriticalSample> m_latency_critical_samples;
  std::vector<BestEffortSample> m_best_effort_samples;
  std::vector<InterferenceCoefficient> m_interference_coefficients;
  // Instructions that the agent has not confirmed.
  Instructions m_starts;
  Instructions m_stops;
  // Runs that the agent lists and that are not active on its worker in the
  // replicated state; they are stopped.
  std::vector<RunId> m_unknown_runs;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONTROL_WORKER_LINK_H_
