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

Result<void> SnapshotArchive::Save(SnapshotMetadata metadata,
                                   std::string_view state) {
  if (Result<void> result = m_store.Save(PackStruct(metadata), state); !result)
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
