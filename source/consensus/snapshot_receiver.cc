#include "source/consensus/snapshot_receiver.h"

#include <utility>

#include "source/base/checksum.h"

namespace fulmarrock {

bool SnapshotReceiver::Add(const SnapshotChunk& chunk) {
  if (chunk.snapshot_index != m_index || chunk.snapshot_term != m_term ||
      chunk.checksum != m_checksum || chunk.total_size != m_total_size) {
    m_state.clear();
    m_index = chunk.snapshot_index;
    m_term = chunk.snapshot_term;
    m_checksum = chunk.checksum;
    m_total_size = chunk.total_size;
  }
  if (m_total_size > m_max_bytes || chunk.offset != m_state.size() ||
      chunk.bytes.size() > m_total_size - m_state.size())
    return false;
  m_state += chunk.bytes;
  if (m_state.size() < m_total_size)
    return false;
  if (Checksum(m_state) == m_checksum)
    return true;
  m_state.clear();
  return false;
}

std::string SnapshotReceiver::TakeState() {
  m_index = 0;
  return std::exchange(m_state, {});
}

}  // namespace fulmarrock
