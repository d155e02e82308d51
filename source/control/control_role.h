#ifndef SOURCE_CONTROL_CONTROL_ROLE_H_
#define SOURCE_CONTROL_CONTROL_ROLE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "source/base/clock.h"
#include "source/base/decision_log.h"
#include "source/base/random_source.h"
#include "source/base/wall_clock.h"
#include "source/consensus/replicated_log.h"
#include "source/consensus/state_machine.h"
#include "source/control/claim_service.h"
#include "source/control/config_distributor.h"
#include "source/control/control_state.h"
#include "source/control/evacuation_service.h"
#include "source/control/lease_monitor.h"
#include "source/control/membership_manager.h"
#include "source/control/operator_service.h"
#include "source/control/task_dispatcher.h"
#include "source/control/workflow_service.h"
#include "source/message/role.h"

namespace fulmarrock {

/// Approximate size beyond which a log entry accepts no more commands, which
/// keeps it below the frame limit.
inline constexpr size_t kMaxEntryBytes = size_t{1} << 20;

/// One member of a control group: applies the group's log to the replicated
/// state. While it is the leader, it also turns messages, operators' calls and
/// scheduling decisions into log entries, one per tick.
class ControlRole : public Role, public StateMachine, public OperatorService {
 public:
  ControlRole(NodeId self,
              Clock& clock,
              Transport& transport,
              RandomSource& random,
              Scheduler& scheduler);

  /// Sets the log that this role proposes to; must be called before any other
  /// function.
  void AttachLog(ReplicatedLog& log) {
    m_log = &log;
    m_workflows.AttachLog(log);
  }

  /// Sets the dependencies of the handling of workflows.
  void ConfigureWorkflows(const WorkflowOptions& options,
                          const WallClock& wall_clock,
                          DecisionLog& decisions);

  /// Sets the options of the handling of evacuations.
  void ConfigureEvacuations(EvacuationOptions options, DecisionLog& decisions) {
    m_evacuations.Configure(std::move(options), decisions);
  }

  /// Makes this member maintain the membership of its group: it finds the
  /// group, joins it, and as the leader changes the members.
  void SetMembershipManager(
      std::unique_ptr<MembershipManager> membership_manager) {
    m_membership_manager = std::move(membership_manager);
  }
  MembershipManager* membership_manager() { return m_membership_manager.get(); }

  // Role:
  void OnMessage(const NodeId& from, const Message& message) override;
  void OnTick() override;
  void BeginShutdown() override;
  bool IsDrained() const override;
  std::string DumpState() const override;
  const Counters& counters() const override { return m_counters; }

  // StateMachine:
  void Apply(LogIndex index, std::string_view command) override;
  std::string SaveSnapshot() const override;
  Result<void> RestoreSnapshot(std::string_view bytes) override;
  void OnLeadershipGained(Term term) override;
  void OnLeadershipLost() override;

  // OperatorService:
  void ApplyConfiguration(ApplyRequest request, Done<uint64_t> done) override;
  void SubmitJob(SubmitRequest request, Done<JobId> done) override;
  void CancelJobs(std::vector<JobId> jobs, Done<uint64_t> done) override;
  void SetWorkerDraining(NodeId worker,
                         bool is_draining,
                         Done<bool> done) override;
  void AddMember(NodeId node,
                 Incarnation incarnation,
                 Done<bool> done) override;
  void RemoveMember(NodeId node, Done<bool> done) override;
  ConfigSnapshot GetConfiguration() const override;
  Result<JobView> ShowJob(JobId job) const override;
  std::vector<JobView> ListJobs(std::string_view customer) const override;
  ClusterStatus GetStatus() const override;
  void SetQueueConfiguration(QueueConfiguration queue_configuration,
                             Done<bool> done) override;
  Result<QueueConfiguration> GetQueueConfiguration() const override;
  void SetEvacuation(EvacuationRequest request, Done<bool> done) override;
  Result<std::vector<DataCentreView>> ListDataCentres() const override;
  NodeId LeaderNode() const override { return m_log->Leader(); }

  const ControlState& state() const { return m_state; }

