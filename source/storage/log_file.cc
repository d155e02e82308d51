#include "source/storage/log_file.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <cstring>
#include <utility>
#include <vector>

#include "source/storage/corruption_error.h"
#include "source/storage/log_frame.h"

namespace fulmarrock {
namespace {

constexpr std::string_view kPrefix = "log-";
constexpr std::string_view kNewName = "segment.new";

std::string SegmentName(uint64_t number) {
  char name[32];
  std::snprintf(name, sizeof(name), "%s%016llx", kPrefix.data(),
                static_cast<unsigned long long>(number));
  return name;
}

/// Whether the damaged bytes at a position are an unsynced marker with the
/// frame that was written after it and not synced either. The next frame is
/// written only after a sync, which would have covered this marker.
bool IsUnsyncedMarker(std::string_view bytes, FramePosition position) {
  const FramePosition next{position.segment, position.offset + kMarkerBytes};
  const std::optional<FrameHeader> frame = ReadFrame(bytes, next);
  return frame && frame->kind == FrameKind::kRecords &&
         !HasFrameAfter(bytes, next);
}

}  // namespace

Result<std::unique_ptr<LogFile>> LogFile::Open(Storage& storage,
                                               uint64_t segment_bytes,
                                               LogVisitor& visitor) {
  std::unique_ptr<LogFile> log(new LogFile(storage, segment_bytes));
  if (Result<void> result = log->Recover(visitor); !result)
    return tl::make_unexpected(std::move(result.error()));
  return log;
}

void LogFile::Append(uint64_t index, std::string_view record) {
  if (m_batch_count == 0)
    m_batch_first = index;
  ++m_batch_count;
  const auto length = static_cast<uint32_t>(record.size());
  m_batch.append(reinterpret_cast<const char*>(&length), sizeof(length));
  m_batch.append(record);
}

Result<void> LogFile::Commit() {
  if (m_failure)
    return tl::make_unexpected(*m_failure);
  if (m_batch_count == 0)
    return {};
  Result<void> result = StoreFailure(WriteBatch());
  m_batch.clear();
  m_batch_count = 0;
  return result;
}

Result<void> LogFile::Reset(uint64_t next_index) {
  if (m_failure)
    return tl::make_unexpected(*m_failure);
  return StoreFailure(WriteReset(next_index));
}

Result<void> LogFile::RemoveBefore(uint64_t index) {
  if (m_failure)
    return tl::make_unexpected(*m_failure);
  while (m_segments.size() > 1 && m_segments.front().last_index < index) {
    // Syncing after each removal keeps the remaining numbers consecutive, also
    // after a crash.
    const std::string name = SegmentName(m_segments.front().number);
    if (Result<void> result = StoreFailure(m_storage.Remove(name)); !result)
      return result;
    if (Result<void> result = StoreFailure(m_storage.SyncFolder()); !result)
      return result;
    m_segments.pop_front();
  }
  return {};
}

uint64_t LogFile::size() const {
  uint64_t bytes = 0;
  for (const Segment& segment : m_segments)
    bytes += segment.bytes;
  return bytes;
}

Result<void> LogFile::Recover(LogVisitor& visitor) {
  // A segment may have been created just before a folder sync failed.
  if (Result<void> result = m_storage.SyncFolder(); !result)
    return result;
  const Result<std::vector<std::string>> names = m_storage.List();
  if (!names)
    return tl::make_unexpected(names.error());
  std::vector<uint64_t> numbers;
  for (const std::string& name : *names) {
    if (!name.starts_with(kPrefix))
      continue;
    uint64_t number = 0;
    std::from_chars(name.data() + kPrefix.size(), name.data() + name.size(),
                    number, 16);
    numbers.push_back(number);
  }
  std::sort(numbers.begin(), numbers.end());
  for (size_t i = 0; i < numbers.size(); ++i) {
    if (i > 0 && numbers[i] != numbers[i - 1] + 1)
      return CorruptionError("log segment " + SegmentName(numbers[i - 1] + 1) +
                             " is missing");
    const bool is_last = i + 1 == numbers.size();
    if (Result<void> result = RecoverSegment(numbers[i], is_last, visitor);
        !result)
      return result;
  }
  return m_segments.empty() ? StartSegment(1) : Result<void>();
}

Result<void> LogFile::RecoverSegment(uint64_t number,
                                     bool is_last,
                                     LogVisitor& visitor) {
  const std::string name = SegmentName(number);
  Result<std::unique_ptr<StorageFile>> file = m_storage.Open(name);
  if (!file)
    return tl::make_unexpected(std::move(file.error()));
  const Result<std::string> bytes = (*file)->Read(0, UINT64_MAX);
  if (!bytes)
    return tl::make_unexpected(bytes.error());
  m_segments.push_back({.number = number});
  m_file = std::move(*file);
  Result<SegmentTail> tail = VisitSegment(*bytes, is_last, visitor);
  if (!tail)
    return tl::make_unexpected(std::move(tail.error()));
  const FramePosition end{number, tail->valid_end};
  if (end.offset < bytes->size() && (!is_last || HasFrameAfter(*bytes, end)))
    return CorruptionError("log segment " + name + " is damaged at byte " +
                           std::to_string(end.offset));
  m_segments.back().bytes = tail->records_end;
  if (!is_last || bytes->empty())
    return {};
  return RepairTail(*bytes, *tail);
}

Result<LogFile::SegmentTail> LogFile::VisitSegment(std::string_view bytes,
                                                   bool is_last,
                                                   LogVisitor& visitor) {
  SegmentTail tail;
  FramePosition position{m_segments.back().number, 0};
  while (position.offset < bytes.size()) {
    const std::optional<FrameHeader> header = ReadFrame(bytes, position);
    if (!header && is_last && IsUnsyncedMarker(bytes, position)) {
      tail.lost_marker = position.offset;
      position.offset += kMarkerBytes;
      continue;
    }
    if (!header)
      break;
    const std::string_view payload =
        bytes.substr(position.offset + sizeof(FrameHeader), header->length);
    position.offset += sizeof(FrameHeader) + payload.size();
    tail.valid_end = position.offset;
    if (header->kind == FrameKind::kMarker)
      continue;
    tail.records_end = position.offset;
    if (Result<void> result = VisitFrame(*header, payload, visitor); !result)
      return tl::make_unexpected(std::move(result.error()));
  }
  return tail;
}

Result<void> LogFile::RepairTail(std::string_view bytes,
                                 const SegmentTail& tail) {
  const uint64_t number = m_segments.back().number;
  if (tail.valid_end > tail.records_end) {
    // The marker is written again too, because its own sync may have failed.
    if (Result<void> result = m_file->Truncate(tail.records_end); !result)
      return result;
    return WriteFrame(FrameKind::kMarker, 0, 0, {});
  }
  // Without a marker the last frame may be unsynced, and syncing it now may
  // have no effect: after a failed sync the operating system may consider the
  // bytes written. So the segment is rewritten, with the marker that was lost
  // before that frame.
  std::string valid(bytes.substr(0, tail.records_end));
  if (tail.lost_marker)
    valid.replace(*tail.lost_marker, kMarkerBytes,
                  EncodeMarker({number, *tail.lost_marker}));
  Result<std::unique_ptr<StorageFile>> file = m_storage.Create(kNewName);
  if (!file)
    return tl::make_unexpected(std::move(file.error()));
  if (Result<void> result = (*file)->Append(valid); !result)
    return result;
  if (Result<void> result = (*file)->Sync(); !result)
    return result;
  if (Result<void> result = m_storage.Rename(kNewName, SegmentName(number));
      !result)
    return result;
  if (Result<void> result = m_storage.SyncFolder(); !result)
    return result;
  m_file = std::move(*file);
  return WriteFrame(FrameKind::kMarker, 0, 0, {});
}

Result<void> LogFile::VisitFrame(const FrameHeader& header,
                                 std::string_view payload,
                                 LogVisitor& visitor) {
  const uint64_t first_index = header.first_index;
  if (header.kind == FrameKind::kReset) {
    TrackRecords(1, 0);
    m_next_index = first_index;
    visitor.OnReset(m_next_index);
    return {};
  }
  if (m_next_index != 0 && first_index > m_next_index)
    return CorruptionError("log continues at index " +
                           std::to_string(first_index) + " instead of " +
                           std::to_string(m_next_index));
  for (uint32_t i = 0; i < header.count; ++i) {
    uint32_t length = 0;
    if (payload.size() < sizeof(length))
      return CorruptionError("log frame is shorter than its records");
    std::memcpy(&length, payload.data(), sizeof(length));
    payload.remove_prefix(sizeof(length));
    if (payload.size() < length)
      return CorruptionError("log frame is shorter than its records");
    if (Result<void> result =
            visitor.OnRecord(first_index + i, payload.substr(0, length));
        !result)
      return result;
    payload.remove_prefix(length);
  }
  TrackRecords(first_index, first_index + header.count - 1);
  return {};
}

Result<void> LogFile::StartSegment(uint64_t number) {
  // Syncs the marker at the end of the old segment first, because only the last
  // segment may end in a torn write.
  if (m_file) {
    if (Result<void> result = m_file->Sync(); !result)
      return result;
  }
  Result<std::unique_ptr<StorageFile>> file =
      m_storage.Create(SegmentName(number));
  if (!file)
    return tl::make_unexpected(std::move(file.error()));
  if (Result<void> result = m_storage.SyncFolder(); !result)
    return result;
  m_file = std::move(*file);
  m_segments.push_back({.number = number});
  return {};
}

Result<void> LogFile::WriteFrame(FrameKind kind,
                                 uint64_t first_index,
                                 uint32_t count,
                                 std::string_view payload) {
  Segment& segment = m_segments.back();
  const std::string frame = EncodeFrame({segment.number, segment.bytes}, kind,
                                        first_index, count, payload);
  segment.bytes += frame.size();
  return m_file->Append(frame);
}

Result<void> LogFile::WriteBatch() {
  if (m_segments.back().bytes >= m_segment_bytes) {
    if (Result<void> result = StartSegment(m_segments.back().number + 1);
        !result)
      return result;
  }
  if (Result<void> result = WriteFrame(FrameKind::kRecords, m_batch_first,
                                       m_batch_count, m_batch);
      !result)
    return result;
  if (Result<void> result = m_file->Sync(); !result)
    return result;
  TrackRecords(m_batch_first, m_batch_first + m_batch_count - 1);
  return WriteFrame(FrameKind::kMarker, 0, 0, {});
}

Result<void> LogFile::WriteReset(uint64_t next_index) {
  if (Result<void> result = StartSegment(m_segments.back().number + 1); !result)
    return result;
  if (Result<void> result = WriteFrame(FrameKind::kReset, next_index, 0, {});
      !result)
    return result;
  if (Result<void> result = m_file->Sync(); !result)
    return result;
  TrackRecords(1, 0);
  m_next_index = next_index;
  if (Result<void> result = WriteFrame(FrameKind::kMarker, 0, 0, {}); !result)
    return result;
  return RemoveBefore(UINT64_MAX);
}

Result<void> LogFile::StoreFailure(Result<void> result) {
  if (!result)
    m_failure = result.error();
  return result;
}

void LogFile::TrackRecords(uint64_t first_index, uint64_t last_index) {
  for (Segment& segment : m_segments)
    segment.last_index = std::min(segment.last_index, first_index - 1);
  m_segments.back().last_index = last_index;
  m_next_index = last_index + 1;
}

}  // namespace fulmarrock
