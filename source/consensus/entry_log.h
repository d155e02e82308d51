#ifndef SOURCE_CONSENSUS_ENTRY_LOG_H_
#define SOURCE_CONSENSUS_ENTRY_LOG_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

#include "source/consensus/membership.h"
#include "source/storage/log_file.h"

namespace fulmarrock {

/// The log of one member: the entries after the base index, in memory and on
/// disk, and the memberships that they contain.
class EntryLog : private LogVisitor {
 public:
  /// Recovers the log that follows a snapshot. Fails with kCorruption if there
  /// is a gap between the two.
  static Result<std::unique_ptr<EntryLog>> Open(Storage& storage,
                                                uint64_t segment_bytes,
                                                LogIndex snapshot_index,
                                                Term snapshot_term,
                                                const Membership& members);

  /// Index before the first entry in this log.
  LogIndex base_index() const { return m_base_index; }
  LogIndex last_index() const { return m_base_index + m_entries.size(); }
  Term last_term() const { return TermAt(last_index()); }

  /// Term of an entry between the base index and the last index.
  Term TermAt(LogIndex index) const;
  /// Whether the log has an entry with this index and term.
  bool Holds(LogIndex index, Term term) const;
  const LogEntry& At(LogIndex index) const;

  /// Bytes that an entry counts towards size limits.
  static size_t SizeOf(const LogEntry& entry);

  /// Appends an entry; it is durable after Commit().
  Result<void> Append(LogEntry entry);

  /// Removes the entries after an index. The caller must Append() next, because
  /// only the new entries replace the old ones on disk.
  void TruncateAfter(LogIndex index);

  Result<void> Commit();

  /// Discards all entries; the log continues after a snapshot that ends at
  /// `index`. Durable on return.
  Result<void> Reset(LogIndex index, Term term, const Membership& members);

  /// Removes entries and files that a snapshot covers, except for the newest
  /// entries up to `trailing_bytes`.
  Result<void> Compact(LogIndex snapshot_index, size_t trailing_bytes);

  /// The newest membership, committed or not, and the index it came from.
  const Membership& members() const { return m_memberships.back().second; }
  LogIndex membership_index() const { return m_memberships.back().first; }

  /// The membership before the newest one, or null if the snapshot covers it.
  const Membership* PreviousMembers() const;
  const Membership& MembersAt(LogIndex index) const;

 private:
  EntryLog() = default;

  void OnReset(uint64_t next_index) override;
  Result<void> OnRecord(uint64_t index, std::string_view record) override;
  Result<void> StartFromSnapshot(LogIndex index,
                                 Term term,
                                 const Membership& members);
  Result<void> RecordMembership(LogIndex index, const LogEntry& entry);

  std::unique_ptr<LogFile> m_file;
  LogIndex m_base_index = 0;
  Term m_base_term = 0;
  std::deque<LogEntry> m_entries;
  // Sorted by index; the first is the membership of the snapshot.
  std::vector<std::pair<LogIndex, Membership>> m_memberships;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONSENSUS_ENTRY_LOG_H_
