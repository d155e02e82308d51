#ifndef SOURCE_CONSENSUS_SNAPSHOT_RECEIVER_H_
#define SOURCE_CONSENSUS_SNAPSHOT_RECEIVER_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "source/message/consensus_messages.h"

namespace fulmarrock {

/// Assembles a snapshot from chunks. An interrupted transfer resumes, also
/// after a leader change, as long as the same snapshot is sent.
class SnapshotReceiver {
 public:
  explicit SnapshotReceiver(size_t max_bytes) : m_max_bytes(max_bytes) {}

  /// Adds a chunk that continues the received bytes and ignores any other. A
  /// chunk of another snapshot first discards the received bytes. Returns
  /// whether the state is complete.
  bool Add(const SnapshotChunk& chunk);

  /// Offset of the first missing byte.
  uint64_t next_offset() const { return m_state.size(); }

  /// Returns the state and ends the transfer.
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
