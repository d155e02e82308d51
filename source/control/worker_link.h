#ifndef SOURCE_CONTROL_WORKER_LINK_H_
#define SOURCE_CONTROL_WORKER_LINK_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "source/base/ids.h"
#include "source/base/millis.h"
#include "source/message/workflow_messages.h"
#include "source/workflow/workflow_state.h"

namespace fulmarrock {

/// Leader's exchange with one agent: which of its events are on the way into
/// the log, and which orders it has not confirmed. Holds no replicated state.
class WorkerLink {
 public:
  WorkerLink(NodeId agent, const WorkflowState& state)
      : m_agent(std::move(agent)), m_state(state) {}

  /// Takes a report of the agent's current process. `worker` is the life it
  /// speaks of, or kNoWorkerNumber while that life is not registered.
  void OnReport(const WorkerReport& report, WorkerNumber worker, Millis now);

  /// The life of the last report was registered. Returns whether this link has
  /// a report of that life.
  bool Attach(WorkerNumber worker, const WorkerIncarnation& worker_incarnation);

  /// Events that are not proposed yet; they count as proposed from now on. An
  /// event is taken only after all earlier ones, because the agent forgets
  /// every event up to the last one that is stored.
  std::vector<RunEvent> TakeEvents(const WorkerReport& report);

  void OnStored(const StoredEvents& stored);

  /// A run was assigned to the worker, and has to be ordered.
  void AddStart(const TaskName& task, RunNumber run);
  /// A run of the worker has to stop.
  void AddStop(const TaskName& task, RunNumber run);
  /// The worker's runs are being released: no start goes out until then, since
  /// it would belong to a run that another worker gets.
  void BeginRelease() { m_is_releasing = true; }
  void OnReleased() { m_is_releasing = false; }
  bool is_releasing() const { return m_is_releasing; }

  /// No run has to stop any more.
  void DropStops() { m_stops.clear(); }

  /// Process of the agent that last spoke of a registered life; zero for none.
  Incarnation attached_process() const { return m_attached_process; }

  /// A run is over.
  void OnRunOver(const TaskName& task);

  /// What the next message tells the agent of the images.
  void SetInterferenceCoefficients(
      std::vector<InterferenceCoefficient> interference_coefficients) {
    m_interference_coefficients = std::move(interference_coefficients);
  }

  /// Latest figures that the agent sent.
  const std::vector<LatencyCriticalSample>& latency_critical_samples() const {
    return m_latency_critical_samples;
  }
  const std::vector<BestEffortSample>& best_effort_samples() const {
    return m_best_effort_samples;
  }

  /// Whether orders are due at this time.
  bool HasDueOrders(Millis now) const;

  /// Builds a message with the orders that are due. `lease` is zero when the
  /// lease must not be extended.
  WorkerInstructions TakeOrders(Term term, Millis lease, Millis now);

  const NodeId& agent() const { return m_agent; }
  WorkerNumber worker() const { return m_worker; }
  const WorkerReport& last_report() const { return m_report; }
  bool has_report() const { return m_has_report; }
  /// Time of the last report on the leader's clock.
  Millis heard_at() const { return m_heard_at; }
  bool IsStopping(const TaskName& task) const { return m_stops.contains(task); }
  bool IsConfirmed(const TaskName& task) const {
    return !m_starts.contains(task);
  }

 private:
  struct PendingOrder {
    PendingOrder() = default;
    explicit PendingOrder(RunNumber number) : run(number) {}

    RunNumber run = 0;
    Millis sent_at;
    bool is_sent = false;
  };
  using Orders = std::map<TaskName, PendingOrder>;

  static bool IsDue(const PendingOrder& instruction, Millis now);
  void Compare(const WorkerReport& report);
  void StopEndedWorkflows();
  StartInstruction MakeStart(const TaskName& task, RunNumber run) const;

  const NodeId m_agent;
  const WorkflowState& m_state;
  WorkerNumber m_worker = kNoWorkerNumber;
  WorkerReport m_report;
  bool m_has_report = false;
  bool m_is_releasing = false;
  Incarnation m_attached_process = 0;
  Millis m_heard_at;
  bool m_needs_full_report = true;
  // A new agent process does not know what its worker's runs are; the orders to
  // start them tell it.
  bool m_must_describe = true;
  uint64_t m_proposed_sequence = 0;
  uint64_t m_stored_sequence = 0;
  std::vector<LatencyCriticalSample> m_latency_critical_samples;
  std::vector<BestEffortSample> m_best_effort_samples;
  std::vector<InterferenceCoefficient> m_interference_coefficients;
  // Orders that the agent has not confirmed.
  Orders m_starts;
  Orders m_stops;
  // Runs that the agent lists and the state does not know.
  std::vector<RunId> m_strays;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONTROL_WORKER_LINK_H_
