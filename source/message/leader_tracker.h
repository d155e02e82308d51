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

  /// `seeds` are the members that the settings name.
  explicit LeaderTracker(const std::vector<NodeId>& seeds) { SetSeeds(seeds); }

  /// Replaces the members that the settings name.
  void SetSeeds(const std::vector<NodeId>& seeds) {
    m_seeds = {seeds.begin(), seeds.end()};
    CollectCandidates();
  }

  /// A process that may have an old view of the group named these members.
  void AddMembers(const std::vector<NodeId>& members) {
    m_members.insert(members.begin(), members.end());
    CollectCandidates();
  }

  /// The leader itself named the members of the group. Those that it does not
  /// name have left.
  void SetMembers(const std::vector<NodeId>& members) {
    m_members = {members.begin(), members.end()};
    CollectCandidates();
  }

  /// A reply arrived from the leader itself.
  void OnLeaderReply(const NodeId& leader, Millis now) {
    OnLeaderHint(leader);
    m_last_leader_reply = now;
  }

  /// A member named the leader; `leader` is empty when the member knows none.
  void OnLeaderHint(const NodeId& leader) {
    if (leader == m_leader)
      return;
    m_leader = leader;
    CollectCandidates();
  }

  /// Whether the leader replied within kLeaderTimeout.
  bool IsLeaderResponsive(Millis now) const {
    return !m_leader.empty() && now - m_last_leader_reply < kLeaderTimeout;
  }

  const NodeId& leader() const { return m_leader; }
  Millis last_leader_reply() const { return m_last_leader_reply; }
  /// Nodes that may be members: those of the settings, those that the group
  /// named, and the leader.
  const std::set<NodeId>& candidates() const { return m_candidates; }

 private:
  void CollectCandidates() {
    m_candidates = m_seeds;
    m_candidates.insert(m_members.begin(), m_members.end());
    if (!m_leader.empty())
      m_candidates.insert(m_leader);
  }

  std::set<NodeId> m_seeds;
  std::set<NodeId> m_members;
  std::set<NodeId> m_candidates;
  NodeId m_leader;
  Millis m_last_leader_reply{-1'000'000};
};

}  // namespace fulmarrock

#endif  // SOURCE_MESSAGE_LEADER_TRACKER_H_
