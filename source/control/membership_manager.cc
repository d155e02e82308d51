#include "source/control/membership_manager.h"

#include <algorithm>
#include <utility>

#include "source/control/workflow_callers.h"

namespace fulmarrock {
namespace {

constexpr Millis kRequestInterval{500};
constexpr Millis kCheckInterval{1'000};

/// Time without a reply after which a member of an even group is removed. A
/// restart takes less.
constexpr Millis kUnresponsiveTimeout{6'000};

/// Time without a reply of a member's identity after which another identity of
/// its node may replace it. A request of an earlier identity may arrive late.
constexpr Millis kReplacedTimeout{1'000};

/// Time without a known leader after which a member may have been removed and
/// requests to join again.
constexpr Millis kLeaderTimeout{3'000};

/// Members are not removed from a group of this size.
constexpr size_t kSmallestGroup = 3;

}  // namespace

MembershipManager::MembershipManager(NodeId self,
                                     std::vector<NodeId> seed_nodes,
                                     const Clock& clock,
                                     Transport& transport,
                                     ReplicatedLog& log,
                                     DecisionLog& decisions)
    : m_self(std::move(self)),
      m_clock(clock),
      m_transport(transport),
      m_log(log),
      m_decisions(decisions),
      m_leader_known_at(clock.Now()) {
  AddSeedNodes(seed_nodes);
}

void MembershipManager::AddSeedNodes(const std::vector<NodeId>& seed_nodes) {
  for (const NodeId& node : seed_nodes) {
    if (node != m_self && !node.empty())
      m_seed_nodes.insert(node);
  }
}

bool MembershipManager::OnMessage(const NodeId& from, const Message& message) {
  if (const auto* view = std::get_if<GroupView>(&message)) {
    AddSeedNodes(view->members);
    return true;
  }
  const auto* request = std::get_if<JoinRequest>(&message);
  if (!request)
    return false;
  AddSeedNodes({from});
  if (m_log.IsLeader() && request->incarnation != 0) {
    OnJoinRequest(from, request->incarnation);
    return true;
  }
  m_transport.Send(from, MakeGroupView(m_log, m_self));
  return true;
}

void MembershipManager::OnTick() {
  const Millis now = m_clock.Now();
  if (!m_log.Leader().empty())
    m_leader_known_at = now;
  const bool has_no_leader = now - m_leader_known_at >= kLeaderTimeout;
  if ((!IsMember() || has_no_leader) && now >= m_next_request) {
    m_next_request = now + kRequestInterval;
    SendJoinRequests();
  }
  if (m_log.IsLeader() && now >= m_next_check) {
    m_next_check = now + kCheckInterval;
    RemoveUnresponsiveMember();
  }
}

bool MembershipManager::IsMember() const {
  const std::vector<Member> members = m_log.Members();
  return std::any_of(members.begin(), members.end(), [&](const Member& member) {
    return member.node == m_self &&
           (member.incarnation == 0 ||
            member.incarnation == m_log.OwnIncarnation());
  });
}

void MembershipManager::SendJoinRequests() {
  std::set<NodeId> nodes = m_seed_nodes;
  for (const Member& member : m_log.Members())
    nodes.insert(member.node);
  nodes.erase(m_self);
  for (const NodeId& node : nodes)
    m_transport.Send(node, JoinRequest{m_log.OwnIncarnation()});
}

void MembershipManager::OnJoinRequest(const NodeId& from,
                                      Incarnation incarnation) {
  const std::vector<Member> members = m_log.Members();
  const auto known = std::find_if(
      members.begin(), members.end(),
      [&from](const Member& member) { return member.node == from; });
  if (known == members.end()) {
    LogChange("member_added", from, m_log.AddMember(from, incarnation));
    return;
  }
  const std::vector<NodeId> unresponsive =
      m_log.UnresponsiveMembers(kReplacedTimeout);
  const bool is_replaced =
      known->incarnation != incarnation && known->incarnation != 0 &&
      std::find(unresponsive.begin(), unresponsive.end(), from) !=
          unresponsive.end();
  if (is_replaced)
    LogChange("member_removed", from, m_log.RemoveMember(from));
}

void MembershipManager::RemoveUnresponsiveMember() {
  const std::vector<Member> members = m_log.Members();
  if (members.size() % 2 != 0 || members.size() <= kSmallestGroup)
    return;
  const std::vector<NodeId> unresponsive =
      m_log.UnresponsiveMembers(kUnresponsiveTimeout);
  if (!unresponsive.empty())
    LogChange("silent_member_removed", unresponsive.front(),
              m_log.RemoveMember(unresponsive.front()));
}

void MembershipManager::LogChange(std::string_view change,
                                  const NodeId& node,
                                  const Result<LogIndex>& result) {
  // An earlier change of the membership is not committed yet. The node repeats
  // its request, and nothing has been decided yet.
  if (!result && result.error().kind == ErrorKind::kConflict)
    return;
  m_decisions.Write(DecisionLine(change)
                        .With("member", node)
                        .With("outcome", result ? std::string("proposed")
                                                : result.error().Describe()));
}

}  // namespace fulmarrock
