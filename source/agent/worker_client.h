#ifndef SOURCE_AGENT_WORKER_CLIENT_H_
#define SOURCE_AGENT_WORKER_CLIENT_H_

#include <string>
#include <vector>

#include "source/base/ids.h"
#include "source/base/millis.h"
#include "source/message/task_messages.h"

namespace fulmarrock {

/// Access to the worker beside the agent, which runs the tasks. Calls return at
/// once; what comes of them arrives at the WorkerListener.
class WorkerClient {
 public:
  virtual ~WorkerClient() = default;

  /// Stops every task of an earlier agent process. A new agent calls this
  /// first; later calls take effect after it.
  virtual void StopAll() = 0;

  /// Lets all tasks run for this long from now, in place of what an earlier
  /// call said. Afterwards the worker suspends them by itself until the next
  /// call, so that the tasks of a dead agent do not run beyond their leases,
  /// and stops them after one more lease term.
  virtual void ExtendLeases(Millis remaining) = 0;

  /// Starts a task, from its checkpoint if the grant names one.
  virtual void Start(const TaskGrant& grant) = 0;

  /// Saves a checkpoint and stops the task.
  virtual void Checkpoint(TaskId task) = 0;

  /// Stops the task without a checkpoint.
  virtual void Stop(TaskId task) = 0;

  /// Suspends or continues a task in memory.
  virtual void Suspend(TaskId task) = 0;
  virtual void Resume(TaskId task) = 0;

  /// Limits all batch tasks together to this share of their processors, in
  /// percent from 1 to 100.
  virtual void ThrottleBatch(int percent) = 0;
};

/// Receives what happens at the worker, on the agent's thread.
class WorkerListener {
 public:
  virtual ~WorkerListener() = default;

  /// A task ended or was stopped, or has started. `detail` is the checkpoint's
  /// name or the reason of a failure.
  virtual void OnTaskEvent(TaskId task,
                           TaskEventKind kind,
                           const std::string& detail,
                           Millis runtime) = 0;

  /// A task that an earlier agent process had started under `epoch` has ended.
  /// The earlier agent may have reported it or not.
  virtual void OnPastTaskEnd(TaskId task,
                             Epoch epoch,
                             TaskEventKind kind,
                             const std::string& detail,
                             Millis runtime) = 0;

  /// Measured use of the running tasks.
  virtual void OnUsage(const std::vector<TaskUsage>& usage) = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_WORKER_CLIENT_H_
