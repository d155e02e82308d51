#ifndef SOURCE_CONSENSUS_SNAPSHOT_ARCHIVE_H_
#define SOURCE_CONSENSUS_SNAPSHOT_ARCHIVE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "source/message/consensus_messages.h"
#include "source/storage/snapshot_store.h"

namespace fulmarrock {

/// What a snapshot covers.
struct SnapshotMetadata {
  LogIndex index = 0;
  Term term = 0;
  std::vector<Member> members;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.index, self.term, self.members);
  }
};

/// The member's newest snapshot with its metadata.
class SnapshotArchive {
 public:
  explicit SnapshotArchive(Storage& storage) : m_store(storage) {}

  /// Loads the snapshot and returns its state, or nothing without one.
  Result<std::optional<std::string>> Load();

  /// Starts to replace the snapshot; Continue() does the work.
  void Begin(SnapshotMetadata metadata, std::string state);
  bool is_writing() const { return m_next.has_value(); }

  /// Writes and syncs up to `max_bytes` more. Returns whether the new snapshot
  /// is in place and durable.
  Result<bool> Continue(size_t max_bytes);

  /// Replaces the snapshot, also in place of one that is being written. Durable
  /// on return.
  Result<void> Save(SnapshotMetadata metadata, std::string state);

  const SnapshotMetadata& metadata() const { return m_metadata; }
  uint64_t state_size() const { return m_store.state_size(); }

  /// Returns a message with up to `length` bytes of the state.
  Result<SnapshotChunk> MakeChunk(uint64_t offset, uint64_t length) const;

 private:
  SnapshotStore m_store;
  SnapshotMetadata m_metadata;
  // Metadata of the snapshot that is being written.
  std::optional<SnapshotMetadata> m_next;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONSENSUS_SNAPSHOT_ARCHIVE_H_
