#ifndef SOURCE_MESSAGE_LEADER_TRACKER_H_
#define SOURCE_MESSAGE_LEADER_TRACKER_H_

#include <set>
#include <vector>

#include "source/base/ids.h"
#include "source/base/millis.h"

namespace fulmarrock {

/// What a process knows of the control group: its members, and who leads.
class LeaderTracker {
 public:
  /// Silence after which the leader is looked for among all members.
  static constexpr Millis kLeaderTimeout{700};

  explicit LeaderTracker(const std::vector<NodeId>& members) {
    AddMembers(members);
  }

  void AddMembers(const std::vector<NodeId>& members) {
    m_members.insert(members.begin(), members.end());
  }

  /// The leader itself answered.
  void OnLeaderReply(const NodeId& leader, Millis now) {
    m_leader = leader;
    m_members.insert(leader);
    m_heard_at = now;
  }

  /// A member named the leader; empty when it knows none.
  void OnLeaderHint(const NodeId& leader) {
    if (!leader.empty())
      m_members.insert(leader);
    m_leader = leader;
  }

  /// Whether the leader answered lately.
  bool IsLeaderResponsive(Millis now) const {
    return !m_leader.empty() && now - m_heard_at < kLeaderTimeout;
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
