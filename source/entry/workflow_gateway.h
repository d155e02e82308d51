#ifndef SOURCE_ENTRY_WORKFLOW_GATEWAY_H_
#define SOURCE_ENTRY_WORKFLOW_GATEWAY_H_

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "source/base/clock.h"
#include "source/base/decision_log.h"
#include "source/base/random_source.h"
#include "source/message/leader_tracker.h"
#include "source/message/role.h"
#include "source/message/transport.h"

namespace fulmarrock {

/// How a caller is answered.
enum class CallOutcome : uint8_t {
  kAnswered,       ///< The reply of control holds.
  kNotAccepted,    ///< It was surely not stored, and never will be.
  kUnknownResult,  ///< It may be stored; the caller has to ask again.
};

/// The answer to a caller.
struct CallResult {
  CallOutcome outcome = CallOutcome::kUnknownResult;
  WorkflowReply reply;
  /// When the caller may try again; zero for no advice.
  Millis retry_after;
};

/// Settings of a gateway.
struct WorkflowGatewayOptions {
  NodeId id;
  std::vector<NodeId> control_members;
};

/// The entry's side of workflows: passes calls to the control group's leader,
/// finds it again when it changes, and answers each caller in time.
///
/// A call may be sent to several members one after the other. Submissions and
/// cancellations are stored under the caller's key, so that copies do no harm;
/// but once a copy was sent and not answered, the result is unknown until
/// control tells it.
class WorkflowGateway : public Role {
 public:
  using Done = std::function<void(const CallResult&)>;

  /// The references outlive the gateway.
  WorkflowGateway(WorkflowGatewayOptions options,
                  const Clock& clock,
                  Transport& transport,
                  RandomSource& random,
                  DecisionLog& decisions);

  /// Passes a call on; `done` is called once, at the latest after `deadline`.
  void Call(WorkflowCall call, Millis deadline, Done done);

  /// Whether callers should be sent here.
  bool IsReady() const;

  /// Adds nodes where the control group may be found.
  void AddMembers(const std::vector<NodeId>& members) {
    m_leader_tracker.AddMembers(members);
  }

  // Role:
  void OnMessage(const NodeId& from, const Message& message) override;
  void OnTick() override;
  void BeginShutdown() override;
  bool IsDrained() const override;
  std::string DumpState() const override;
  const Counters& counters() const override { return m_counters; }

 private:
  struct PendingCall {
    WorkflowCall call;
    Done done;
    Millis since;
    Millis deadline;
    Millis sent_at;
    /// Copies that no answer has come for.
    int unanswered = 0;
    /// Whether a member said that the result is not known.
    bool is_uncertain = false;
    bool is_sent = false;
    NodeId asked;
  };

  void Send(PendingCall& pending);
  NodeId ChooseMember(const PendingCall& pending) const;
  void OnReply(const NodeId& from, const WorkflowReply& reply);
  void OnNotLeader(const NodeId& from,
                   const WorkflowReply& reply,
                   PendingCall& pending);
  void Finish(uint64_t call, CallResult answer);
  static bool IsFinalReply(WorkflowReplyKind kind);

  const WorkflowGatewayOptions m_options;
  const Clock& m_clock;
  Transport& m_transport;
  RandomSource& m_random;
  DecisionLog& m_decisions;
  Counters m_counters;
  LeaderTracker m_leader_tracker;
  std::unordered_map<uint64_t, PendingCall> m_pending;
  // Since when no leader has answered although calls wait; zero for not.
  Millis m_unanswered_since;
  Millis m_stopping_since;
  bool m_is_stopping = false;
};

}  // namespace fulmarrock

#endif  // SOURCE_ENTRY_WORKFLOW_GATEWAY_H_
