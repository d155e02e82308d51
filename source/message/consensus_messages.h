#ifndef SOURCE_MESSAGE_CONSENSUS_MESSAGES_H_
#define SOURCE_MESSAGE_CONSENSUS_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "source/base/ids.h"

namespace fulmarrock {

using Term = uint64_t;
using LogIndex = uint64_t;

/// What a log entry carries.
enum class EntryKind : uint8_t {
  kNoOp,     ///< Appended by a new leader to commit entries of earlier terms.
  kCommand,  ///< A command for the state machine, or the last part of one.
  kMembership,   ///< A new membership of the group.
  kCommandPart,  ///< A part of a long command that the next entry continues.
};
constexpr EntryKind MaxValue(EntryKind) {
  return EntryKind::kCommandPart;
}

/// One entry of the replicated log; its index follows from its position.
struct LogEntry {
  Term term = 0;
  EntryKind kind = EntryKind::kNoOp;
  std::string payload;

  bool operator==(const LogEntry&) const = default;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.term, self.kind, self.payload);
  }
};

/// Member of a consensus group. The incarnation is a random number drawn when
/// its data folder is created, so a member that lost its folder has another
/// one.
struct Member {
  NodeId node;
  Incarnation incarnation = 0;
  /// A learner receives the log but does not vote.
  bool is_voter = true;

  bool operator==(const Member&) const = default;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.node, self.incarnation, self.is_voter);
  }
};

/// Asks for a vote, or in a pre-vote whether a vote would be granted.
struct VoteRequest {
  Term term = 0;
  bool is_pre_vote = false;
  LogIndex last_index = 0;
  Term last_term = 0;
  Incarnation candidate_incarnation = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.term, self.is_pre_vote, self.last_index, self.last_term,
            self.candidate_incarnation);
  }
};

/// Answers a VoteRequest.
struct VoteReply {
  Term term = 0;
  bool is_pre_vote = false;
  bool is_granted = false;
  Incarnation voter_incarnation = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.term, self.is_pre_vote, self.is_granted,
            self.voter_incarnation);
  }
};

/// Leader to follower: entries after `previous_index`, or a heartbeat.
struct AppendRequest {
  Term term = 0;
  LogIndex previous_index = 0;
  Term previous_term = 0;
  LogIndex commit_index = 0;
  std::vector<LogEntry> entries;
  /// Number of this round of heartbeats, for the leader's quorum check.
  uint64_t round = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.term, self.previous_index, self.previous_term,
            self.commit_index, self.entries, self.round);
  }
};

/// Follower to leader: answers an AppendRequest.
struct AppendReply {
  Term term = 0;
  bool is_success = false;
  /// On success the last index that is written and synced; otherwise the index
  /// from which the leader should continue.
  LogIndex match_index = 0;
  uint64_t round = 0;
  Incarnation incarnation = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.term, self.is_success, self.match_index, self.round,
            self.incarnation);
  }
};

/// Leader to follower: part of a snapshot.
struct SnapshotChunk {
  Term term = 0;
  LogIndex snapshot_index = 0;
  Term snapshot_term = 0;
  uint64_t offset = 0;
  uint64_t total_size = 0;
  uint64_t checksum = 0;
  std::vector<Member> members;
  std::string bytes;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.term, self.snapshot_index, self.snapshot_term, self.offset,
            self.total_size, self.checksum, self.members, self.bytes);
  }
};

/// Follower to leader: the number of bytes received so far, or that the
/// snapshot is installed.
struct SnapshotAck {
  Term term = 0;
  LogIndex snapshot_index = 0;
  uint64_t next_offset = 0;
  bool is_installed = false;
  Incarnation incarnation = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.term, self.snapshot_index, self.next_offset, self.is_installed,
            self.incarnation);
  }
};

}  // namespace fulmarrock

#endif  // SOURCE_MESSAGE_CONSENSUS_MESSAGES_H_
