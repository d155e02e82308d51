#ifndef SOURCE_CONTROL_WORKFLOW_SERVICE_H_
#define SOURCE_CONTROL_WORKFLOW_SERVICE_H_

#include <map>
#include <string>
#include <vector>

#include "source/base/counters.h"
#include "source/base/decision_log.h"
#include "source/base/error.h"
#include "source/base/random_source.h"
#include "source/consensus/replicated_log.h"
#include "source/control/worker_link.h"
#include "source/control/workflow_callers.h"
#include "source/message/transport.h"
#include "source/workflow/evacuation_table.h"
#include "source/workflow/worker_leases.h"
#include "source/workflow/workflow_scheduler.h"
#include "source/workflow/workflow_state.h"

namespace fulmarrock {

/// Options of the leader's handling of workflows.
struct WorkflowOptions {
  /// Lease duration: time for which an agent may keep its worker's runs going
  /// without a new message of the leader.
  Millis lease{15'000};
};

/// The leader's handling of workflows: turns calls and reports into commands,
/// plans runs, and informs agents and entries of what was committed.
class WorkflowService {
 public:
  /// The referenced objects must outlive the service.
  WorkflowService(const WorkflowState& state,
                  const EvacuationTable& evacuations,
                  Transport& transport,
                  RandomSource& random,
                  Counters& counters);

  /// Replaces the default options and the decision log that discards
  /// everything.
  void Configure(const WorkflowOptions& options, DecisionLog& log);
  void AttachLog(const ReplicatedLog& log) {
    m_log = &log;
    m_callers.AttachLog(log);
  }

  /// The handling of callers' requests.
  WorkflowCallers& callers() { return m_callers; }

  void OnLeadershipGained(Millis now);
  void OnLeadershipLost();

  void OnReport(const NodeId& from,
                const WorkerReport& report,
                WorkflowBatch& next,
                Millis now);

  /// Releases the runs of workers with an expired lease, plans runs, and sends
  /// instructions that are due.
  void OnTick(const PlanningTime& time, WorkflowBatch& next);

  void OnEffects(const WorkflowEffects& effects, Millis now);

  /// Returns the leader's view as JSON, for operators.
  std::string DumpState(Millis now) const;

 private:
  void OnRegistered(WorkerNumber worker);
  void OnReleased(WorkerNumber worker);
  void TrackRunChange(const RunChange& change);
  void StopWorkflow(WorkflowKey key);
  void DrainWorker(WorkerLink& link);
  /// Handles a report of a worker incarnation that is not registered yet.
  /// `earlier` is the agent's registered worker incarnation, or null.
  void OnUnregisteredReport(WorkerLink& link,
                            const WorkerEntry* earlier,
                            const WorkerReport& report,
                            WorkflowBatch& next,
                            Millis now);
  void OnStalls(WorkerLink& link, const WorkerReport& report, Millis now);
  /// Periodically sends the known interference coefficients to the agents, and
  /// stores those that changed for the next leader.
  void SendInterferenceCoefficients(Millis now, WorkflowBatch& next);
  /// Stops best-effort tasks that would run better on another worker.
  void MoveBestEffortTasks(const PlanningTime& time);
  void LogLoad(Millis now);
  void LogOverdueStops(Millis now);
  void ReleaseExpired(const PlanningTime& time, WorkflowBatch& next);
  void Plan(const PlanningTime& time, WorkflowBatch& next);
  std::map<WorkerNumber, WorkerStatus> Statuses(Millis now) const;
  void SendInstructions(WorkerLink& link, bool is_reply, Millis now);
  void SendDueInstructions(Millis now);
  /// Whether no run may start on a worker because of its data centre.
  bool IsEvacuated(WorkerNumber worker) const;
  WorkerLink& LinkOf(const NodeId& agent);
  WorkerLink* FindLink(WorkerNumber worker);

  const WorkflowState& m_state;
  const EvacuationTable& m_evacuations;
  Transport& m_transport;
  Counters& m_counters;
  WorkflowOptions m_options;
  NullDecisionLog m_no_log;
  DecisionLog* m_decisions = &m_no_log;
  const ReplicatedLog* m_log = nullptr;
  WorkflowCallers m_callers;

  ObjectiveOrdering m_ordering;
  ExponentialInterferenceModel m_interference_model;
  InterferenceAwarePlacement m_placement{m_interference_model};
  Millis m_next_interference_update;
  Millis m_next_load_log;
  Millis m_next_move;
  WorkflowScheduler m_scheduler;
  WorkerLeases m_leases;
  std::map<NodeId, WorkerLink> m_links;
  // Whether planned runs are proposed and not yet applied.
  bool m_is_planning = false;
  // Whether anything relevant changed since the last plan.
  bool m_is_dirty = false;
  Millis m_next_plan;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONTROL_WORKFLOW_SERVICE_H_
