#ifndef SOURCE_MESSAGE_LEADER_TRACKER_H_
#define SOURCE_MESSAGE_LEADER_TRACKER_H_

#include <set>
#include <vector>

#include "source/base/ids.h"
#include "source/base/millis.h"

namespace fulmarrock {

/// Tracks the members and the leader of the control group, as far as a process
/// outside the group knows them.
class LeaderTracker {
 public:
  /// Time without a reply of the leader after which all members are asked for
  /// the leader.
  static constexpr Millis kLeaderTimeout{700};

  explicit LeaderTracker(const std::vector<NodeId>& members) {
    AddMembers(members);
  }

  void AddMembers(const std::vector<NodeId>& members) {
    m_members.insert(members.begin(), members.end());
  }

  /// A reply arrived from the leader itself.
  void OnLeaderReply(const NodeId& leader, Millis now) {
    m_leader = leader;
    m_members.insert(leader);
    m_last_leader_reply = now;
  }

  /// A member named the leader; `leader` is empty when the member knows none.
  void OnLeaderHint(const NodeId& leader) {
    if (!leader.empty())
      m_members.insert(leader);
    m_leader = leader;
  }

  /// Whether the leader replied within kLeaderTimeout.
  bool IsLeaderResponsive(Millis now) const {
    return !m_leader.empty() && now - m_last_leader_reply < kLeaderTimeout;
  }

  const NodeId& leader() const { return m_leader; }
  const std::set<NodeId>& members() const { return m_members; }

 private:
  std::set<NodeId> m_members;
  NodeId m_leader;
  Millis m_last_leader_reply{-1'000'000};
};

}  // namespace fulmarrock

#endif  // SOURCE_MESSAGE_LEADER_TRACKER_H_
