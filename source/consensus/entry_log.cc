#include "source/consensus/entry_log.h"

#include <string>

#include "source/message/field_codec.h"
#include "source/storage/corruption_error.h"

namespace fulmarrock {

Result<std::unique_ptr<EntryLog>> EntryLog::Open(Storage& storage,
                                                 uint64_t segment_bytes,
                                                 LogIndex snapshot_index,
                                                 Term snapshot_term,
                                                 const Membership& members) {
  std::unique_ptr<EntryLog> log(new EntryLog);
  Result<std::unique_ptr<LogFile>> file =
      LogFile::Open(storage, segment_bytes, *log);
  if (!file)
    return tl::make_unexpected(std::move(file.error()));
  log->m_file = std::move(*file);
  if (Result<void> result =
          log->StartFromSnapshot(snapshot_index, snapshot_term, members);
      !result)
    return tl::make_unexpected(std::move(result.error()));
  return log;
}

Term EntryLog::TermAt(LogIndex index) const {
  return index == m_base_index ? m_base_term : At(index).term;
}

bool EntryLog::Holds(LogIndex index, Term term) const {
  return index >= m_base_index && index <= last_index() &&
         TermAt(index) == term;
}

const LogEntry& EntryLog::At(LogIndex index) const {
  return m_entries.at(index - m_base_index - 1);
}

size_t EntryLog::SizeOf(const LogEntry& entry) {
  // For the term, kind and length fields in files and messages.
  constexpr size_t kOverhead = 16;
  return entry.payload.size() + kOverhead;
}

Result<void> EntryLog::Append(LogEntry entry) {
  const LogIndex index = last_index() + 1;
  if (Result<void> result = RecordMembership(index, entry); !result)
    return result;
  m_file->Append(index, PackStruct(entry));
  m_entries.push_back(std::move(entry));
  return {};
}

void EntryLog::TruncateAfter(LogIndex index) {
  m_entries.resize(index - m_base_index);
  while (m_memberships.size() > 1 && m_memberships.back().first > index)
    m_memberships.pop_back();
}

Result<void> EntryLog::Commit() {
  return m_file->Commit();
}

Result<void> EntryLog::Reset(LogIndex index,
                             Term term,
                             const Membership& members) {
  m_entries.clear();
  m_base_index = index;
  m_base_term = term;
  m_memberships.assign(1, {index, members});
  return m_file->Reset(index + 1);
}

Result<void> EntryLog::Compact(LogIndex snapshot_index, size_t trailing_bytes) {
  LogIndex base = snapshot_index;
  for (size_t bytes = 0; base > m_base_index; --base) {
    bytes += SizeOf(At(base));
    if (bytes > trailing_bytes)
      break;
  }
  while (m_memberships.size() > 1 && m_memberships[1].first <= snapshot_index)
    m_memberships.erase(m_memberships.begin());
  while (m_base_index < base) {
    ++m_base_index;
    m_base_term = m_entries.front().term;
    m_entries.pop_front();
  }
  // The entry at the base index stays on disk: recovery reads its term.
  return m_file->RemoveBefore(m_base_index);
}

const Membership* EntryLog::PreviousMembers() const {
  if (m_memberships.size() < 2)
    return nullptr;
  return &m_memberships[m_memberships.size() - 2].second;
}

const Membership& EntryLog::MembersAt(LogIndex index) const {
  size_t i = m_memberships.size() - 1;
  while (i > 0 && m_memberships[i].first > index)
    --i;
  return m_memberships[i].second;
}

void EntryLog::OnReset(uint64_t next_index) {
  m_entries.clear();
  m_base_index = next_index - 1;
}

Result<void> EntryLog::OnRecord(uint64_t index, std::string_view record) {
  Result<LogEntry> entry = UnpackStruct<LogEntry>(record);
  if (!entry)
    return tl::make_unexpected(std::move(entry.error()));
  const bool is_first = m_entries.empty() && m_base_index == 0;
  if (is_first || index <= m_base_index) {
    // The oldest segments may have been removed, and a record may replace
    // entries from an index below the first one that remains.
    m_entries.clear();
    m_base_index = index - 1;
  }
  if (index > last_index() + 1) {
    return CorruptionError("log entry " + std::to_string(index) +
                           " is not contiguous with the log");
  }
  m_entries.resize(index - m_base_index - 1);
  m_entries.push_back(std::move(*entry));
  return {};
}

Result<void> EntryLog::StartFromSnapshot(LogIndex index,
                                         Term term,
                                         const Membership& members) {
  if (m_base_index > index) {
    return CorruptionError(
        "the log starts after index " + std::to_string(m_base_index) +
        ", but the snapshot ends at " + std::to_string(index));
  }
  // A crash during the installation of a snapshot leaves a log that ends before
  // the snapshot or conflicts with it.
  if (last_index() < index || (m_base_index < index && At(index).term != term))
    return Reset(index, term, members);
  m_memberships.assign(1, {index, members});
  if (m_base_index == index) {
    m_base_term = term;
  } else if (m_base_index > 0) {
    // The term at the base index is not stored, so the base advances by one.
    ++m_base_index;
    m_base_term = m_entries.front().term;
    m_entries.pop_front();
  }
  for (LogIndex i = index + 1; i <= last_index(); ++i) {
    if (Result<void> result = RecordMembership(i, At(i)); !result)
      return result;
  }
  return {};
}

Result<void> EntryLog::RecordMembership(LogIndex index, const LogEntry& entry) {
  if (entry.kind != EntryKind::kMembership)
    return {};
  Result<Membership> members = Membership::Decode(entry.payload);
  if (!members)
    return tl::make_unexpected(std::move(members.error()));
  m_memberships.emplace_back(index, std::move(*members));
  return {};
}

}  // namespace fulmarrock
