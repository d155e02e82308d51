#ifndef SOURCE_CONSENSUS_CONSENSUS_OPTIONS_H_
#define SOURCE_CONSENSUS_CONSENSUS_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "source/base/ids.h"
#include "source/base/millis.h"

namespace fulmarrock {

/// Settings of one member of a consensus group. Times must be equal at all
/// members, because the leader relies on the followers' election timeout.
struct ConsensusOptions {
  NodeId node;
  /// Founding members, this node included; the same list at each of them. Empty
  /// at a member that is added later.
  std::vector<NodeId> initial_members;

  Millis heartbeat{50};
  Millis election_timeout_min{300};
  Millis election_timeout_max{600};

  /// Largest command; a message holds at least one command and has to stay
  /// below the frame limit of 4 MiB.
  size_t max_command_bytes = size_t{1} << 20;
  /// Entries per message, unless a single one is larger.
  size_t max_message_bytes = size_t{256} << 10;
  /// Unacknowledged entries sent to one follower.
  size_t max_in_flight_bytes = size_t{1} << 20;
  /// Proposed commands that are not committed.
  size_t max_uncommitted_bytes = size_t{16} << 20;

  size_t snapshot_chunk_bytes = size_t{256} << 10;
  /// Largest state a follower accepts; it is held in memory until complete.
  size_t max_snapshot_bytes = size_t{128} << 20;
  /// Applied entries after which a snapshot is taken. A state larger than this
  /// waits for as many bytes as it has, which bounds the cost per command.
  size_t snapshot_log_bytes = size_t{8} << 20;
  /// Part of a snapshot that is written and synced per tick, so that a large
  /// state delays neither heartbeats nor commands.
  size_t snapshot_write_bytes = size_t{1} << 20;
  /// Entries kept that a snapshot covers, for followers that are slightly
  /// behind.
  size_t trailing_bytes = size_t{1} << 20;
  uint64_t segment_bytes = uint64_t{16} << 20;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONSENSUS_CONSENSUS_OPTIONS_H_
