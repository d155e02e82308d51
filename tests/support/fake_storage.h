#ifndef TESTS_SUPPORT_FAKE_STORAGE_H_
#define TESTS_SUPPORT_FAKE_STORAGE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "source/base/random_source.h"
#include "source/storage/storage.h"

namespace fulmarrock::test {

/// What remains of unsynced writes after a crash.
enum class CrashKind {
  kKeepAll,       ///< Only the process crashed.
  kLoseUnsynced,  ///< The instance crashed: only synced bytes remain.
  kTearWrites,    ///< As kLoseUnsynced, but some of the unsynced bytes remain,
                  ///< and one of these may be damaged.
  kMixWrites,     ///< The instance lost power: each unsynced write and each
                  ///< unsynced change of the folder remains, is missing, or,
                  ///< for a write, is torn, independently of the others.
};

/// In-memory folder with fault injection. It outlives the node that uses it.
class FakeStorage : public Storage {
 public:
  FakeStorage();

  Result<std::unique_ptr<StorageFile>> Create(std::string_view name) override;
  Result<std::unique_ptr<StorageFile>> Open(std::string_view name) override;
  Result<std::vector<std::string>> List() const override;
  Result<void> Rename(std::string_view from, std::string_view to) override;
  Result<void> Remove(std::string_view name) override;
  Result<void> SyncFolder() override;
  Result<uint64_t> FolderIdentity() const override { return m_identity; }

  /// Applies a crash. Files opened before must not be used any more.
  void Crash(CrashKind kind, RandomSource& random);

  /// Removes everything, as if the disk was replaced.
  void Wipe();

  /// Replaces the files with copies of another folder's files.
  void CopyFrom(const FakeStorage& other);

  /// The sync after `count` more successful ones fails. Its bytes are lost at
  /// the next instance crash even if a later sync reports success.
  void FailSyncAfter(uint64_t count) { m_syncs_until_failure = count + 1; }

  void CancelSyncFailure() { m_syncs_until_failure = 0; }

  /// Makes every operation after `count` more changes fail until the next
  /// crash, as if the instance lost power in the middle of a sequence.
  void FailAfter(uint64_t count) { m_changes_until_failure = count + 1; }

  /// Limits the total bytes of all files; a write that exceeds the limit is
  /// incomplete.
  void SetCapacity(uint64_t bytes) { m_capacity = bytes; }

  /// Reports syncs as successful without making anything durable. This violates
  /// the contract of Storage, to prove that the oracle detects it.
  void SetIgnoreSyncs(bool is_ignoring) { m_is_ignoring_syncs = is_ignoring; }

  /// Inverts the bits of one byte, also in the durable copy.
  void CorruptByte(const std::string& name, uint64_t offset);

  uint64_t SizeOf(const std::string& name) const;
  uint64_t sync_count() const { return m_sync_count; }

 private:
  class File;
  /// One unsynced change of a file: bytes written at an offset, or the file
  /// truncated to that size.
  struct Write {
    uint64_t offset = 0;
    std::string bytes;
    bool is_truncation = false;
  };
  struct Content {
    std::string bytes;
    std::string durable;
    // Range of bytes whose sync failed. The operating system considers them
    // written, so a later sync leaves zeros in their place on the disk.
    uint64_t lost_begin = 0;
    uint64_t lost_end = 0;
    bool is_truncated = false;
    std::vector<Write> unsynced;
  };
  using Folder = std::map<std::string, std::shared_ptr<Content>, std::less<>>;

  Result<void> Append(Content& content, std::string_view bytes);
  Result<void> Sync(Content& content);
  // Counts a sync; returns whether it has to fail.
  bool CountSyncAndCheckFailure();
  // Counts a change; fails when the limit of FailAfter() is reached.
  Result<void> CountChange();
  void MixFolder(RandomSource& random);
  static void MixWrites(Content& content, RandomSource& random);

  Folder m_files;
  Folder m_durable_files;
  uint64_t m_identity = 0;
  uint64_t m_capacity = UINT64_MAX;
  uint64_t m_syncs_until_failure = 0;
  uint64_t m_changes_until_failure = 0;
  uint64_t m_sync_count = 0;
  bool m_is_ignoring_syncs = false;
};

}  // namespace fulmarrock::test

#endif  // TESTS_SUPPORT_FAKE_STORAGE_H_
