#include "source/consensus/snapshot_archive.h"

#include <utility>

#include "source/message/field_codec.h"

namespace fulmarrock {

Result<std::optional<std::string>> SnapshotArchive::Load() {
  Result<std::optional<StoredSnapshot>> stored = m_store.Load();
  if (!stored)
    return tl::make_unexpected(std::move(stored.error()));
  if (!*stored)
    return std::nullopt;
  Result<SnapshotMetadata> metadata =
      UnpackStruct<SnapshotMetadata>((*stored)->metadata);
  if (!metadata)
    return tl::make_unexpected(std::move(metadata.error()));
  m_metadata = std::move(*metadata);
  return std::move((*stored)->state);
}

void SnapshotArchive::Begin(SnapshotMetadata metadata, std::string state) {
  m_store.Begin(PackStruct(metadata), std::move(state));
  m_next = std::move(metadata);
}

Result<bool> SnapshotArchive::Continue(size_t max_bytes) {
  const Result<bool> is_done = m_store.Continue(max_bytes);
  if (is_done && *is_done) {
    m_metadata = std::move(*m_next);
    m_next.reset();
  }
  return is_done;
}

Result<void> SnapshotArchive::Save(SnapshotMetadata metadata,
                                   std::string state) {
  m_next.reset();
  if (Result<void> result =
          m_store.Save(PackStruct(metadata), std::move(state));
      !result)
    return result;
  m_metadata = std::move(metadata);
  return {};
}

Result<SnapshotChunk> SnapshotArchive::MakeChunk(uint64_t offset,
                                                 uint64_t length) const {
  Result<std::string> bytes = m_store.ReadState(offset, length);
  if (!bytes)
    return tl::make_unexpected(std::move(bytes.error()));
  SnapshotChunk chunk;
  chunk.snapshot_index = m_metadata.index;
  chunk.snapshot_term = m_metadata.term;
  chunk.offset = offset;
  chunk.total_size = m_store.state_size();
  chunk.checksum = m_store.state_checksum();
  chunk.members = m_metadata.members;
  chunk.bytes = std::move(*bytes);
  return chunk;
}

}  // namespace fulmarrock
