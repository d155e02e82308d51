#include "source/entry/leader_finder.h"

#include <algorithm>

namespace fulmarrock {
namespace {

/// Interval of the requests to the leader for the members of the group.
constexpr Millis kRefreshInterval{3'000};
/// Interval of the requests to all candidates while no leader replies.
constexpr Millis kSearchInterval{500};
/// A search that took this long starts over without what is known of earlier
/// leaders, because it may be wrong.
constexpr Millis kSearchLimit{5'000};

}  // namespace

LeaderFinder::LeaderFinder(const std::vector<NodeId>& seeds,
                           const Clock& clock,
                           Transport& transport,
                           DecisionLog& decisions)
    : m_clock(clock),
      m_transport(transport),
      m_decisions(decisions),
      m_tracker(seeds),
      m_next_request(clock.Now()),
      m_searching_since(clock.Now()) {}

NodeId LeaderFinder::ChooseNode() {
  if (!leader().empty())
    return leader();
  if (candidates().empty())
    return {};
  const auto next = candidates().upper_bound(m_last_chosen);
  m_last_chosen = next == candidates().end() ? *candidates().begin() : *next;
  return m_last_chosen;
}

void LeaderFinder::OnGroupView(const NodeId& from, const GroupView& view) {
  m_unresponsive.erase(from);
  if (view.leader == from && view.term >= m_term) {
    OnLeaderReply(from, view.term);
    m_tracker.SetMembers(view.members);
    m_is_request_open = false;
    return;
  }
  m_tracker.AddMembers(view.members);
  if (!view.leader.empty())
    OnNamedLeader(view.leader, view.term, from);
  else if (from == leader())
    SetLeader({}, from);
}

void LeaderFinder::OnLeaderReply(const NodeId& from, Term term) {
  OnNamedLeader(from, term, from);
  if (leader() != from)
    return;
  m_tracker.OnLeaderReply(from, m_clock.Now());
  m_searching_since = m_clock.Now();
}

void LeaderFinder::OnNotLeader(const NodeId& from, const WorkflowReply& reply) {
  m_unresponsive.erase(from);
  m_tracker.AddMembers(reply.members);
  const bool names_other = !reply.leader.empty() && reply.leader != from;
  if (from == leader())
    SetLeader({}, from);
  if (names_other)
    OnNamedLeader(reply.leader, reply.term, from);
}

void LeaderFinder::OnUnanswered(const NodeId& node, Millis sent_at) {
  const bool is_leader_silent =
      node == leader() && m_tracker.last_leader_reply() < sent_at;
  if (!is_leader_silent)
    return;
  DropLeader();
}

void LeaderFinder::DropLeader() {
  const NodeId silent = leader();
  m_unresponsive.insert(silent);
  SetLeader({}, silent);
  Search();
}

void LeaderFinder::OnNamedLeader(const NodeId& named,
                                 Term term,
                                 const NodeId& source) {
  const bool names_itself = named == source;
  const bool is_newer = term > m_term;
  // A member of an older version does not tell the term.
  const bool may_be_current = term == m_term || term == 0;
  const bool is_trusted =
      names_itself || (leader().empty() && !m_unresponsive.contains(named));
  if (!is_newer && !(may_be_current && is_trusted))
    return;
  if (is_newer)
    m_term = term;
  m_unresponsive.erase(named);
  SetLeader(named, source);
}

void LeaderFinder::SetLeader(const NodeId& next, const NodeId& source) {
  const NodeId earlier = leader();
  if (next == earlier)
    return;
  m_tracker.OnLeaderHint(next);
  if (next.empty())
    m_next_request = std::min(m_next_request, m_last_search + kSearchInterval);
  m_is_request_open = false;
  m_decisions.Write(
      DecisionLine("leader_changed")
          .With("leader", next)
          .With("earlier", earlier)
          .With("source", source)
          .With("term", static_cast<int64_t>(m_term))
          .With("known_members", static_cast<int64_t>(candidates().size())));
}

void LeaderFinder::OnTick() {
  const Millis now = m_clock.Now();
  if (leader().empty() && now - m_searching_since >= kSearchLimit)
    Forget(now);
  if (now < m_next_request)
    return;
  if (leader().empty()) {
    Search();
    return;
  }
  // A leader of an earlier version, which tells no term, does not reply to
  // these requests; it is dropped only if it does not reply to calls.
  if (m_is_request_open && m_term != 0) {
    DropLeader();
    return;
  }
  m_next_request = now + kRefreshInterval;
  m_is_request_open = true;
  m_transport.Send(leader(), GroupViewRequest{});
}

void LeaderFinder::Search() {
  m_last_search = m_clock.Now();
  m_next_request = m_last_search + kSearchInterval;
  for (const NodeId& node : candidates())
    m_transport.Send(node, GroupViewRequest{});
}

void LeaderFinder::Forget(Millis now) {
  m_decisions.Write(
      DecisionLine("leader_not_found")
          .With("searched_ms", now - m_searching_since)
          .With("term", static_cast<int64_t>(m_term))
          .With("known_members", static_cast<int64_t>(candidates().size())));
  m_searching_since = now;
  m_term = 0;
  m_unresponsive.clear();
}

}  // namespace fulmarrock
