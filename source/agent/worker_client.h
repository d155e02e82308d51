#ifndef SOURCE_AGENT_WORKER_CLIENT_H_
#define SOURCE_AGENT_WORKER_CLIENT_H_

#include <string>
#include <vector>

#include "source/base/ids.h"
#include "source/base/millis.h"
#include "source/message/task_messages.h"

namespace fulmarrock {

/// Client of the worker beside the agent, which runs the tasks. Calls return at
/// once; the WorkerListener receives their results.
class WorkerClient {
 public:
  virtual ~WorkerClient() = default;

  /// Stops every task of an earlier agent process. A new agent calls this
  /// first; later calls take effect after it.
  virtual void StopAll() = 0;

  /// Lets all tasks run for this long from now; replaces the time of an earlier
  /// call. When the time has passed, the worker suspends the tasks until the
  /// next call, so that the tasks of a dead agent do not run beyond their
  /// leases, and stops them after one more lease duration.
  virtual void ExtendLeases(Millis remaining) = 0;

  /// Starts a task, from its checkpoint if the grant names one.
  virtual void Start(const TaskGrant& grant) = 0;

  /// Saves a checkpoint and stops the task.
  virtual void Checkpoint(TaskId task) = 0;

  /// Stops the task without a checkpoint.
  virtual void Stop(TaskId task) = 0;

  /// Suspends or resumes a task, which stays in memory.
  virtual void Suspend(TaskId task) = 0;
  virtual void Resume(TaskId task) = 0;

  /// Limits all batch tasks together to this CPU share, in percent of their
  /// processors from 1 to 100.
  virtual void ThrottleBatch(int percent) = 0;
};

/// Receives events of the worker, on the agent's thread.
class WorkerListener {
 public:
  virtual ~WorkerListener() = default;

  /// A task has started, ended or been stopped. `detail` is the name of the
  /// checkpoint or the reason of a failure.
  virtual void OnTaskEvent(TaskId task,
                           TaskEventKind kind,
                           const std::string& detail,
                           Millis runtime) = 0;

  /// A task that an earlier agent process started under `epoch` has ended. The
  /// earlier agent process may or may not have reported it.
  virtual void OnPastTaskEnd(TaskId task,
                             Epoch epoch,
                             TaskEventKind kind,
                             const std::string& detail,
                             Millis runtime) = 0;

  /// Resource usage of the running tasks was measured.
  virtual void OnUsage(const std::vector<TaskUsage>& usage) = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_WORKER_CLIENT_H_
