#ifndef SOURCE_ENTRY_LEADER_FINDER_H_
#define SOURCE_ENTRY_LEADER_FINDER_H_

#include <set>
#include <string_view>
#include <vector>

#include "source/base/clock.h"
#include "source/base/decision_log.h"
#include "source/message/leader_tracker.h"
#include "source/message/transport.h"
#include "source/message/workflow_messages.h"

namespace fulmarrock {

/// Keeps an entry process in touch with a control group whose members and
/// leader change.
///
/// A leader that does not reply to calls is dropped, and all members that the
/// entry knows of are asked for another one at the same time. The leader is
/// asked for the members of the group from time to time, so that the entry
/// knows those that joined before the ones of its settings have left.
class LeaderFinder {
 public:
  /// `seeds` are the members that the settings name. The references outlive the
  /// finder.
  LeaderFinder(const std::vector<NodeId>& seeds,
               const Clock& clock,
               Transport& transport,
               DecisionLog& decisions);

  /// Replaces the members that the settings name.
  void SetSeeds(const std::vector<NodeId>& seeds) { m_tracker.SetSeeds(seeds); }

  /// The leader, or empty while it is searched for.
  const NodeId& leader() const { return m_tracker.leader(); }
  const std::set<NodeId>& candidates() const { return m_tracker.candidates(); }

  /// Node to send a call to: the leader, or else the candidates in turn. Empty
  /// if there is none.
  NodeId ChooseNode();

  /// A member described the group.
  void OnGroupView(const NodeId& from, const GroupView& view);

  /// A member replied as the leader of a term; zero from older versions.
  void OnLeaderReply(const NodeId& from, Term term);

  /// A member did not handle a call because it is not the leader.
  void OnNotLeader(const NodeId& from, const WorkflowReply& reply);

  /// A call that was sent to a node at `sent_at` got no reply in time. The
  /// leader is dropped unless it sent something since: it may be slow with the
  /// call.
  void OnUnanswered(const NodeId& node, Millis sent_at);

  /// Sends requests for the members and the leader that are due.
  void OnTick();

 private:
  /// Takes a node for the leader if it was elected after the known one. In the
  /// same term its own word counts, and that of others only while no leader is
  /// known and the node has left no call unanswered.
  void OnNamedLeader(const NodeId& named, Term term, const NodeId& source);
  void SetLeader(const NodeId& next, const NodeId& source);
  /// The leader sent nothing in time.
  void DropLeader();
  /// Asks all candidates for the leader.
  void Search();
  void Forget(Millis now);

  const Clock& m_clock;
  Transport& m_transport;
  DecisionLog& m_decisions;
  LeaderTracker m_tracker;
  // Highest term in which a member named a leader.
  Term m_term = 0;
  // Nodes that left a call unanswered as leader, and have sent nothing since.
  std::set<NodeId> m_unresponsive;
  NodeId m_last_chosen;
  Millis m_next_request;
  // Whether the last request for the members got no reply of the leader yet.
  bool m_is_request_open = false;
  Millis m_last_search{-1'000'000};
  // When a leader last replied.
  Millis m_searching_since;
};

}  // namespace fulmarrock

#endif  // SOURCE_ENTRY_LEADER_FINDER_H_
