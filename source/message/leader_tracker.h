#ifndef SOURCE_MESSAGE_LEADER_TRACKER_H_
#define SOURCE_MESSAGE_LEADER_TRACKER_H_

#include <set>
#include <vector>

#include "source/base/ids.h"
#include "source/base/millis.h"

namespace fulmarrock {

/// What a process knows of the control group: its members, and who leads.
class GroupContact {
 public:
  /// Silence after which the leader is looked for among all members.
  static constexpr Millis kDoubtAfter{700};

  explicit GroupContact(const std::vector<NodeId>& members) {
    AddMembers(members);
  }

  void AddMembers(const std::vector<NodeId>& members) {
    m_members.insert(members.begin(), members.end());
  }

  /// The leader itself answered.
  void OnLeader(const NodeId& leader, Millis now) {
    m_leader = leader;
    m_members.insert(leader);
    m_heard_at = now;
  }

  /// A member named the leader; empty when it knows none.
  void OnHint(const NodeId& leader) {
    if (!leader.empty())
      m_members.insert(leader);
    m_leader = leader;
  }

  /// Whether the leader answered lately.
  bool IsHeard(Millis now) const {
    return !m_leader.empty() && now - m_heard_at < kDoubtAfter;
  }

  const NodeId& leader() const { return m_leader; }
  const std::set<NodeId>& members() const { return m_members; }

 private:
  std::set<NodeId> m_members;
  NodeId m_leader;
  Millis m_heard_at{-1'000'000};
};

}  // namespace fulmarrock

#endif  // SOURCE_MESSAGE_LEADER_TRACKER_H_
