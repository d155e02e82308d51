#ifndef SOURCE_CONSENSUS_REPLICATOR_H_
#define SOURCE_CONSENSUS_REPLICATOR_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "source/base/clock.h"
#include "source/base/counters.h"
#include "source/consensus/consensus_options.h"
#include "source/consensus/entry_log.h"
#include "source/consensus/snapshot_archive.h"
#include "source/message/transport.h"

namespace fulmarrock {

/// The leader's view of the other members: sends them entries, heartbeats and
/// snapshots, and tracks what they stored and when they answered.
///
/// A follower is probed until a common entry is found. Then entries are
/// pipelined within a limit of unacknowledged bytes. One that needs entries
/// before the log's base gets a snapshot, one chunk at a time.
class Replicator {
 public:
  Replicator(const ConsensusOptions& options,
             Transport& transport,
             const Clock& clock,
             const EntryLog& log,
             const SnapshotArchive& archive,
             Counters& counters);

  /// Starts a term as leader: nothing is known about the other members.
  void Start(Term term);

  /// Follows a change of the membership.
  void UpdatePeers();

  void SetCommitIndex(LogIndex index) { m_commit_index = index; }

  /// Sends new entries to every follower that can take them.
  void SendEntries();

  /// Sends heartbeats that are due, and repeats what was lost.
  void OnTick();

  void OnAppendReply(const NodeId& from, const AppendReply& reply);
  void OnSnapshotAck(const NodeId& from, const SnapshotAck& ack);

  /// Highest index that a quorum of the voters stored. `own_index` is what this
  /// member synced.
  LogIndex QuorumIndex(LogIndex own_index) const;

  /// Whether all other members stored the entry at an index.
  bool AllStored(LogIndex index) const;

  /// Time at which the newest requests were sent that a quorum answered.
  Millis QuorumContact() const;

  /// Index up to which a member is known to hold the log.
  LogIndex MatchOf(const NodeId& node) const;

  /// Time since a member's last answer, or since the first request without one.
  Millis SilenceOf(const NodeId& node) const;

  /// Whether a member answered lately and holds all committed entries. A member
  /// that does not answer must not become a voter: it would cost the quorum.
  bool IsCaughtUp(const NodeId& node) const;

  /// Whether a follower is receiving a snapshot and answers.
  bool HasTransfer() const;

 private:
  enum class Mode { kProbe, kReplicate, kSnapshot };

  struct InFlight {
    LogIndex last_index = 0;
    size_t bytes = 0;
  };

  struct Peer {
    Incarnation incarnation = 0;
    Mode mode = Mode::kReplicate;
    LogIndex next = 1;
    LogIndex match = 0;
    std::deque<InFlight> in_flight;
    size_t in_flight_bytes = 0;
    // Sending time of the newest request that was answered.
    Millis contact;
    // Time of the last answer, or of the first request without one.
    Millis last_answer;
    Millis last_sent;
    LogIndex transfer_index = 0;
    uint64_t transfer_offset = 0;
    Millis chunk_sent;
  };

  void SendEntriesTo(const NodeId& node, Peer& peer);
  void SendHeartbeat(const NodeId& node, Peer& peer);
  void SendAppend(const NodeId& node, Peer& peer, AppendRequest request);
  void SendChunk(const NodeId& node, Peer& peer);
  void Probe(const NodeId& node, Peer& peer, LogIndex next);
  void OnSuccess(const NodeId& node, Peer& peer, LogIndex match);
  void OnMismatch(const NodeId& node, Peer& peer, LogIndex hint);
  static void ClearInFlight(Peer& peer);

  const ConsensusOptions& m_options;
  Transport& m_transport;
  const Clock& m_clock;
  const EntryLog& m_log;
  const SnapshotArchive& m_archive;
  Counters& m_counters;
  // Silence after which requests count as lost.
  Millis m_resend_after;
  Term m_term = 0;
  LogIndex m_commit_index = 0;
  std::map<NodeId, Peer> m_peers;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONSENSUS_REPLICATOR_H_