 private:
  using Waiter = std::function<void(const Result<uint64_t>&)>;
  struct MemberWaiter {
    LogIndex index = 0;
    Done<bool> done;
  };

  bool IsLeading() const;
  /// Whether this member may reply to a poll; false when its configuration may
  /// be older than the one that the process had.
  bool CanAnswerPoll(const ConfigPoll& poll) const;
  Error NotLeader() const;
  /// Whether a change can be accepted; otherwise calls `done` with the reason.
  template <typename T>
  bool IsAccepting(const Done<T>& done);
  /// Whether an operation id is valid; otherwise calls `done` with the reason.
  template <typename T>
  bool IsValidOperationId(const std::string& id, const Done<T>& done);
  uint64_t AddWaiter(Waiter waiter);
  void FailWaiters(const Error& error);
  void CompleteMemberWaiters();

  /// Handles a message about workflows; returns whether it was one.
  bool OnWorkflowMessage(const NodeId& from, const Message& message);
  void OnWorkflowCall(const NodeId& from, const WorkflowCall& call);
  void SendGroupView(const NodeId& to);
  void OnAnnounce(const NodeId& from, const WorkerAnnounce& announce);
  void OnRenew(const NodeId& from, const LeaseRenew& renew);
  void OnReport(const NodeId& from, const LeaseReport& report);
  void OnEvents(const NodeId& from, const TaskEvents& events);
  void OnUsage(const NodeId& from, const UsageReport& report);
  /// Returns the sender's worker if its incarnation is current and its leases
  /// may be renewed, and kNoWorker otherwise. Replies to agents whose
  /// incarnation is not current.
  WorkerIndex FindRenewableWorker(const NodeId& from,
                                  Incarnation incarnation,
                                  Millis sent_at);
  void SendRenewReply(const NodeId& to, LeaseRenewReply reply);
  void SendEventsAck(WorkerIndex worker);

  void OnLeaseEvent(const LeaseEvent& event);
  void ProposeExpired(const std::vector<TaskId>& tasks);
  /// Requests a report from all workers, a part of them per tick, so that a new
  /// leader may send them grants without waiting for their next renewal.
  void RequestReports();
  void Flush();
  /// Keeps a batch that the log may accept later. Discards one that it never
  /// accepts, together with all state that depends on it.
  void OnRefusedProposal(CommandBatch batch, size_t bytes, const Error& error);
  /// Acts as the leader again when the entries proposed before a discarded
  /// batch are applied.
  void ResumeIfApplied();
  /// Logs that the log accepted no entry with this batch.
  void LogRefusedProposal(const CommandBatch& batch,
                          size_t bytes,
                          const Error& error);
  void HandleEffects(const ApplyEffects& effects);

  const NodeId m_self;
  Clock& m_clock;
  Transport& m_transport;
  RandomSource& m_random;
  Scheduler& m_scheduler;
  ReplicatedLog* m_log = nullptr;
  Counters m_counters;

  ControlState m_state;
  LeaseMonitor m_leases;
  ConfigDistributor m_distributor;
  ClaimService m_claims;
  TaskDispatcher m_dispatcher;
  WorkflowService m_workflows;
  EvacuationService m_evacuations;
  const WallClock* m_wall_clock = nullptr;
  NullDecisionLog m_no_log;
  DecisionLog* m_decisions = &m_no_log;
  std::unique_ptr<MembershipManager> m_membership_manager;

  bool m_is_leader = false;
  bool m_is_stopping = false;
  // Commands for the next log entry.
  CommandBatch m_next_batch;
  size_t m_next_batch_bytes = 0;
  // Replicated time minus the local clock.
  Millis m_time_offset;
  LogIndex m_last_proposed = 0;
  LogIndex m_last_applied = 0;
  // Set between the discard of a batch and ResumeIfApplied().
  std::optional<LogIndex> m_resume_after;
  WorkerIndex m_next_report_request = 0;
  // Numbers of the newest events proposed per worker, to skip resent ones.
  std::unordered_map<WorkerIndex, uint64_t> m_proposed_events;
  std::unordered_map<uint64_t, Waiter> m_waiters;
  std::vector<MemberWaiter> m_member_waiters;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONTROL_CONTROL_ROLE_H_
