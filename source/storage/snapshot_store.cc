#include "source/storage/snapshot_store.h"

#include <algorithm>
#include <cstddef>
#include <cstring>
#include <memory>
#include <utility>

#include "source/base/checksum.h"
#include "source/storage/corruption_error.h"

namespace fulmarrock {
namespace {

constexpr uint64_t kMagic = 0x31504E534B524D46;  // "FMRKSNP1", little-endian.
constexpr std::string_view kName = "snapshot";
constexpr std::string_view kNewName = "snapshot.new";

/// Header of the file, in little-endian order.
struct SnapshotHeader {
  uint64_t magic;
  uint64_t metadata_size;
  uint64_t state_size;
  uint64_t metadata_checksum;
  uint64_t state_checksum;
};
static_assert(sizeof(SnapshotHeader) == 40);

}  // namespace

Result<std::optional<StoredSnapshot>> SnapshotStore::Load() {
  // The file may have been renamed just before a folder sync failed.
  if (Result<void> result = m_storage.SyncFolder(); !result)
    return tl::make_unexpected(std::move(result.error()));
  // Removes an unfinished snapshot left by a crash, which would waste space.
  if (Result<void> result = m_storage.Remove(kNewName);
      !result && result.error().kind != ErrorKind::kNotFound)
    return tl::make_unexpected(std::move(result.error()));
  const Result<std::unique_ptr<StorageFile>> file = m_storage.Open(kName);
  if (!file) {
    if (file.error().kind == ErrorKind::kNotFound)
      return std::nullopt;
    return tl::make_unexpected(file.error());
  }
  const Result<std::string> bytes = (*file)->Read(0, UINT64_MAX);
  if (!bytes)
    return tl::make_unexpected(bytes.error());
  SnapshotHeader header;
  if (bytes->size() < sizeof(header))
    return CorruptionError("the snapshot is shorter than its header");
  std::memcpy(&header, bytes->data(), sizeof(header));
  const uint64_t rest = bytes->size() - sizeof(header);
  if (header.magic != kMagic || header.metadata_size > rest ||
      header.state_size != rest - header.metadata_size)
    return CorruptionError("the header of the snapshot is damaged");
  const auto body = std::string_view(*bytes).substr(sizeof(header));
  const std::string_view metadata = body.substr(0, header.metadata_size);
  const std::string_view state = body.substr(header.metadata_size);
  if (Checksum(metadata) != header.metadata_checksum ||
      Checksum(state) != header.state_checksum)
    return CorruptionError("the checksum of the snapshot does not match");
  m_state_offset = sizeof(header) + header.metadata_size;
  m_state_size = header.state_size;
  m_state_checksum = header.state_checksum;
  return StoredSnapshot{std::string(metadata), std::string(state)};
}

void SnapshotStore::Begin(std::string_view metadata, std::string state) {
  SnapshotHeader header{};
  header.magic = kMagic;
  header.metadata_size = metadata.size();
  header.state_size = state.size();
  header.metadata_checksum = Checksum(metadata);
  header.state_checksum = Checksum(state);
  m_replacement = std::make_unique<Replacement>();
  Replacement& replacement = *m_replacement;
  replacement.header_and_metadata.assign(reinterpret_cast<const char*>(&header),
                                         sizeof(header));
  replacement.header_and_metadata.append(metadata);
  replacement.state = std::move(state);
}

Result<bool> SnapshotStore::Continue(size_t max_bytes) {
  if (Result<void> result = WriteNextPart(max_bytes); !result)
    return tl::make_unexpected(std::move(result.error()));
  if (m_replacement->written < m_replacement->state.size())
    return false;
  if (Result<void> result = m_storage.Rename(kNewName, kName); !result)
    return tl::make_unexpected(std::move(result.error()));
  if (Result<void> result = m_storage.SyncFolder(); !result)
    return tl::make_unexpected(std::move(result.error()));
  SnapshotHeader header;
  std::memcpy(&header, m_replacement->header_and_metadata.data(),
              sizeof(header));
  m_state_offset = m_replacement->header_and_metadata.size();
  m_state_size = header.state_size;
  m_state_checksum = header.state_checksum;
  m_replacement.reset();
  return true;
}

Result<void> SnapshotStore::Save(std::string_view metadata, std::string state) {
  const size_t size = state.size();
  Begin(metadata, std::move(state));
  const Result<bool> result = Continue(size);
  if (!result)
    return tl::make_unexpected(result.error());
  return {};
}

Result<std::string> SnapshotStore::ReadState(uint64_t offset,
                                             uint64_t length) const {
  const Result<std::unique_ptr<StorageFile>> file = m_storage.Open(kName);
  if (!file)
    return tl::make_unexpected(file.error());
  const uint64_t begin = std::min(offset, m_state_size);
  return (*file)->Read(m_state_offset + begin,
                       std::min(length, m_state_size - begin));
}

Result<void> SnapshotStore::WriteNextPart(size_t max_bytes) {
  Replacement& replacement = *m_replacement;
  if (!replacement.file) {
    Result<std::unique_ptr<StorageFile>> file = m_storage.Create(kNewName);
    if (!file)
      return tl::make_unexpected(std::move(file.error()));
    replacement.file = std::move(*file);
    if (Result<void> result =
            replacement.file->Append(replacement.header_and_metadata);
        !result)
      return result;
  }
  const auto part = std::string_view(replacement.state)
                        .substr(replacement.written, max_bytes);
  if (Result<void> result = replacement.file->Append(part); !result)
    return result;
  replacement.written += part.size();
  return replacement.file->Sync();
}

}  // namespace fulmarrock
