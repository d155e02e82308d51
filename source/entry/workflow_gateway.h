#ifndef SOURCE_ENTRY_WORKFLOW_GATEWAY_H_
#define SOURCE_ENTRY_WORKFLOW_GATEWAY_H_

#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "source/base/clock.h"
#include "source/base/decision_log.h"
#include "source/base/random_source.h"
#include "source/entry/leader_finder.h"
#include "source/message/role.h"
#include "source/message/transport.h"

namespace fulmarrock {

/// Outcome of a caller's workflow call.
enum class CallOutcome : uint8_t {
  kAnswered,       ///< Control's reply is final; see CallResult::reply.
  kNotAccepted,    ///< The call was not stored and never will be.
  kUnknownResult,  ///< The call may be stored; the caller has to repeat it.
};

/// The result of a caller's workflow call.
struct CallResult {
  CallOutcome outcome = CallOutcome::kUnknownResult;
  WorkflowReply reply;
  /// Time after which the caller may try again; zero if none is suggested.
  Millis retry_after;
};

/// Settings of a gateway.
struct WorkflowGatewayOptions {
  NodeId id;
  std::vector<NodeId> control_members;
};

/// Forwards workflow calls to the leader of the control group, finds the new
/// leader when it changes, and gives each caller a result in time.
///
/// A call may be sent to several members one after the other. Submissions and
/// cancellations are stored under the caller's key, so that duplicates are
/// harmless; but the result of a sent call is unknown until control reports it.
class WorkflowGateway : public Role {
 public:
  using Done = std::function<void(const CallResult&)>;

  /// The references outlive the gateway.
  WorkflowGateway(WorkflowGatewayOptions options,
                  const Clock& clock,
                  Transport& transport,
                  RandomSource& random,
                  DecisionLog& decisions);

  /// Forwards a call; `done` is called once, at the latest after `deadline`.
  void Call(WorkflowCall call, Millis deadline, Done done);

  /// Whether load balancers should send callers to this entry.
  bool IsReady() const;

  /// Replaces the members of the control group that the settings name.
  void SetSeeds(const std::vector<NodeId>& seeds) {
    m_leader_finder.SetSeeds(seeds);
  }

  /// Whether the leader of the control group is not known.
  bool IsSearchingLeader() const { return m_leader_finder.leader().empty(); }

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
    Millis start_time;
    Millis deadline;
    Millis sent_at;
    /// Attempts that got no reply. A reply counts once, also when it arrives
    /// twice.
    std::set<uint32_t> unanswered;
    /// Whether a member replied that the result is unknown.
    bool is_result_unknown = false;
    bool is_sent = false;
    NodeId last_member;
    /// Estimate of the memory that the call uses.
    size_t bytes = 0;
  };

  void Send(PendingCall& pending);
  /// Sends the calls that other members got to the leader.
  void SendToNewLeader();
  static bool MayBeStored(const PendingCall& pending) {
    return !pending.unanswered.empty() || pending.is_result_unknown;
  }
  /// Returns what a reply of the leader to one sending of the call says about
  /// the whole call.
  static CallOutcome OutcomeOf(const PendingCall& pending,
                               WorkflowReplyKind reply);
  void OnReply(const NodeId& from, const WorkflowReply& reply);
  void OnNotLeader(const NodeId& from,
                   const WorkflowReply& reply,
                   PendingCall& pending);
  void Finish(uint64_t call, CallResult result);

  const WorkflowGatewayOptions m_options;
  const Clock& m_clock;
  Transport& m_transport;
  RandomSource& m_random;
  DecisionLog& m_decisions;
  Counters m_counters;
  LeaderFinder m_leader_finder;
  std::unordered_map<uint64_t, PendingCall> m_pending;
  size_t m_pending_bytes = 0;
  // Start of the time without a leader's reply while calls are pending; zero if
  // none.
  Millis m_unanswered_since;
  Millis m_stopping_since;
  bool m_is_stopping = false;
};

}  // namespace fulmarrock

#endif  // SOURCE_ENTRY_WORKFLOW_GATEWAY_H_
