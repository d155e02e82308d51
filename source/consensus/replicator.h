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

/// Used by the leader: sends entries, heartbeats and snapshots to the other
/// members, and tracks what they have stored and when they replied.
///
/// A follower is probed until a matching entry is found. Then entries are
/// pipelined within a limit of unacknowledged bytes. A follower that needs
/// entries before the log's base index gets a snapshot, one chunk at a time.
class Replicator {
 public:
  Replicator(const ConsensusOptions& options,
             Transport& transport,
             const Clock& clock,
             const EntryLog& log,
             const SnapshotArchive& archive,
             Counters& counters);

  /// Starts a term as leader; discards what was known about other members.
  void Start(Term term);

  /// Updates the set of peers after a membership change.
  void UpdatePeers();

  void SetCommitIndex(LogIndex index) { m_commit_index = index; }

  /// Sends new entries to every follower that is not being probed or receiving
  /// a snapshot.
  void SendEntries();

  /// Sends heartbeats that are due, and resends after timeouts.
  void OnTick();

  void OnAppendReply(const NodeId& from, const AppendReply& reply);
  void OnSnapshotAck(const NodeId& from, const SnapshotAck& ack);

  /// Highest index that a quorum of the voters has stored. `own_index` is the
  /// last index that this member has synced.
  LogIndex QuorumIndex(LogIndex own_index) const;

  /// Whether all other members have stored the entry at an index.
  bool AllStored(LogIndex index) const;

  /// The latest time such that a quorum replied to requests sent then or later.
  Millis QuorumAckedSendTime() const;

  /// Highest log index that a member is known to have stored.
  LogIndex MatchOf(const NodeId& node) const;

  /// Time since a member's last reply; after an idle period, since entries were
  /// sent to it again.
  Millis TimeSinceReply(const NodeId& node) const;

  /// Whether a member replied recently and has all committed entries. An
  /// unresponsive member must not become a voter: the group could lose its
  /// quorum.
  bool IsCaughtUp(const NodeId& node) const;

  /// Whether a responsive follower is receiving a snapshot.
  bool IsSendingSnapshot() const;

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
    // Time of sending of the newest request that got a reply.
    Millis acked_send_time;
    // Time of the last reply. Also set when the peer is created and when
    // entries are sent while none are in flight.
    Millis last_reply_time;
    Millis last_sent;
    LogIndex transfer_index = 0;
    uint64_t transfer_offset = 0;
    Millis last_chunk_sent;
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
  // Time without a reply after which requests count as lost.
  Millis m_resend_timeout;
  Term m_term = 0;
  LogIndex m_commit_index = 0;
  std::map<NodeId, Peer> m_peers;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONSENSUS_REPLICATOR_H_
