#ifndef SOURCE_CONSENSUS_SNAPSHOT_RECEIVER_H_
#define SOURCE_CONSENSUS_SNAPSHOT_RECEIVER_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "source/message/consensus_messages.h"

namespace fulmarrock {

/// Puts a snapshot together from chunks. Keeps what it has when the transfer is
/// interrupted, also by a change of the leader, as long as the same snapshot is
/// sent.
class SnapshotReceiver {
 public:
  explicit SnapshotReceiver(size_t max_bytes) : m_max_bytes(max_bytes) {}

  /// Takes a chunk that continues the bytes held and ignores any other. A chunk
  /// of another snapshot starts again. Returns whether the state is complete.
  bool Add(const SnapshotChunk& chunk);

  /// Offset of the first byte that is missing.
  uint64_t next_offset() const { return m_state.size(); }

  /// Returns the state and forgets the transfer.
  std::string TakeState();

 private:
  LogIndex m_index = 0;
  Term m_term = 0;
  uint64_t m_checksum = 0;
  uint64_t m_total_size = 0;
  size_t m_max_bytes;
  std::string m_state;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONSENSUS_SNAPSHOT_RECEIVER_H_
