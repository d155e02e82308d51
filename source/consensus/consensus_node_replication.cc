#include <algorithm>
#include <utility>

#include "source/consensus/consensus_node.h"
#include "source/storage/corruption_error.h"

// The part of ConsensusNode that replicates the log, as leader and follower.

namespace fulmarrock {

void ConsensusNode::OnAppendReply(const NodeId& from,
                                  const AppendReply& reply) {
  if (!m_log->members().Matches(from, reply.incarnation)) {
    CountRejectedReply(from);
    return;
  }
  if (reply.term > CurrentTerm()) {
    StepDown();
    AdoptTerm(reply.term, {});
    return;
  }
  if (m_role != Role::kLeader || reply.term != CurrentTerm())
    return;
  if (m_log->last_index() == 0) {
    ContinueBootstrap(from, reply);
    return;
  }
  m_replicator->OnAppendReply(from, reply);
  AdvanceCommit();
}

void ConsensusNode::OnSnapshotAck(const NodeId& from, const SnapshotAck& ack) {
  if (!m_log->members().Matches(from, ack.incarnation)) {
    CountRejectedReply(from);
    return;
  }
  if (ack.term > CurrentTerm()) {
    StepDown();
    AdoptTerm(ack.term, {});
    return;
  }
  if (m_role != Role::kLeader || ack.term != CurrentTerm())
    return;
  m_replicator->OnSnapshotAck(from, ack);
  AdvanceCommit();
}

void ConsensusNode::TickLeader() {
  if (!HasActiveLeader()) {
    m_counters.Add("quorum_losses");
    StepDown();
    return;
  }
  PromoteLearner();
  Flush();
  if (m_role == Role::kLeader)
    m_replicator->OnTick();
}

void ConsensusNode::ContinueBootstrap(const NodeId& from,
                                      const AppendReply& reply) {
  if (!reply.is_success) {
    // This initial member already has the first entry, so it has to lead.
    m_counters.Add("founding_yields");
    StepDown();
    return;
  }
  m_replicator->OnAppendReply(from, reply);
  m_initial_incarnations[from] = reply.incarnation;
  RecordInitialMembers();
  AdvanceCommit();
}

void ConsensusNode::RecordInitialMembers() {
  std::vector<Member> members = Members();
  if (m_log->last_index() > 0 || m_initial_incarnations.size() < members.size())
    return;
  for (Member& member : members)
    member.incarnation = m_initial_incarnations[member.node];
  Enqueue(EntryKind::kMembership, Membership(std::move(members)).Encode());
  Flush();
}

bool ConsensusNode::IsBootstrapping() const {
  return m_commit_index == 0 && m_log->base_index() == 0 &&
         m_log->last_index() <= 1;
}

Result<void> ConsensusNode::CheckLeader() const {
  if (IsLeader())
    return {};
  return MakeError(ErrorKind::kNotLeader, "this member is not the leader",
                   m_leader.empty() || m_leader == m_options.node
                       ? std::string("try again; no leader is known")
                       : "ask the leader, " + m_leader);
}

Result<void> ConsensusNode::CheckMembershipChange() const {
  if (Result<void> result = CheckLeader(); !result)
    return result;
  if (!m_has_pending_change && m_log->membership_index() <= m_commit_index)
    return {};
  return MakeError(ErrorKind::kConflict,
                   "another membership change is in progress",
                   "try again when it is committed");
}

LogIndex ConsensusNode::Enqueue(EntryKind kind, std::string payload) {
  LogEntry entry;
  entry.term = CurrentTerm();
  entry.kind = kind;
  entry.payload = std::move(payload);
  m_uncommitted_bytes += EntryLog::SizeOf(entry);
  m_pending.push_back(std::move(entry));
  return m_log->last_index() + m_pending.size();
}

LogIndex ConsensusNode::EnqueueMembers(std::vector<Member> members) {
  m_has_pending_change = true;
  return Enqueue(EntryKind::kMembership,
                 Membership(std::move(members)).Encode());
}

void ConsensusNode::Flush() {
  if (m_pending.empty())
    return;
  std::vector<LogEntry> entries = std::exchange(m_pending, {});
  m_has_pending_change = false;
  for (LogEntry& entry : entries) {
    if (FailOn(m_log->Append(std::move(entry))))
      return;
  }
  m_replicator->UpdatePeers();
  // Followers write in parallel with the local sync. This member counts towards
  // the quorum only after its sync.
  m_replicator->SendEntries();
  if (FailOn(m_log->Commit()))
    return;
  m_synced_index = m_log->last_index();
  m_counters.Add("batches_synced");
  AdvanceCommit();
}

void ConsensusNode::AdvanceCommit() {
  if (m_role != Role::kLeader)
    return;
  if (IsBootstrapping()) {
    if (m_synced_index < 1 || !m_replicator->AllStored(1))
      return;
    CommitUpTo(1);
    m_replicator->SetCommitIndex(m_commit_index);
    m_no_op_index = Enqueue(EntryKind::kNoOp, {});
    Flush();
    return;
  }
  const LogIndex index = m_replicator->QuorumIndex(m_synced_index);
  // Entries of earlier terms commit only together with one of this term, as a
  // later leader could otherwise still replace them.
  if (index <= m_commit_index || m_log->TermAt(index) != CurrentTerm())
    return;
  CommitUpTo(index);
  m_replicator->SetCommitIndex(m_commit_index);
  if (!m_is_ready && m_no_op_index != 0 && m_commit_index >= m_no_op_index) {
    m_is_ready = true;
    m_env.state_machine.OnLeadershipGained(CurrentTerm());
  }
  const bool is_removed = m_log->membership_index() <= m_commit_index &&
                          m_log->members().Find(m_options.node) == nullptr;
  if (is_removed)
    StepDown();
}

void ConsensusNode::PromoteLearner() {
  if (!CheckMembershipChange())
    return;
  std::vector<Member> members = Members();
  const auto it = std::find_if(
      members.begin(), members.end(), [this](const Member& member) {
        return !member.is_voter && m_replicator->IsCaughtUp(member.node);
      });
  if (it == members.end())
    return;
  it->is_voter = true;
  m_counters.Add("learners_promoted");
  EnqueueMembers(std::move(members));
}

void ConsensusNode::OnAppendRequest(const NodeId& from,
                                    const AppendRequest& request) {
  AppendReply reply;
  reply.round = request.round;
  reply.incarnation = incarnation();
  if (request.term > CurrentTerm()) {
    StepDown();
    if (!AdoptTerm(request.term, {}))
      return;
  }
  reply.term = CurrentTerm();
  // A term has one leader, so a leader ignores requests of its own term.
  if (request.term == CurrentTerm() && m_role != Role::kLeader) {
    const bool is_leader_missing_entries = request.previous_index == 0 &&
                                           request.entries.empty() &&
                                           m_log->last_index() > 0;
    if (!is_leader_missing_entries)
      FollowLeader(from);
    if (is_leader_missing_entries ||
        (request.previous_index >= m_log->base_index() &&
         !m_log->Holds(request.previous_index, request.previous_term))) {
      reply.match_index = MismatchHint(request);
    } else {
      if (!StoreEntries(request))
        return;
      reply.is_success = true;
      reply.match_index = request.previous_index + request.entries.size();
      CommitUpTo(std::min(request.commit_index, reply.match_index));
    }
  }
  m_env.transport.Send(from, Message(reply));
}

bool ConsensusNode::StoreEntries(const AppendRequest& request) {
  LogIndex index = request.previous_index;
  bool has_new = false;
  for (const LogEntry& entry : request.entries) {
    ++index;
    // Entries up to the base index are committed and therefore identical.
    if (index <= m_log->base_index() || m_log->Holds(index, entry.term))
      continue;
    if (index <= m_commit_index) {
      FailOn(
          CorruptionError("the leader sent another entry for committed index " +
                          std::to_string(index)));
      return false;
    }
    if (index <= m_log->last_index())
      m_log->TruncateAfter(index - 1);
    if (FailOn(m_log->Append(entry)))
      return false;
    has_new = true;
  }
  return !has_new || !FailOn(m_log->Commit());
}

LogIndex ConsensusNode::MismatchHint(const AppendRequest& request) const {
  if (request.previous_index == 0 ||
      request.previous_index > m_log->last_index())
    return m_log->last_index();
  // Skips the entries of the conflicting term. Entries of that term that do
  // match are sent again, so the number of skipped entries is limited.
  constexpr LogIndex kMaxSkipped = 256;
  const Term term = m_log->TermAt(request.previous_index);
  LogIndex index = request.previous_index - 1;
  while (index > m_commit_index && index > m_log->base_index() &&
         request.previous_index - index < kMaxSkipped &&
         m_log->TermAt(index) == term)
    --index;
  return index;
}

void ConsensusNode::OnSnapshotChunk(const NodeId& from,
                                    const SnapshotChunk& chunk) {
  SnapshotAck ack;
  ack.snapshot_index = chunk.snapshot_index;
  ack.incarnation = incarnation();
  if (chunk.term > CurrentTerm()) {
    StepDown();
    if (!AdoptTerm(chunk.term, {}))
      return;
  }
  ack.term = CurrentTerm();
  if (chunk.term == CurrentTerm() && m_role != Role::kLeader) {
    FollowLeader(from);
    if (chunk.total_size > m_options.max_snapshot_bytes)
      m_counters.Add("snapshots_too_large");
    if (chunk.snapshot_index > m_commit_index && m_receiver.Add(chunk)) {
      InstallSnapshot(chunk);
      if (m_failure)
        return;
    }
    ack.is_installed = chunk.snapshot_index <= m_commit_index;
    ack.next_offset = m_receiver.next_offset();
  }
  m_env.transport.Send(from, Message(ack));
}

void ConsensusNode::InstallSnapshot(const SnapshotChunk& chunk) {
  SnapshotMetadata metadata;
  metadata.index = chunk.snapshot_index;
  metadata.term = chunk.snapshot_term;
  metadata.members = chunk.members;
  const std::string state = m_receiver.TakeState();
  if (FailOn(m_archive.Save(std::move(metadata), state)))
    return;
  const bool is_held = m_log->Holds(chunk.snapshot_index, chunk.snapshot_term);
  if (FailOn(is_held ? m_log->Compact(chunk.snapshot_index,
                                      m_options.trailing_bytes)
                     : m_log->Reset(chunk.snapshot_index, chunk.snapshot_term,
                                    Membership(chunk.members))))
    return;
  if (FailOn(m_env.state_machine.RestoreSnapshot(state)))
    return;
  m_commit_index = chunk.snapshot_index;
  m_assembler.Clear();
  m_applied_bytes = 0;
  m_counters.Add("snapshots_installed");
}

}  // namespace fulmarrock
