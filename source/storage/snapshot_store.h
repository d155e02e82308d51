#ifndef SOURCE_STORAGE_SNAPSHOT_STORE_H_
#define SOURCE_STORAGE_SNAPSHOT_STORE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "source/base/error.h"
#include "source/storage/storage.h"

namespace fulmarrock {

/// A stored snapshot: metadata on what the state covers, and the state.
struct StoredSnapshot {
  std::string metadata;
  std::string state;
};

/// Stores the newest snapshot in one file, which is replaced atomically.
class SnapshotStore {
 public:
  explicit SnapshotStore(Storage& storage) : m_storage(storage) {}

  /// Returns the stored snapshot, if there is one. Fails with kCorruption.
  Result<std::optional<StoredSnapshot>> Load();

  /// Starts to replace the snapshot, and cancels an unfinished replacement.
  void Begin(std::string_view metadata, std::string state);

  /// Writes and syncs up to `max_bytes` more. Returns whether the new snapshot
  /// is in place. Until then, and after an error, the old one stays in place.
  Result<bool> Continue(size_t max_bytes);

  /// Replaces the snapshot in one step.
  Result<void> Save(std::string_view metadata, std::string state);

  /// Returns up to `length` bytes of the stored state; fewer at its end.
  Result<std::string> ReadState(uint64_t offset, uint64_t length) const;

  /// Size and checksum of the stored state; zero without a snapshot.
  uint64_t state_size() const { return m_state_size; }
  uint64_t state_checksum() const { return m_state_checksum; }

 private:
  /// A snapshot that is being written.
  struct Replacement {
    std::unique_ptr<StorageFile> file;
    // Header and metadata.
    std::string header_and_metadata;
    std::string state;
    size_t written = 0;
  };

  Result<void> WriteNextPart(size_t max_bytes);

  Storage& m_storage;
  std::unique_ptr<Replacement> m_replacement;
  uint64_t m_state_offset = 0;
  uint64_t m_state_size = 0;
  uint64_t m_state_checksum = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_STORAGE_SNAPSHOT_STORE_H_
