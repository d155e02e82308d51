#ifndef SOURCE_CONTROL_TASK_DISPATCHER_H_
#define SOURCE_CONTROL_TASK_DISPATCHER_H_

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

#include "source/base/counters.h"
#include "source/control/control_state.h"
#include "source/control/lease_monitor.h"
#include "source/message/transport.h"
#include "source/placement/scheduler.h"

namespace fulmarrock {

/// The leader's link between the replicated state, the scheduler and the
/// agents: keeps the scheduler in step with the state, turns its decisions into
/// commands, and sends committed grants and stops until agents report on them.
class TaskDispatcher {
 public:
  TaskDispatcher(const ControlState& state,
                 Scheduler& scheduler,
                 LeaseMonitor& leases,
                 Transport& transport,
                 Counters& counters);

  /// Builds the scheduler from the state at the start of a leadership.
  /// `time_offset` leads from the local clock to replicated time.
  void Rebuild(Millis time_offset, Millis now);

  /// Forgets what belongs to the leadership that ended.
  void Clear();

  /// Follows a command that was applied.
  void OnEffects(const ApplyEffects& effects, Millis now);

  /// Tells the scheduler whether a worker takes tasks.
  void UpdateWorker(WorkerIndex worker);

  /// Adds the scheduler's decisions to the next command.
  void Propose(CommandBatch& batch, Millis now);

  /// Finds the leases in a report that are not current, and sends the grants
  /// and stops that the agent does not know of.
  std::vector<HeldLease> Compare(WorkerIndex worker,
                                 const std::vector<HeldLease>& held,
                                 Millis now);

  /// Sends grants and stops that are due.
  void SendDue(Millis now);

 private:
  struct Resend {
    Millis due;
    HeldLease lease;
    bool is_stop = false;
    /// Sent again until the agent reports; one such entry exists per grant and
    /// per stop.
    bool is_repeated = true;
  };
  struct Outgoing {
    GrantBatch grants;
    StopBatch stops;
    size_t bytes = 0;
  };

  void OnWorkerEffect(const WorkerEffect& effect, Millis now);
  void OnTaskEffect(const TaskEffect& effect, Millis now);
  /// Keeps a worker that refused a grant or fails everything from being chosen.
  void PauseAfter(const TaskEffect& effect, Millis now);
  void Enqueue(TaskId task);
  /// Lets a task that failed wait, longer with each failure.
  void EnqueueAfterBackoff(TaskId task, Millis now);
  void EnqueueBackedOff(Millis now);
  void RetryUnplaceable(Millis now);
  void ProposeUnplaceable(CommandBatch& batch);
  bool IsNeeded(const Resend& resend) const;
  /// Adds the message to the outgoing ones; false without a fresh renewal.
  bool Add(const Resend& resend, std::map<WorkerIndex, Outgoing>& outgoing);
  void Flush(WorkerIndex worker, Outgoing& outgoing);

  const ControlState& m_state;
  Scheduler& m_scheduler;
  LeaseMonitor& m_leases;
  Transport& m_transport;
  Counters& m_counters;
  // Grants and stops that agents have not reported on, by due time.
  std::deque<Resend> m_resends;
  // Those to send at once.
  std::vector<Resend> m_fresh;
  std::vector<TaskId> m_unplaceable;
  // Tasks whose last attempt failed, by the time they may run again.
  std::multimap<Millis, TaskId> m_backed_off;
  bool m_should_retry_unplaceable = false;
  Millis m_next_retry;
  Millis m_next_evictions;
  Millis m_time_offset;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONTROL_TASK_DISPATCHER_H_
