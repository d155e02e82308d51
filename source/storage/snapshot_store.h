#ifndef SOURCE_STORAGE_SNAPSHOT_STORE_H_
#define SOURCE_STORAGE_SNAPSHOT_STORE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "source/base/error.h"
#include "source/storage/storage.h"

namespace fulmarrock {

/// A snapshot as it is stored: what the state covers, and the state itself.
struct StoredSnapshot {
  std::string metadata;
  std::string state;
};

/// Keeps the newest snapshot in one file, which is replaced atomically.
class SnapshotStore {
 public:
  explicit SnapshotStore(Storage& storage) : m_storage(storage) {}

  /// Returns the stored snapshot, if there is one. Fails with kCorruption.
  Result<std::optional<StoredSnapshot>> Load();

  /// Replaces the snapshot. After an error the old one is still in place.
  Result<void> Save(std::string_view metadata, std::string_view state);

  /// Returns part of the stored state; shorter at its end.
  Result<std::string> ReadState(uint64_t offset, uint64_t length) const;

  /// Size and checksum of the stored state; zero without a snapshot.
  uint64_t state_size() const { return m_state_size; }
  uint64_t state_checksum() const { return m_state_checksum; }

 private:
  Result<void> WriteNewFile(std::string_view metadata, std::string_view state);

  Storage& m_storage;
  uint64_t m_state_offset = 0;
  uint64_t m_state_size = 0;
  uint64_t m_state_checksum = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_STORAGE_SNAPSHOT_STORE_H_
