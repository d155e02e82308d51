#ifndef SOURCE_CONTROL_CONTROL_STATE_H_
#define SOURCE_CONTROL_CONTROL_STATE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "source/control/claim_table.h"
#include "source/control/commands.h"
#include "source/control/configuration_history.h"
#include "source/control/job_table.h"
#include "source/control/operation_table.h"
#include "source/control/worker_table.h"
#include "source/placement/scheduler.h"
#include "source/workflow/workflow_state.h"

namespace fulmarrock {

/// What became of one task while a command was applied.
struct TaskEffect {
  enum class Kind {
    kQueued,         ///< It is pending (again); `result` tells why.
    kUnqueued,       ///< It was pending and is cancelled.
    kGranted,        ///< The grant counts; the agent has to learn of it.
    kGrantRefused,   ///< The grant came too late and changed nothing.
    kStopRequested,  ///< The agent has to stop it.
    kReleased,       ///< Its capacity is free; `result` and `runtime` are set.
  };
  Kind kind = Kind::kQueued;
  TaskId task;
  Epoch epoch = 0;
  WorkerIndex worker = kNoWorker;
  AttemptResult result = AttemptResult::kStopped;
  Millis runtime;
  /// The agent refused the grant.
  bool is_rejected = false;
};

/// What became of a worker.
struct WorkerEffect {
  enum class Kind { kAnnounced, kRestarted, kChanged, kForgotten };
  Kind kind = Kind::kChanged;
  WorkerIndex worker = kNoWorker;
  NodeId node;
};

/// Result of an operator's change, for the caller that waits.
struct OperationEffect {
  uint64_t token = 0;
  Result<uint64_t> result;
};

/// What the leader has to act on after a command was applied. Followers ignore
/// it.
struct ApplyEffects {
  bool has_new_configuration = false;
  std::vector<WorkerEffect> workers;
  std::vector<TaskEffect> tasks;
  std::vector<OperationEffect> operations;
  /// Agents whose events were committed or were committed before.
  std::vector<WorkerIndex> acknowledged;
  /// Replies per entry.
  std::vector<std::pair<NodeId, ClaimReply>> claims;
  std::vector<std::pair<NodeId, ClaimOutcomeAck>> claim_outcomes;
  WorkflowEffects workflow;
  /// Set when the command could not be decoded; nothing was applied.
  bool is_malformed = false;
};

/// The replicated state of one group. Deterministic: equal commands give equal
/// states on every member, and time comes from the commands alone. Every
/// command is checked against the state, since its proposer may have lost
/// leadership in the meantime.
class ControlState {
 public:
  ControlState() = default;
  ControlState(const ControlState&) = delete;
  ControlState& operator=(const ControlState&) = delete;

  ApplyEffects Apply(std::string_view payload);

  std::string Save() const;
  Result<void> Restore(std::string_view bytes);

  /// Replicated time after the last command.
  Millis time() const { return m_time; }

  const ConfigurationHistory& lists() const { return m_lists; }
  const OperationTable& operations() const { return m_operations; }
  const JobTable& jobs() const { return m_jobs; }
  const WorkerTable& workers() const { return m_workers; }
  const ClaimTable& claims() const { return m_claims; }
  const WorkflowState& workflows() const { return m_workflows; }

 private:
  struct Snapshot;

  void ApplyLists(const ApplyCommand& command, ApplyEffects& effects);
  void Submit(const SubmitCommand& command, ApplyEffects& effects);
  void Cancel(const CancelCommand& command, ApplyEffects& effects);
  void Announce(const AnnounceCommand& command, ApplyEffects& effects);
  void Drain(const DrainCommand& command, ApplyEffects& effects);
  void ApplyEvents(const EventsCommand& command, ApplyEffects& effects);
  void ApplyEvent(WorkerIndex worker,
                  const TaskEvent& event,
                  ApplyEffects& effects);
  void Expire(const HeldLease& lease, ApplyEffects& effects);
  void Forget(const ForgetWorkerCommand& command, ApplyEffects& effects);
  void Evict(const EvictCommand& command, ApplyEffects& effects);
  void SetReason(const UnplaceableCommand& command);
  void Grant(const GrantCommand& command, ApplyEffects& effects);
  bool CanGrant(const GrantCommand& command) const;

  uint64_t CancelOpenTasks(JobRecord& job, ApplyEffects& effects);
  void FailAttempt(JobRecord& job,
                   uint32_t index,
                   const std::string& detail,
                   ApplyEffects& effects);
  /// Ends an active task's stay at its worker in the given state.
  void Release(JobRecord& job,
               uint32_t index,
               TaskState next,
               TaskEffect effect,
               ApplyEffects& effects);

  Millis m_time;
  ConfigurationHistory m_lists;
  OperationTable m_operations;
  JobTable m_jobs;
  WorkerTable m_workers;
  ClaimTable m_claims;
  WorkflowState m_workflows;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONTROL_CONTROL_STATE_H_
