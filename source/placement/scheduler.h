#ifndef SOURCE_PLACEMENT_SCHEDULER_H_
#define SOURCE_PLACEMENT_SCHEDULER_H_

#include <cstddef>
#include <string>
#include <vector>

#include "source/base/ids.h"
#include "source/base/millis.h"
#include "source/base/resources.h"
#include "source/message/configuration.h"
#include "source/message/task_messages.h"

namespace fulmarrock {

/// Scheduling attributes of a worker.
struct WorkerInfo {
  NodeId node;
  std::string data_centre;
  std::string rack;
  Resources capacity;
  /// False while the worker drains or its lease renewals are missing.
  bool accepts_tasks = true;
};

/// A task that is to be scheduled. `spec` must remain valid while the task is
/// pending or running.
struct PendingTask {
  TaskId task;
  const JobSpec* spec = nullptr;
  /// Time at which the task became pending.
  Millis pending_since;
};

/// Decision to run a task on a worker.
struct Placement {
  TaskId task;
  NodeId worker;
};

/// Decision to stop a running task so that others can run.
struct Eviction {
  TaskId task;
  std::string reason;
};

/// A pending task that exceeds every worker or its customer's quota, or whose
/// customer is not configured.
struct UnplaceableTask {
  TaskId task;
  std::string reason;
};

/// How one attempt of a task ended, for the attribution of failures.
enum class AttemptResult { kCompleted, kFailed, kStopped };

/// Assigns pending tasks to workers. Runs on the leader and is rebuilt from the
/// replicated state when a member becomes leader. All updates are incremental;
/// no call scans all workers or all tasks.
class Scheduler {
 public:
  virtual ~Scheduler() = default;

  /// Resets the scheduler to its initial state.
  virtual void Clear() = 0;

  virtual void SetConfiguration(const Configuration& configuration) = 0;

  /// Adds a worker or updates it; the allocations of its running tasks remain.
  virtual void UpsertWorker(const WorkerInfo& worker) = 0;

  /// Removes a worker that runs no tasks any more.
  virtual void RemoveWorker(const NodeId& worker) = 0;

  /// Adds a pending task.
  virtual void Enqueue(const PendingTask& task) = 0;

  /// Removes a pending task that was cancelled. Unknown tasks are ignored.
  virtual void RemovePending(TaskId task) = 0;

  /// Adds a task that already runs on a worker, after a change of leader.
  virtual void AddRunning(const PendingTask& task,
                          const NodeId& worker,
                          Millis started) = 0;

  /// Removes a running task and frees its capacity.
  virtual void Release(TaskId task, AttemptResult result, Millis runtime) = 0;

  /// Returns up to `limit` placements. The tasks count as running at once;
  /// Release() with kStopped reverts a placement.
  virtual std::vector<Placement> Schedule(size_t limit, Millis now) = 0;

  /// Returns tasks to evict now for urgent tasks or an overloaded service.
  /// Their capacity stays allocated until Release().
  virtual std::vector<Eviction> ChooseEvictions(Millis now) = 0;

  /// Returns the pending tasks found unplaceable since the last call. They are
  /// no longer pending.
  virtual std::vector<UnplaceableTask> TakeUnplaceable() = 0;

  /// Processes the measurements of a worker, which may arrive late.
  virtual void OnUsage(const NodeId& worker,
                       const UsageReport& report,
                       Millis now) = 0;

  /// Whether the worker is quarantined after failures: it gets only single
  /// tasks as probes.
  virtual bool IsQuarantined(const NodeId& worker) const = 0;

  virtual size_t pending_count() const = 0;
  virtual size_t running_count() const = 0;

  /// Returns the state as JSON, for operators.
  virtual std::string DumpState() const = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_PLACEMENT_SCHEDULER_H_
