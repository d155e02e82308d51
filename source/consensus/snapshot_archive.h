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

/// The last log entry that a snapshot covers, and the membership at it.
struct SnapshotMetadata {
  LogIndex index = 0;
  Term term = 0;
  std::vector<Member> members;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.index, self.term, self.members);
  }
};

/// The member's newest snapshot and its metadata.
class SnapshotArchive {
 public:
  explicit SnapshotArchive(Storage& storage) : m_store(storage) {}

  /// Loads the snapshot and returns its state; no value if there is none.
  Result<std::optional<std::string>> Load();

  /// Starts to replace the snapshot; Continue() writes it.
  void Begin(SnapshotMetadata metadata, std::string state);
  bool is_writing() const { return m_next.has_value(); }

  /// Writes and syncs up to `max_bytes` more. Returns whether the new snapshot
  /// is in place and durable.
  Result<bool> Continue(size_t max_bytes);

  /// Replaces the snapshot and cancels one that is being written. Durable on
  /// return.
  Result<void> Save(SnapshotMetadata metadata, std::string state);

  const SnapshotMetadata& metadata() const { return m_metadata; }
  uint64_t state_size() const { return m_store.state_size(); }

  /// Returns a message with up to `length` bytes of the state.
  Result<SnapshotChunk> MakeChunk(uint64_t offset, uint64_t length) const;

 private:
  SnapshotStore m_store;
  SnapshotMetadata m_metadata;
  // Metadata of the snapshot that is being written, if any.
  std::optional<SnapshotMetadata> m_next;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONSENSUS_SNAPSHOT_ARCHIVE_H_
