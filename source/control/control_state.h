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

/// A change of one task by an applied command.
struct TaskEffect {
  enum class Kind {
    kQueued,         ///< It became pending; `result` is how the last attempt
                     ///< ended.
    kDequeued,       ///< It was cancelled while pending.
    kGranted,        ///< It was granted; the agent has to be informed.
    kGrantRefused,   ///< The grant was no longer valid and changed nothing.
    kStopRequested,  ///< The agent has to stop it.
    kReleased,       ///< Its capacity is free again; `result` and `runtime` are
                     ///< set.
  };
  Kind kind = Kind::kQueued;
  TaskId task;
  Epoch epoch = 0;
  WorkerIndex worker = kNoWorker;
  AttemptResult result = AttemptResult::kStopped;
  Millis runtime;
  /// Whether the agent refused the grant.
  bool is_rejected = false;
};

/// A change of one worker by an applied command.
struct WorkerEffect {
  enum class Kind { kAnnounced, kRestarted, kChanged, kRemoved };
  Kind kind = Kind::kChanged;
  WorkerIndex worker = kNoWorker;
  NodeId node;
};

/// Result of an operator's change, for the caller that waits for it.
struct OperationEffect {
  uint64_t token = 0;
  Result<uint64_t> result;
};

/// Result of an applied EvacuationCommand, for the caller that waits for it.
struct EvacuationEffect {
  uint64_t token = 0;
  std::string data_centre;
  bool is_evacuated = false;
  EvacuationOutcome outcome = EvacuationOutcome::kUnchanged;
};

/// Effects of an applied log entry that the leader has to act on. Followers
/// ignore them.
struct ApplyEffects {
  bool has_new_configuration = false;
  std::vector<WorkerEffect> workers;
  std::vector<TaskEffect> tasks;
  std::vector<OperationEffect> operations;
  /// Agents whose events are committed, now or already before.
  std::vector<WorkerIndex> acknowledged;
  /// Replies, with the entry processes that get them.
  std::vector<std::pair<NodeId, ClaimReply>> claims;
  std::vector<std::pair<NodeId, ClaimOutcomeAck>> claim_outcomes;
  WorkflowEffects workflow;
  std::vector<EvacuationEffect> evacuations;
  /// Set when the log entry could not be decoded; nothing was applied.
  bool is_malformed = false;
};

/// The replicated state of one group. Deterministic: equal log entries give
/// equal states on every member, and the time comes from the log entries alone.
/// Every command is checked against the state, since its proposer may have lost
/// leadership in the meantime.
class ControlState {
 public:
  ControlState() = default;
  ControlState(const ControlState&) = delete;
  ControlState& operator=(const ControlState&) = delete;

  ApplyEffects Apply(std::string_view payload);

  std::string Save() const;
  Result<void> Restore(std::string_view bytes);

  /// Replicated time after the last log entry.
  Millis time() const { return m_time; }

  const ConfigurationHistory& config() const { return m_config; }
  const OperationTable& operations() const { return m_operations; }
  const JobTable& jobs() const { return m_jobs; }
  const WorkerTable& workers() const { return m_workers; }
  const ClaimTable& claims() const { return m_claims; }
  const WorkflowState& workflows() const { return m_workflows; }
  const EvacuationTable& evacuations() const { return m_evacuations; }

 private:
  struct Snapshot;

  void ApplyConfiguration(const ApplyCommand& command, ApplyEffects& effects);
  void Submit(const SubmitCommand& command, ApplyEffects& effects);
  void Cancel(const CancelCommand& command, ApplyEffects& effects);
  void Announce(const AnnounceCommand& command, ApplyEffects& effects);
  void Drain(const DrainCommand& command, ApplyEffects& effects);
  void ApplyEvents(const EventsCommand& command, ApplyEffects& effects);
  void ApplyEvent(WorkerIndex worker,
                  const TaskEvent& event,
                  ApplyEffects& effects);
  void Expire(const HeldLease& lease, ApplyEffects& effects);
  void RemoveWorker(const RemoveWorkerCommand& command, ApplyEffects& effects);
  void Evict(const EvictCommand& command, ApplyEffects& effects);
  void SetReason(const UnplaceableCommand& command);
  void Grant(const GrantCommand& command, ApplyEffects& effects);
  void Evacuate(const EvacuationCommand& command, ApplyEffects& effects);
  void ApplyWorkflows(WorkflowBatch& batch, ApplyEffects& effects);
  bool CanGrant(const GrantCommand& command) const;

  uint64_t CancelOpenTasks(JobRecord& job, ApplyEffects& effects);
  void FailAttempt(JobRecord& job,
                   uint32_t index,
                   const std::string& detail,
                   ApplyEffects& effects);
  /// Releases an active task from its worker and moves it to the given state.
  void Release(JobRecord& job,
               uint32_t index,
               TaskState next,
               TaskEffect effect,
               ApplyEffects& effects);

  Millis m_time;
  ConfigurationHistory m_config;
  OperationTable m_operations;
  JobTable m_jobs;
  WorkerTable m_workers;
  ClaimTable m_claims;
  WorkflowState m_workflows;
  EvacuationTable m_evacuations;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONTROL_CONTROL_STATE_H_
