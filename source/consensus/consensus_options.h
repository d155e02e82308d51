#ifndef SOURCE_CONSENSUS_CONSENSUS_OPTIONS_H_
#define SOURCE_CONSENSUS_CONSENSUS_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "source/base/ids.h"
#include "source/base/millis.h"

namespace fulmarrock {

/// Settings of one member of a consensus group. The times must be the same on
/// all members, because the leader relies on the followers' election timeout.
struct ConsensusOptions {
  NodeId node;
  /// Members that bootstrap the group, including this node; the same list on
  /// each of them. Empty on a member that is added later.
  std::vector<NodeId> initial_members;

  Millis heartbeat{100};
  Millis election_timeout_min{300};
  Millis election_timeout_max{600};

  /// Largest payload of an entry; a longer command is stored in several. A
  /// message carries at least one entry and must stay below the frame limit of
  /// 4 MiB.
  size_t max_entry_bytes = size_t{1} << 20;
  /// Largest command; at most `max_uncommitted_bytes`.
  size_t max_command_bytes = size_t{8} << 20;
  /// Bytes of entries per message; a single larger entry is sent alone.
  size_t max_message_bytes = size_t{256} << 10;
  /// Bytes of unacknowledged entries sent to one follower.
  size_t max_in_flight_bytes = size_t{1} << 20;
  /// Bytes of proposed commands that are not committed.
  size_t max_uncommitted_bytes = size_t{16} << 20;

  size_t snapshot_chunk_bytes = size_t{256} << 10;
  /// Largest state a follower accepts; it is buffered in memory until complete.
  size_t max_snapshot_bytes = size_t{128} << 20;
  /// Bytes of applied entries after which a snapshot is taken. If the state is
  /// larger than this, its size is the threshold instead, which bounds the cost
  /// per command.
  size_t snapshot_log_bytes = size_t{8} << 20;
  /// Bytes of a snapshot that are written and synced per tick, so that a large
  /// state delays neither heartbeats nor commands.
  size_t snapshot_write_bytes = size_t{1} << 20;
  /// Bytes of entries that are kept although a snapshot covers them, for
  /// followers that lag slightly.
  size_t trailing_bytes = size_t{1} << 20;
  uint64_t segment_bytes = uint64_t{16} << 20;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONSENSUS_CONSENSUS_OPTIONS_H_
