#ifndef SOURCE_CONTROL_WORKFLOW_CALLERS_H_
#define SOURCE_CONTROL_WORKFLOW_CALLERS_H_

#include <functional>
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

/// The leader's side towards those who call: answers what it can from the
/// state, turns the rest into commands, and answers those once they are
/// committed.
class WorkflowCallers {
 public:
  using DirectoryDone = std::function<void(const Result<void>&)>;

  /// The references outlive this object.
  WorkflowCallers(const WorkflowState& state,
                  Transport& transport,
                  RandomSource& random,
                  Counters& counters);

  /// Replaces the log that drops everything.
  void Configure(DecisionLog& log) { m_decisions = &log; }
  void AttachLog(const ReplicatedLog& log) { m_log = &log; }

  void OnLeadershipGained() { m_callers.clear(); }
  /// Tells everybody who waits that the result is unknown.
  void OnLeadershipLost();

  /// Takes a caller's call; answered now or when it is committed.
  void OnCall(const NodeId& from,
              const WorkflowCall& call,
              WorkflowBatch& next);

  /// Sets the queues and services. `done` hears of the commit, or why not.
  void SetQueueConfiguration(QueueConfiguration queue_configuration,
                             WorkflowBatch& next,
                             DirectoryDone done);

  /// Notes that a change was not taken, because `leader` has to be asked, or
  /// because no leader is known.
  void LogUnservedDirectory(uint64_t version, const NodeId& leader);

  /// Answers that this member does not lead.
  void RedirectCall(const NodeId& from, const WorkflowCall& call);

  /// A command was committed.
  void Answer(const WorkflowAnswer& answer);

 private:
  struct Caller {
    NodeId entry;
    uint64_t call = 0;
    WorkflowKey key = 0;
    DirectoryDone done;
  };

  void Reply(const NodeId& entry, WorkflowReply reply);
  void Show(const NodeId& from, const WorkflowCall& call);
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
