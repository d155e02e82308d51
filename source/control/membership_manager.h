#ifndef SOURCE_CONTROL_MEMBERSHIP_MANAGER_H_
#define SOURCE_CONTROL_MEMBERSHIP_MANAGER_H_

#include <set>
#include <vector>

#include "source/base/clock.h"
#include "source/base/counters.h"
#include "source/base/decision_log.h"
#include "source/consensus/replicated_log.h"
#include "source/message/message.h"
#include "source/message/transport.h"

namespace fulmarrock {

/// Maintains the membership of a control group without an operator.
///
/// A member that is not in the group, or knows no leader, asks the members it
/// knows to add it. The leader removes the old identity of a member whose
/// data folder was replaced, once nobody replies under it, and then adds the
/// new one, which votes once it has caught up. While the number of members is
/// even, the leader removes one that has been unresponsive for long: a group
/// with an even number of members tolerates no more failures than a group with
/// one member less.
class MembershipManager {
 public:
  /// `seed_nodes` are nodes that may be members of the group. The referenced
  /// objects must outlive this object.
  MembershipManager(NodeId self,
                    std::vector<NodeId> seed_nodes,
                    const Clock& clock,
                    Transport& transport,
                    ReplicatedLog& log,
                    DecisionLog& decisions);

  /// Handles a message about membership; returns whether it was one.
  bool OnMessage(const NodeId& from, const Message& message);

  void OnTick();

  /// Adds nodes that may be members of the group.
  void AddSeedNodes(const std::vector<NodeId>& seed_nodes);

 private:
  bool IsMember() const;
  void SendJoinRequests();
  void OnJoinRequest(const NodeId& from, Incarnation incarnation);
  void RemoveUnresponsiveMember();
  void LogChange(std::string_view change,
                 const NodeId& node,
                 const Result<LogIndex>& result);

  const NodeId m_self;
  const Clock& m_clock;
  Transport& m_transport;
  ReplicatedLog& m_log;
  DecisionLog& m_decisions;
  std::set<NodeId> m_seed_nodes;
  Millis m_next_request;
  Millis m_next_check;
  Millis m_leader_known_at;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONTROL_MEMBERSHIP_MANAGER_H_
