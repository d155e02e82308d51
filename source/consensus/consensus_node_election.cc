#include <tuple>
#include <utility>

#include "source/consensus/consensus_node.h"

// The part of ConsensusNode that implements elections.

namespace fulmarrock {

void ConsensusNode::OnVoteRequest(const NodeId& from,
                                  const VoteRequest& request) {
  if (HasActiveLeader()) {
    m_counters.Add("votes_refused_for_leader");
    SendVoteReply(from, request, false);
    return;
  }
  const bool would_vote = WouldVote(request);
  if (request.is_pre_vote) {
    SendVoteReply(from, request, would_vote && request.term > CurrentTerm());
    return;
  }
  if (request.term < CurrentTerm()) {
    SendVoteReply(from, request, false);
    return;
  }
  const bool is_new_term = request.term > CurrentTerm();
  const NodeId& earlier = m_state.state().voted_for;
  const bool is_granted =
      would_vote && (is_new_term || earlier.empty() || earlier == from);
  if (is_new_term)
    StepDown();
  if (is_new_term || (is_granted && earlier.empty())) {
    if (!AdoptTerm(request.term, is_granted ? from : NodeId()))
      return;
  }
  if (is_granted)
    ResetElectionDeadline();
  SendVoteReply(from, request, is_granted);
}

void ConsensusNode::OnVoteReply(const NodeId& from, const VoteReply& reply) {
  if (!m_log->members().IsVoter(from, reply.voter_incarnation)) {
    CountRejectedReply(from);
    return;
  }
  if (!reply.is_granted) {
    if (reply.term > CurrentTerm()) {
      StepDown();
      AdoptTerm(reply.term, {});
    }
    return;
  }
  const Role role = reply.is_pre_vote ? Role::kPreCandidate : Role::kCandidate;
  const Term term = reply.is_pre_vote ? CurrentTerm() + 1 : CurrentTerm();
  if (m_role != role || reply.term != term)
    return;
  m_votes.insert(from);
  if (!HasVoteQuorum())
    return;
  if (reply.is_pre_vote)
    StartElection();
  else
    BecomeLeader();
}

bool ConsensusNode::WouldVote(const VoteRequest& request) const {
  return !IsRefused() &&
         std::tie(request.last_term, request.last_index) >=
             std::make_tuple(m_log->last_term(), m_log->last_index());
}

void ConsensusNode::SendVoteReply(const NodeId& from,
                                  const VoteRequest& request,
                                  bool is_granted) {
  VoteReply reply;
  reply.term = is_granted ? request.term : CurrentTerm();
  reply.is_pre_vote = request.is_pre_vote;
  reply.is_granted = is_granted;
  reply.voter_incarnation = incarnation();
  m_env.transport.Send(from, Message(reply));
}

bool ConsensusNode::MayCampaign() const {
  if (m_log->members().IsVoter(m_options.node, incarnation()))
    return true;
  // A leader that removed itself may be the only member with that entry. Then
  // only this member can win an election, by the votes of the remaining ones.
  const Membership* previous = m_log->PreviousMembers();
  return previous != nullptr && m_log->membership_index() > m_commit_index &&
         m_log->members().Find(m_options.node) == nullptr &&
         previous->IsVoter(m_options.node, incarnation());
}

void ConsensusNode::StartPreVote() {
  m_role = Role::kPreCandidate;
  m_leader.clear();
  m_votes = {m_options.node};
  // A pre-vote changes no state, so it is retried after one to three
  // heartbeats. The random part keeps candidates from splitting the votes
  // again.
  m_election_deadline =
      m_env.clock.Now() + m_options.heartbeat +
      Millis(static_cast<int64_t>(m_env.random.Below(
          static_cast<uint64_t>(m_options.heartbeat.count()) * 2)));
  m_counters.Add("pre_votes_started");
  if (HasVoteQuorum())
    StartElection();
  else
    RequestVotes(true);
}

void ConsensusNode::StartElection() {
  m_role = Role::kCandidate;
  if (!AdoptTerm(CurrentTerm() + 1, m_options.node))
    return;
  m_votes = {m_options.node};
  m_counters.Add("elections_started");
  if (HasVoteQuorum())
    BecomeLeader();
  else
    RequestVotes(false);
}

void ConsensusNode::RequestVotes(bool is_pre_vote) {
  VoteRequest request;
  request.term = is_pre_vote ? CurrentTerm() + 1 : CurrentTerm();
  request.is_pre_vote = is_pre_vote;
  request.last_index = m_log->last_index();
  request.last_term = m_log->last_term();
  request.candidate_incarnation = incarnation();
  for (const Member& member : Members()) {
    if (member.is_voter && member.node != m_options.node)
      m_env.transport.Send(member.node, Message(request));
  }
}

bool ConsensusNode::HasVoteQuorum() const {
  size_t count = 0;
  for (const Member& member : m_log->members().members()) {
    if (member.is_voter && m_votes.contains(member.node))
      ++count;
  }
  return count >= m_log->members().QuorumSize();
}

void ConsensusNode::BecomeLeader() {
  m_role = Role::kLeader;
  m_leader = m_options.node;
  m_is_ready = false;
  m_no_op_index = 0;
  m_synced_index = m_log->last_index();
  m_initial_incarnations = {{m_options.node, incarnation()}};
  m_uncommitted_bytes = 0;
  for (LogIndex i = m_commit_index + 1; i <= m_log->last_index(); ++i)
    m_uncommitted_bytes += EntryLog::SizeOf(m_log->At(i));
  m_counters.Add("elections_won");
  m_replicator->Start(CurrentTerm());
  m_replicator->SetCommitIndex(m_commit_index);
  if (IsBootstrapping()) {
    RecordInitialMembers();
    AdvanceCommit();
  } else {
    m_no_op_index = Enqueue(EntryKind::kNoOp, {});
    Flush();
  }
  if (m_role == Role::kLeader)
    m_replicator->OnTick();
}

void ConsensusNode::StepDown() {
  const bool was_ready = m_role == Role::kLeader && m_is_ready;
  m_role = Role::kFollower;
  m_is_ready = false;
  m_leader.clear();
  m_pending.clear();
  m_has_pending_change = false;
  ResetElectionDeadline();
  if (was_ready)
    m_env.state_machine.OnLeadershipLost();
}

void ConsensusNode::FollowLeader(const NodeId& leader) {
  m_role = Role::kFollower;
  m_leader = leader;
  m_last_leader_contact = m_env.clock.Now();
  ResetElectionDeadline();
}

bool ConsensusNode::HasActiveLeader() const {
  const Millis now = m_env.clock.Now();
  if (m_role != Role::kLeader)
    return now - m_last_leader_contact < m_options.election_timeout_min;
  // The leader uses a shorter time than its followers, because clocks drift.
  return now - m_replicator->QuorumAckedSendTime() <
         m_options.election_timeout_min * 9 / 10;
}

bool ConsensusNode::AdoptTerm(Term term, const NodeId& voted_for) {
  return !FailOn(m_state.SetTermAndVote(term, voted_for));
}

void ConsensusNode::ResetElectionDeadline() {
  const Millis range =
      m_options.election_timeout_max - m_options.election_timeout_min;
  m_election_deadline = m_env.clock.Now() + m_options.election_timeout_min +
                        Millis(static_cast<int64_t>(m_env.random.Below(
                            static_cast<uint64_t>(range.count()) + 1)));
}

}  // namespace fulmarrock
