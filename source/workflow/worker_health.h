#ifndef SOURCE_WORKFLOW_WORKER_HEALTH_H_
#define SOURCE_WORKFLOW_WORKER_HEALTH_H_

#include <map>
#include <set>

#include "source/base/millis.h"
#include "source/message/workflow.h"
#include "source/workflow/workflow_commands.h"

namespace fulmarrock {

/// Leader's judgement of workers by what becomes of the runs on them.
///
/// A worker is set aside when runs of several workflows in a row failed or
/// stalled on it. After a pause it is tried with a single run; its success
/// restores the worker, and another failure doubles the pause. A workflow that
/// fails on several workers does not count against any of them.
class WorkerHealth {
 public:
  void Clear();
  void Remove(WorkerNumber worker);

  /// A run completed.
  void OnSuccess(WorkerNumber worker, Millis now);
  /// A run failed, made no progress, or was refused although it had room.
  void OnFailure(WorkerNumber worker, const TaskName& task, Millis now);
  /// A run was assigned to the worker.
  void OnAssigned(WorkerNumber worker, const TaskName& task);
  /// A run ended for a reason that tells nothing about the worker.
  void OnNeutralEnd(WorkerNumber worker, const TaskName& task);
  /// A workflow ended; nothing is remembered of it.
  void OnWorkflowEnded(WorkflowKey workflow);

  /// Whether the worker may get a run now.
  bool IsUsable(WorkerNumber worker, Millis now) const;
  /// Whether the worker is set aside, so that it gets single runs at most.
  bool IsAside(WorkerNumber worker) const;
  /// Whether nothing speaks against the worker, so that a task's last attempt
  /// may go there.
  bool IsTrusted(WorkerNumber worker) const;
  /// Whether the task failed on this worker before.
  bool HasFailedOn(const TaskName& task, WorkerNumber worker) const;

 private:
  struct Record {
    std::set<WorkflowKey> failed;
    bool is_aside = false;
    Millis aside_until;
    Millis pause;
    bool is_probing = false;
    TaskName probe;
  };

  void SetAside(Record& record, Millis now);

  std::map<WorkerNumber, Record> m_records;
  // Workers on which tasks of a workflow failed.
  std::map<WorkflowKey, std::map<TaskName, std::set<WorkerNumber>>> m_failures;
};

}  // namespace fulmarrock

#endif  // SOURCE_WORKFLOW_WORKER_HEALTH_H_
