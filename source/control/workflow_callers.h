#ifndef SOURCE_CONTROL_WORKFLOW_CALLERS_H_
#define SOURCE_CONTROL_WORKFLOW_CALLERS_H_

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "source/base/counters.h"
#include "source/base/decision_log.h"
#include "source/base/error.h"
#include "source/base/random_source.h"
#include "source/consensus/replicated_log.h"
#include "source/message/transport.h"
#include "source/workflow/workflow_state.h"

namespace fulmarrock {

/// Nodes of the control group's members.
std::vector<NodeId> MemberNodesOf(const ReplicatedLog& log);

/// Returns the group as the member `self` knows it. The leader is empty if none
/// is known, or if this member was the leader and has lost its quorum.
GroupView MakeGroupView(const ReplicatedLog& log, const NodeId& self);

/// Handles callers' requests at the leader: replies at once where the state
/// suffices, turns the other requests into commands, and replies to those when
/// they are committed.
class WorkflowCallers {
 public:
  using ConfigurationDone = std::function<void(const Result<void>&)>;

  /// The referenced objects must outlive this one.
  WorkflowCallers(const WorkflowState& state,
                  Transport& transport,
                  RandomSource& random,
                  Counters& counters);

  /// Replaces the decision log that discards everything.
  void Configure(DecisionLog& log) { m_decisions = &log; }
  void AttachLog(const ReplicatedLog& log) { m_log = &log; }

  void OnLeadershipGained() { m_callers.clear(); }
  /// Replies to all waiting callers that the result is unknown.
  void OnLeadershipLost();

  /// Handles a call; replies now or when its command is committed.
  void OnCall(const NodeId& from,
              const WorkflowCall& call,
              WorkflowBatch& next);

  /// Sets the queues and services. `done` is called with the result when it is
  /// committed or has failed.
  void SetQueueConfiguration(QueueConfiguration queue_configuration,
                             WorkflowBatch& next,
                             ConfigurationDone done);

  /// Logs that a change was not accepted, because this member is not the
  /// leader. `leader` is empty if unknown.
  void LogUnservedQueueConfiguration(uint64_t version, const NodeId& leader);

  /// Replies that this member is not the leader.
  void RedirectCall(const NodeId& from, const WorkflowCall& call);

  /// Replies to the caller whose command was committed.
  void OnCommitted(const CommandResult& result);

 private:
  struct Caller {
    NodeId entry;
    uint64_t call = 0;
    uint32_t attempt = 0;
    WorkflowKey key = 0;
    ConfigurationDone done;
  };

  void Reply(const NodeId& entry, WorkflowReply reply);
  void Show(const NodeId& from, const WorkflowCall& call);
  /// Returns the result of an earlier sending of the call if that is stored.
  /// Its queue may have been removed since.
  std::optional<WorkflowReplyKind> FindStoredResult(
      const WorkflowCall& call) const;
  void Submit(const NodeId& from,
              const WorkflowCall& call,
              WorkflowBatch& next);
  uint64_t AddCaller(Caller caller);

  const WorkflowState& m_state;
  Transport& m_transport;
  RandomSource& m_random;
  Counters& m_counters;
  NullDecisionLog m_no_log;
  DecisionLog* m_decisions = &m_no_log;
  const ReplicatedLog* m_log = nullptr;
  std::unordered_map<uint64_t, Caller> m_callers;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONTROL_WORKFLOW_CALLERS_H_
