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

/// Connects the replicated state, the scheduler and the agents at the leader:
/// keeps the scheduler consistent with the state, turns its decisions into
/// commands, and sends committed grants and stops until the agents report that
/// they were carried out.
class TaskDispatcher {
 public:
  TaskDispatcher(const ControlState& state,
                 Scheduler& scheduler,
                 LeaseMonitor& leases,
                 Transport& transport,
                 Counters& counters);

  /// Builds the scheduler from the state at the start of a leadership.
  /// `time_offset` is the replicated time minus the local clock.
  void Rebuild(Millis time_offset, Millis now);

  /// Discards the scheduler's tasks and the pending messages at the end of a
  /// leadership.
  void Clear();

  /// Passes the effects of an applied log entry to the scheduler, and prepares
  /// the messages for the agents.
  void OnEffects(const ApplyEffects& effects, Millis now);

  /// Updates a worker in the scheduler, including whether it accepts tasks.
  void UpdateWorker(WorkerIndex worker);

  /// Adds the scheduler's decisions to the next command batch.
  void Propose(CommandBatch& batch, Millis now);

  /// Compares a report with the replicated state: returns the reported leases
  /// that are not current, and schedules the grants and stops that the agent
  /// has not received.
  std::vector<HeldLease> Compare(WorkerIndex worker,
                                 const std::vector<HeldLease>& held,
                                 Millis now);

  /// Sends grants and stops that are due.
  void SendDue(Millis now);

 private:
  struct PendingMessage {
    Millis due;
    HeldLease lease;
    bool is_stop = false;
    /// Whether the message is sent again until the agent reports. There is one
    /// such element per grant and per stop.
    bool is_resent = true;
  };
  struct Outgoing {
    GrantBatch grants;
    StopBatch stops;
    size_t bytes = 0;
  };

  void OnWorkerEffect(const WorkerEffect& effect, Millis now);
  void OnTaskEffect(const TaskEffect& effect, Millis now);
  /// Pauses placements on a worker that refused a grant, or that is quarantined
  /// and failed another task.
  void PausePlacementsAfter(const TaskEffect& effect, Millis now);
  void Enqueue(TaskId task);
  /// Enqueues a failed task after a delay that doubles with each failure, up to
  /// a limit.
  void EnqueueAfterBackoff(TaskId task, Millis now);
  void EnqueueBackedOff(Millis now);
  void RetryUnplaceable(Millis now);
  void ProposeUnplaceable(CommandBatch& batch);
  bool IsNeeded(const PendingMessage& pending) const;
  /// Adds a grant or stop to the outgoing messages; false when this leader has
  /// not received a renewal from the agent yet.
  bool Add(const PendingMessage& pending,
           std::map<WorkerIndex, Outgoing>& outgoing);
  void Flush(WorkerIndex worker, Outgoing& outgoing);

  const ControlState& m_state;
  Scheduler& m_scheduler;
  LeaseMonitor& m_leases;
  Transport& m_transport;
  Counters& m_counters;
  // Grants and stops that agents have not reported on, ordered by due time.
  std::deque<PendingMessage> m_scheduled_messages;
  // Grants and stops to send with the next call of SendDue().
  std::vector<PendingMessage> m_immediate_messages;
  std::vector<TaskId> m_unplaceable;
  // Tasks whose last attempt failed, by the time at which they are enqueued
  // again.
  std::multimap<Millis, TaskId> m_backed_off;
  bool m_should_retry_unplaceable = false;
  Millis m_next_retry;
  Millis m_next_evictions;
  Millis m_time_offset;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONTROL_TASK_DISPATCHER_H_
