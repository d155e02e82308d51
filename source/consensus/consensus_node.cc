#include "source/consensus/consensus_node.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "source/base/json_text.h"

namespace fulmarrock {
namespace {

Result<void> CheckOptions(const ConsensusOptions& options) {
  if (options.node.empty() ||
      (!options.initial_members.empty() &&
       std::find(options.initial_members.begin(), options.initial_members.end(),
                 options.node) == options.initial_members.end())) {
    return MakeError(ErrorKind::kInvalidArgument,
                     "the node is not one of the initial members",
                     "include this node in the list, or leave the list empty "
                     "on a member that is added later");
  }
  if (options.heartbeat <= Millis(0) ||
      options.heartbeat * 2 > options.election_timeout_min ||
      options.election_timeout_min >= options.election_timeout_max) {
    return MakeError(ErrorKind::kInvalidArgument,
                     "the heartbeat and the election timeouts are inconsistent",
                     "use a positive heartbeat, a minimum election timeout of "
                     "at least two heartbeats, and a larger maximum");
  }
  return {};
}

}  // namespace

ConsensusNode::ConsensusNode(const ConsensusOptions& options,
                             const ConsensusEnvironment& environment,
                             MemberStateStore state)
    : m_options(options),
      m_env(environment),
      m_state(std::move(state)),
      m_archive(environment.storage),
      m_receiver(options.max_snapshot_bytes) {}

Result<std::unique_ptr<ConsensusNode>> ConsensusNode::Open(
    const ConsensusOptions& options,
    const ConsensusEnvironment& environment) {
  if (Result<void> result = CheckOptions(options); !result)
    return tl::make_unexpected(std::move(result.error()));
  Result<MemberStateStore> state = MemberStateStore::Open(
      environment.storage, options.node, environment.random);
  if (!state)
    return tl::make_unexpected(std::move(state.error()));
  std::unique_ptr<ConsensusNode> node(
      new ConsensusNode(options, environment, std::move(*state)));
  if (Result<void> result = node->Recover(); !result)
    return tl::make_unexpected(std::move(result.error()));
  return node;
}

Result<void> ConsensusNode::Recover() {
  const Result<std::optional<std::string>> state = m_archive.Load();
  if (!state)
    return tl::make_unexpected(state.error());
  Membership members = Membership::OfInitialMembers(m_options.initial_members);
  if (*state) {
    members = Membership(m_archive.metadata().members);
    if (Result<void> result = m_env.state_machine.RestoreSnapshot(**state);
        !result)
      return result;
  }
  const SnapshotMetadata& snapshot = m_archive.metadata();
  Result<std::unique_ptr<EntryLog>> log =
      EntryLog::Open(m_env.storage, m_options.segment_bytes, snapshot.index,
                     snapshot.term, members);
  if (!log)
    return tl::make_unexpected(std::move(log.error()));
  m_log = std::move(*log);
  m_commit_index = snapshot.index;
  m_replicator = std::make_unique<Replicator>(
      m_options, m_env.transport, m_env.clock, *m_log, m_archive, m_counters);
  // This member may have replied to a leader just before it restarted. That
  // leader relies on the member not voting for one election timeout.
  m_last_leader_contact = m_env.clock.Now();
  ResetElectionDeadline();
  return {};
}

void ConsensusNode::OnMessage(const NodeId& from, const Message& message) {
  if (m_failure)
    return;
  if (const auto* vote_request = std::get_if<VoteRequest>(&message))
    OnVoteRequest(from, *vote_request);
  else if (const auto* vote_reply = std::get_if<VoteReply>(&message))
    OnVoteReply(from, *vote_reply);
  else if (const auto* append_request = std::get_if<AppendRequest>(&message))
    OnAppendRequest(from, *append_request);
  else if (const auto* append_reply = std::get_if<AppendReply>(&message))
    OnAppendReply(from, *append_reply);
  else if (const auto* chunk = std::get_if<SnapshotChunk>(&message))
    OnSnapshotChunk(from, *chunk);
  else if (const auto* ack = std::get_if<SnapshotAck>(&message))
    OnSnapshotAck(from, *ack);
}

void ConsensusNode::OnTick() {
  if (m_failure)
    return;
  if (m_role == Role::kLeader) {
    TickLeader();
  } else if (MayCampaign()) {
    // In a group of one no other member can lead, so there is no timeout.
    const bool is_only_member = m_log->members().members().size() == 1;
    if (is_only_member || m_env.clock.Now() >= m_election_deadline)
      StartPreVote();
  }
  if (!m_failure)
    TakeSnapshotIfDue();
}

Result<LogIndex> ConsensusNode::Propose(std::string command) {
  if (Result<void> result = CheckLeader(); !result)
    return tl::make_unexpected(std::move(result.error()));
  if (command.size() > m_options.max_command_bytes) {
    return MakeError(
        ErrorKind::kInvalidArgument,
        "a command of " + std::to_string(command.size()) + " bytes is too long",
        "split it into commands of at most " +
            std::to_string(m_options.max_command_bytes) + " bytes");
  }
  if (m_uncommitted_bytes + command.size() > m_options.max_uncommitted_bytes) {
    m_counters.Add("proposals_refused");
    return MakeError(ErrorKind::kResourceExhausted,
                     "too many commands are uncommitted",
                     "try again after a delay");
  }
  LogIndex index = 0;
  for (LogEntry& entry :
       SplitCommand(std::move(command), m_options.max_entry_bytes))
    index = Enqueue(entry.kind, std::move(entry.payload));
  return index;
}

bool ConsensusNode::IsLeader() const {
  return m_role == Role::kLeader && m_is_ready && HasActiveLeader();
}

std::vector<NodeId> ConsensusNode::UnresponsiveMembers(Millis timeout) const {
  std::vector<NodeId> unresponsive;
  for (const Member& member : m_log->members().members()) {
    if (member.node != m_options.node &&
        m_replicator->TimeSinceReply(member.node) >= timeout) {
      unresponsive.push_back(member.node);
    }
  }
  return unresponsive;
}

std::vector<Member> ConsensusNode::Members() const {
  return m_log->members().members();
}

Result<LogIndex> ConsensusNode::AddMember(const NodeId& node,
                                          Incarnation incarnation) {
  if (Result<void> result = CheckMembershipChange(); !result)
    return tl::make_unexpected(std::move(result.error()));
  std::vector<Member> members = Members();
  if (m_log->members().Find(node) != nullptr) {
    return MakeError(ErrorKind::kConflict, node + " is already a member",
                     "remove it first if its data folder was replaced");
  }
  const bool is_known = std::any_of(members.begin(), members.end(),
                                    [incarnation](const Member& member) {
                                      return member.incarnation == incarnation;
                                    });
  if (node.empty() || incarnation == 0 || is_known) {
    return MakeError(ErrorKind::kInvalidArgument,
                     "the new member needs a name and an incarnation that no "
                     "other member has",
                     "start it with an empty data folder and use the "
                     "incarnation it reports");
  }
  members.push_back(
      {.node = node, .incarnation = incarnation, .is_voter = false});
  return EnqueueMembers(std::move(members));
}

Result<LogIndex> ConsensusNode::RemoveMember(const NodeId& node) {
  if (Result<void> result = CheckMembershipChange(); !result)
    return tl::make_unexpected(std::move(result.error()));
  const Member* member = m_log->members().Find(node);
  if (member == nullptr) {
    return MakeError(ErrorKind::kNotFound, node + " is not a member",
                     "check the name against the list of members");
  }
  if (member->is_voter && m_log->members().VoterCount() == 1) {
    return MakeError(ErrorKind::kFailedPrecondition,
                     node + " is the last voter",
                     "add another member and wait until it votes");
  }
  std::vector<Member> members = Members();
  std::erase_if(members,
                [&node](const Member& other) { return other.node == node; });
  return EnqueueMembers(std::move(members));
}

bool ConsensusNode::IsRefused() const {
  return m_log->members().Find(m_options.node) != nullptr &&
         !m_log->members().Matches(m_options.node, incarnation());
}

std::string ConsensusNode::DumpState() const {
  static constexpr const char* kRoles[] = {"follower", "pre_candidate",
                                           "candidate", "leader"};
  nlohmann::json members = nlohmann::json::array();
  for (const Member& member : Members()) {
    members.push_back({{"node", member.node},
                       {"incarnation", member.incarnation},
                       {"is_voter", member.is_voter},
                       {"match_index", m_replicator->MatchOf(member.node)}});
  }
  const nlohmann::json state = {
      {"node", m_options.node},
      {"incarnation", incarnation()},
      {"role", kRoles[static_cast<size_t>(m_role)]},
      {"leader", m_leader},
      {"term", CurrentTerm()},
      {"commit_index", m_commit_index},
      {"last_index", last_index()},
      {"snapshot_index", snapshot_index()},
      {"is_refused", IsRefused()},
      {"failure", m_failure ? m_failure->Describe() : std::string()},
      {"members", std::move(members)}};
  return ToJsonText(state);
}

void ConsensusNode::CommitUpTo(LogIndex index) {
  while (m_commit_index < index) {
    ++m_commit_index;
    const LogEntry& entry = m_log->At(m_commit_index);
    const size_t size = EntryLog::SizeOf(entry);
    m_applied_bytes += size;
    m_uncommitted_bytes -= std::min(m_uncommitted_bytes, size);
    if (const auto command = m_assembler.Add(entry))
      m_env.state_machine.Apply(m_commit_index, *command);
  }
}

void ConsensusNode::TakeSnapshotIfDue() {
  if (m_archive.is_writing()) {
    ContinueSnapshot();
    return;
  }
  size_t limit =
      std::max<size_t>(m_options.snapshot_log_bytes, m_archive.state_size());
  // A new snapshot restarts transfers, so while a follower receives one, the
  // next is delayed to let the transfer finish.
  if (m_role == Role::kLeader && m_replicator->IsSendingSnapshot())
    limit *= 4;
  // The parts of an incomplete command are not in the state.
  if (m_applied_bytes < limit || m_assembler.HasParts())
    return;
  SnapshotMetadata metadata;
  metadata.index = m_commit_index;
  metadata.term = m_log->TermAt(m_commit_index);
  metadata.members = m_log->MembersAt(m_commit_index).members();
  m_archive.Begin(std::move(metadata), m_env.state_machine.SaveSnapshot());
  m_applied_bytes = 0;
  ContinueSnapshot();
}

void ConsensusNode::ContinueSnapshot() {
  const Result<bool> is_done =
      m_archive.Continue(m_options.snapshot_write_bytes);
  if (!is_done) {
    FailOn(tl::make_unexpected(is_done.error()));
    return;
  }
  if (!*is_done)
    return;
  m_counters.Add("snapshots_taken");
  FailOn(m_log->Compact(snapshot_index(), m_options.trailing_bytes));
}

bool ConsensusNode::FailOn(const Result<void>& result) {
  if (result)
    return false;
  m_counters.Add("storage_failures");
  m_failure = result.error();
  StepDown();
  m_leader.clear();
  return true;
}

void ConsensusNode::CountRejectedReply(const NodeId& from) {
  m_counters.Add(m_log->members().Find(from) == nullptr
                     ? "replies_of_non_members"
                     : "replies_of_wrong_incarnation");
}

}  // namespace fulmarrock
