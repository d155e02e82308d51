#ifndef SOURCE_WORKFLOW_WORKER_HEALTH_H_
#define SOURCE_WORKFLOW_WORKER_HEALTH_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "source/base/millis.h"
#include "source/message/workflow.h"
#include "source/workflow/workflow_commands.h"

namespace fulmarrock {

/// Leader's record of the health of workers, derived from the outcomes of runs.
///
/// A worker is quarantined when runs of several workflows in a row failed or
/// stalled on it. When the quarantine time has passed it is probed with a
/// single run; success ends the quarantine, and another failure doubles its
/// time. A long-running task never completes, so as a probe it succeeds by
/// running for a while. The failures of a workflow that fails on several
/// workers are not attributed to the workers.
class WorkerHealth {
 public:
  void Clear();
  void Remove(WorkerNumber worker);

  /// A run completed.
  void OnSuccess(WorkerNumber worker, Millis now);
  /// A run failed, made no progress, or was declined because the worker accepts
  /// no runs.
  void OnFailure(WorkerNumber worker, const TaskName& task, Millis now);
  /// A run was assigned to the worker.
  void OnAssigned(WorkerNumber worker,
                  const TaskName& task,
                  bool is_long_running,
                  Millis now);
  /// A run ended for a reason unrelated to the worker's health.
  void OnNeutralEnd(WorkerNumber worker, const TaskName& task);
  /// A workflow ended; its failures are removed.
  void OnWorkflowEnded(WorkflowKey workflow);

  /// Ends the quarantine of workers whose probe is a long-running task that has
  /// run long enough.
  void EndLongProbes(Millis now);

  /// Whether the worker may get a run now, if only as a probe.
  bool IsUsable(WorkerNumber worker, Millis now) const;
  /// Whether the worker is quarantined, so that it gets single runs at most.
  bool IsQuarantined(WorkerNumber worker) const;
  /// Whether the worker is not quarantined and has no recent failures, so that
  /// a task's last attempt may be placed there.
  bool IsHealthy(WorkerNumber worker) const;
  /// Whether the task failed on any worker before.
  bool HasFailed(const TaskName& task) const;
  /// Whether the task failed on this worker before.
  bool HasFailedOn(const TaskName& task, WorkerNumber worker) const;
  /// Number of workers in quarantine.
  int64_t CountQuarantined() const;

 private:
  struct Record {
    std::set<WorkflowKey> failed;
    bool is_quarantined = false;
    Millis quarantined_until;
    Millis quarantine_time;
    bool is_probing = false;
    TaskName probe;
    // When a probe that never completes counts as successful.
    std::optional<Millis> probe_ends_at;
  };

  void Quarantine(Record& record, Millis now);

  std::map<WorkerNumber, Record> m_records;
  // For each workflow and task, the workers on which the task failed.
  std::map<WorkflowKey, std::map<TaskName, std::set<WorkerNumber>>> m_failures;
};

}  // namespace fulmarrock

#endif  // SOURCE_WORKFLOW_WORKER_HEALTH_H_
