#ifndef SOURCE_CONSENSUS_CONSENSUS_NODE_H_
#define SOURCE_CONSENSUS_CONSENSUS_NODE_H_

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "source/base/clock.h"
#include "source/base/counters.h"
#include "source/base/random_source.h"
#include "source/consensus/command_assembler.h"
#include "source/consensus/consensus_options.h"
#include "source/consensus/entry_log.h"
#include "source/consensus/replicated_log.h"
#include "source/consensus/replicator.h"
#include "source/consensus/snapshot_archive.h"
#include "source/consensus/snapshot_receiver.h"
#include "source/consensus/state_machine.h"
#include "source/message/message.h"
#include "source/message/transport.h"
#include "source/storage/member_state.h"
#include "source/storage/storage.h"

namespace fulmarrock {

/// The dependencies of a ConsensusNode. They must outlive the node.
struct ConsensusEnvironment {
  StateMachine& state_machine;
  Transport& transport;
  const Clock& clock;
  RandomSource& random;
  Storage& storage;
};

/// One member of a consensus group.
///
/// Bootstrap: the incarnations of the initial members are unknown at first. The
/// first leader appends nothing until every initial member has replied to it;
/// then its first entry records all incarnations. That entry commits only when
/// all initial members have stored it, and nothing else is appended before. So
/// before any command is accepted, every initial member durably knows every
/// incarnation, and one that loses its data folder later is detected. A leader
/// without entries steps down when an initial member replies that it has the
/// first entry. If a data folder is lost before the first entry commits, the
/// bootstrap cannot finish; as no command was accepted, all data folders can be
/// emptied to start again.
///
/// After the bootstrap, replies count only if they carry the incarnation
/// recorded for the member. A member for which another incarnation is recorded
/// neither votes nor campaigns.
///
/// After a failed write or sync, or if the stored state is damaged, the node
/// stops processing; Failure() returns the reason.
class ConsensusNode : public ReplicatedLog {
 public:
  /// Recovers the member from its storage and restores the state machine.
  /// Fails with kCorruption on damaged files and kInvalidArgument on
  /// inconsistent options.
  static Result<std::unique_ptr<ConsensusNode>> Open(
      const ConsensusOptions& options,
      const ConsensusEnvironment& environment);

  /// Handles consensus messages and ignores all others.
  void OnMessage(const NodeId& from, const Message& message);

  /// Runs timeouts and periodic work; called every kTickInterval.
  void OnTick();

  Result<LogIndex> Propose(std::string command) override;
  bool IsLeader() const override;
  NodeId Leader() const override { return m_leader; }
  Term CurrentTerm() const override { return m_state.state().term; }
  LogIndex CommitIndex() const override { return m_commit_index; }
  std::vector<NodeId> UnresponsiveMembers(Millis timeout) const override;
  Incarnation OwnIncarnation() const override { return incarnation(); }
  std::vector<Member> Members() const override;
  Result<LogIndex> AddMember(const NodeId& node,
                             Incarnation incarnation) override;
  Result<LogIndex> RemoveMember(const NodeId& node) override;

  /// Incarnation of this member's data folder.
  Incarnation incarnation() const { return m_state.state().incarnation; }
  LogIndex last_index() const { return m_log->last_index(); }
  LogIndex snapshot_index() const { return m_archive.metadata().index; }

  /// Whether the membership records another incarnation for this node, so that
  /// it has to be removed and added again.
  bool IsRefused() const;

  /// The error that stopped the node, if any.
  const std::optional<Error>& Failure() const { return m_failure; }

  const Counters& counters() const { return m_counters; }

  /// Returns the state as JSON, for operators.
  std::string DumpState() const;

 private:
  enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };

  ConsensusNode(const ConsensusOptions& options,
                const ConsensusEnvironment& environment,
                MemberStateStore state);

  Result<void> Recover();

  // Elections.
  void OnVoteRequest(const NodeId& from, const VoteRequest& request);
  void OnVoteReply(const NodeId& from, const VoteReply& reply);
  bool WouldVote(const VoteRequest& request) const;
  void SendVoteReply(const NodeId& from,
                     const VoteRequest& request,
                     bool is_granted);
  bool MayCampaign() const;
  void StartPreVote();
  void StartElection();
  void RequestVotes(bool is_pre_vote);
  bool HasVoteQuorum() const;
  void BecomeLeader();
  void StepDown();
  void FollowLeader(const NodeId& leader);
  // Whether a leader was in contact within the minimum election timeout. For
  // the leader itself: whether a quorum replied within nine tenths of it.
  bool HasActiveLeader() const;
  bool AdoptTerm(Term term, const NodeId& voted_for);
  void ResetElectionDeadline();

  // Leadership.
  void OnAppendReply(const NodeId& from, const AppendReply& reply);
  void OnSnapshotAck(const NodeId& from, const SnapshotAck& ack);
  void TickLeader();
  void ContinueBootstrap(const NodeId& from, const AppendReply& reply);
  void RecordInitialMembers();
  bool IsBootstrapping() const;
  Result<void> CheckLeader() const;
  Result<void> CheckMembershipChange() const;
  LogIndex Enqueue(EntryKind kind, std::string payload);
  LogIndex EnqueueMembers(std::vector<Member> members);
  void Flush();
  void AdvanceCommit();
  void PromoteLearner();

  // Following.
  void OnAppendRequest(const NodeId& from, const AppendRequest& request);
  void OnSnapshotChunk(const NodeId& from, const SnapshotChunk& chunk);
  bool StoreEntries(const AppendRequest& request);
  LogIndex MismatchHint(const AppendRequest& request) const;
  void InstallSnapshot(const SnapshotChunk& chunk);

  // Common.
  void CommitUpTo(LogIndex index);
  void TakeSnapshotIfDue();
  void ContinueSnapshot();
  bool FailOn(const Result<void>& result);
  void CountRejectedReply(const NodeId& from);

  ConsensusOptions m_options;
  ConsensusEnvironment m_env;
  MemberStateStore m_state;
  Counters m_counters;
  SnapshotArchive m_archive;
  SnapshotReceiver m_receiver;
  std::unique_ptr<EntryLog> m_log;
  std::unique_ptr<Replicator> m_replicator;
  std::optional<Error> m_failure;

  Role m_role = Role::kFollower;
  NodeId m_leader;
  Millis m_last_leader_contact;
  Millis m_election_deadline;
  std::set<NodeId> m_votes;

  LogIndex m_commit_index = 0;
  CommandAssembler m_assembler;
  // Bytes applied since the last snapshot.
  size_t m_applied_bytes = 0;

  // Leader only.
  std::vector<LogEntry> m_pending;
  bool m_has_pending_change = false;
  size_t m_uncommitted_bytes = 0;
  LogIndex m_synced_index = 0;
  // Index of the no-op of this term; zero before it is appended.
  LogIndex m_no_op_index = 0;
  // The no-op is applied and the state machine was notified.
  bool m_is_ready = false;
  // During the bootstrap: incarnations of the initial members that replied.
  std::map<NodeId, Incarnation> m_initial_incarnations;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONSENSUS_CONSENSUS_NODE_H_
