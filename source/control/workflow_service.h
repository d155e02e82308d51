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
#include "source/workflow/worker_leases.h"
#include "source/workflow/workflow_scheduler.h"
#include "source/workflow/workflow_state.h"

namespace fulmarrock {

/// Settings of the leader's handling of workflows.
struct WorkflowOptions {
  /// Time for which an agent may keep its worker running without news.
  Millis lease{15'000};
};

/// The leader's handling of workflows: turns calls and reports into commands,
/// plans runs, and tells agents and entries what was committed.
class WorkflowService {
 public:
  /// The references outlive the service.
  WorkflowService(const WorkflowState& state,
                  Transport& transport,
                  RandomSource& random,
                  Counters& counters);

  /// Replaces the default options and the log that drops everything.
  void Configure(const WorkflowOptions& options, DecisionLog& log);
  void AttachLog(const ReplicatedLog& log) {
    m_log = &log;
    m_callers.AttachLog(log);
  }

  /// Those who call this member.
  WorkflowCallers& callers() { return m_callers; }

  void OnLeadershipGained(Millis now);
  void OnLeadershipLost();

  void OnReport(const NodeId& from,
                const WorkerReport& report,
                WorkflowBatch& next,
                Millis now);

  /// Releases what expired and plans runs.
  void OnTick(const PlanningTime& time, WorkflowBatch& next);

  void OnEffects(const WorkflowEffects& effects, Millis now);

  /// Answers that this member does not lead.
  void RedirectReport(const NodeId& from);

  /// Returns the leader's view as JSON, for a person.
  std::string DumpState(Millis now) const;

 private:
  void OnRegistered(WorkerNumber worker);
  void OnReleased(WorkerNumber worker);
  void FollowRun(const RunChange& change);
  void StopWorkflow(WorkflowKey key);
  void MoveRunsAway(WorkerLink& link);
  /// A report of a life that is not registered yet. `earlier` is the agent's
  /// registered life, or null.
  void OnUnregisteredReport(WorkerLink& link,
                            const WorkerEntry* earlier,
                            const WorkerReport& report,
                            WorkflowBatch& next,
                            Millis now);
  void OnStalls(WorkerLink& link, const WorkerReport& report, Millis now);
  /// Tells the agents from time to time what is known of the images, and stores
  /// what changed for the next leader.
  void SendSlopes(Millis now, WorkflowBatch& next);
  /// Stops fillers that another worker would serve better.
  void MoveFillers(const PlanningTime& time);
  void LogLoad(Millis now);
  void ReleaseExpired(const PlanningTime& time, WorkflowBatch& next);
  void Plan(const PlanningTime& time, WorkflowBatch& next);
  std::map<WorkerNumber, WorkerStatus> Statuses(Millis now) const;
  void SendOrders(WorkerLink& link, bool is_reply, Millis now);
  void SendDueOrders(Millis now);
  WorkerLink& LinkOf(const NodeId& agent);
  WorkerLink* FindLink(WorkerNumber worker);

  const WorkflowState& m_state;
  Transport& m_transport;
  Counters& m_counters;
  WorkflowOptions m_options;
  NullDecisionLog m_no_log;
  DecisionLog* m_decisions = &m_no_log;
  const ReplicatedLog* m_log = nullptr;
  WorkflowCallers m_callers;

  ObjectiveOrder m_order;
  ExponentialInterferenceModel m_interference_model;
  SharedRunPlacement m_placement{m_interference_model};
  Millis m_next_slopes;
  Millis m_next_load_line;
  Millis m_next_move;
  WorkflowScheduler m_scheduler;
  WorkerLeases m_leases;
  std::map<NodeId, WorkerLink> m_links;
  // Whether planned runs are on the way into the log.
  bool m_is_planning = false;
  // Whether something changed since the last plan.
  bool m_is_dirty = false;
  Millis m_next_plan;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONTROL_WORKFLOW_SERVICE_H_
