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

/// Keeps the membership of a control group without an operator.
///
/// A member that is not in the group, or hears no leader, asks the members it
/// knows to take it in. The leader removes the old identity of a member whose
/// data folder was replaced, and then adds the new one, which votes once it has
/// caught up. While the number of members is even, the leader drops one that
/// has been silent for long: an even group bears no more losses than with one
/// member less.
class MembershipManager {
 public:
  /// `contacts` are nodes where the group may be found. The references outlive
  /// the keeper.
  MembershipManager(NodeId self,
                    std::vector<NodeId> contacts,
                    const Clock& clock,
                    Transport& transport,
                    ReplicatedLog& log,
                    DecisionLog& decisions);

  /// Handles the messages about membership; returns whether it was one.
  bool OnMessage(const NodeId& from, const Message& message);

  void OnTick();

  /// Adds nodes where the group may be found.
  void AddSeedNodes(const std::vector<NodeId>& contacts);

 private:
  bool IsMember() const;
  void AskToJoin();
  void OnJoinRequest(const NodeId& from, Incarnation incarnation);
  void DropSilentMember();
  void LogChange(std::string_view change,
                 const NodeId& node,
                 const Result<LogIndex>& result);

  const NodeId m_self;
  const Clock& m_clock;
  Transport& m_transport;
  ReplicatedLog& m_log;
  DecisionLog& m_decisions;
  std::set<NodeId> m_contacts;
  Millis m_next_request;
  Millis m_next_check;
  Millis m_leader_seen_at;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONTROL_MEMBERSHIP_MANAGER_H_
