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

/// A worker as the scheduler sees it.
struct WorkerInfo {
  NodeId node;
  std::string data_centre;
  std::string rack;
  Resources capacity;
  /// False while the worker drains or its lease renewals are missing.
  bool accepts_tasks = true;
};

/// A task that waits for a worker. `spec` outlives the task's stay in the
/// scheduler.
struct PendingTask {
  TaskId task;
  const JobSpec* spec = nullptr;
  /// When the task became pending.
  Millis since;
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

/// A pending task that no worker could ever run, or whose customer may not run
/// it at all.
struct UnplaceableTask {
  TaskId task;
  std::string reason;
};

/// How one attempt of a task ended, as far as blame is concerned.
enum class AttemptResult { kCompleted, kFailed, kStopped };

/// Decides which pending task runs where. Belongs to the leader and is rebuilt
/// from the replicated state when leadership is gained. All updates are
/// incremental; no call scans all workers or all tasks.
class Scheduler {
 public:
  virtual ~Scheduler() = default;

  /// Forgets everything.
  virtual void Clear() = 0;

  virtual void SetConfiguration(const Configuration& configuration) = 0;

  /// Adds a worker or updates it in place; running tasks stay accounted.
  virtual void UpsertWorker(const WorkerInfo& worker) = 0;

  /// Removes a worker that runs nothing any more.
  virtual void RemoveWorker(const NodeId& worker) = 0;

  /// Adds a pending task.
  virtual void Enqueue(const PendingTask& task) = 0;

  /// Removes a pending task that was cancelled. Unknown tasks are ignored.
  virtual void RemovePending(TaskId task) = 0;

  /// Accounts a task that already runs on a worker, after a change of leader.
  virtual void AddRunning(const PendingTask& task,
                          const NodeId& worker,
                          Millis started) = 0;

  /// Returns the capacity of a running task; the task leaves the scheduler.
  virtual void Release(TaskId task, AttemptResult result, Millis runtime) = 0;

  /// Returns up to `limit` placements. Each is accounted as running at once;
  /// Release() with kStopped takes it back.
  virtual std::vector<Placement> Schedule(size_t limit, Millis now) = 0;

  /// Returns tasks to evict now for urgent work or an overloaded service. The
  /// tasks stay accounted until released.
  virtual std::vector<Eviction> ChooseEvictions(Millis now) = 0;

  /// Returns pending tasks found unplaceable since the last call. They have
  /// left the queue.
  virtual std::vector<UnplaceableTask> TakeUnplaceable() = 0;

  /// Takes late measurements from a worker.
  virtual void OnUsage(const NodeId& worker,
                       const UsageReport& report,
                       Millis now) = 0;

  /// Whether the worker fails too much and gets single tasks at most.
  virtual bool IsQuarantined(const NodeId& worker) const = 0;

  virtual size_t pending_count() const = 0;
  virtual size_t running_count() const = 0;

  /// Returns the state as JSON, for a person.
  virtual std::string DumpState() const = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_PLACEMENT_SCHEDULER_H_
