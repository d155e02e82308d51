#include "source/storage/log_file.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <cstring>
#include <utility>
#include <vector>

#include "source/base/checksum.h"

namespace fulmarrock {
namespace {

constexpr uint32_t kMagic = 0x474F4C46;  // "FLOG" in little-endian order.
constexpr std::string_view kPrefix = "log-";
constexpr std::string_view kNewName = "segment.new";

constexpr uint32_t kRecords = 0;
constexpr uint32_t kReset = 1;
constexpr uint32_t kMarker = 2;

/// Header of a frame, in little-endian order.
struct FrameHeader {
  uint32_t magic;
  uint32_t kind;
  uint64_t first_index;
  uint32_t count;
  uint32_t length;
  uint64_t payload_checksum;
  uint64_t header_checksum;
};
static_assert(sizeof(FrameHeader) == 40);

std::string SegmentName(uint64_t number) {
  char name[32];
  std::snprintf(name, sizeof(name), "%s%016llx", kPrefix.data(),
                static_cast<unsigned long long>(number));
  return name;
}

/// Checksums depend on the position of a frame, so that bytes of a record that
/// resemble a frame are not taken for one.
uint64_t FrameChecksumSeed(uint64_t segment, uint64_t offset) {
  return (segment << 40) ^ offset;
}

uint64_t HeaderChecksum(const FrameHeader& header, uint64_t seed) {
  return Checksum({reinterpret_cast<const char*>(&header),
                   offsetof(FrameHeader, header_checksum)},
                  seed);
}

/// Returns the header of the frame at an offset; no value if it is damaged.
std::optional<FrameHeader> ReadFrame(std::string_view bytes,
                                     uint64_t segment,
                                     uint64_t offset) {
  FrameHeader header;
  if (bytes.size() - offset < sizeof(header))
    return std::nullopt;
  std::memcpy(&header, bytes.data() + offset, sizeof(header));
  const uint64_t seed = FrameChecksumSeed(segment, offset);
  if (header.magic != kMagic || header.kind > kMarker ||
      header.header_checksum != HeaderChecksum(header, seed) ||
      header.length > bytes.size() - offset - sizeof(header))
    return std::nullopt;
  if (Checksum(bytes.substr(offset + sizeof(header), header.length), seed) !=
      header.payload_checksum)
    return std::nullopt;
  return header;
}

/// Whether any valid frame starts after the offset.
bool HasFrameAfter(std::string_view bytes, uint64_t segment, uint64_t offset) {
  char magic[sizeof(kMagic)];
  std::memcpy(magic, &kMagic, sizeof(kMagic));
  const std::string_view wanted(magic, sizeof(magic));
  for (size_t at = bytes.find(wanted, offset + 1); at != std::string_view::npos;
       at = bytes.find(wanted, at + 1)) {
    if (ReadFrame(bytes, segment, at))
      return true;
  }
  return false;
}

tl::unexpected<Error> CorruptionError(std::string message) {
  return MakeError(ErrorKind::kCorruption, std::move(message),
                   "remove this member from the group, empty its data folder "
                   "and add it again");
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
  uint64_t offset = 0;
  uint64_t records_end = 0;
  while (offset < bytes->size()) {
    const std::optional<FrameHeader> header = ReadFrame(*bytes, number, offset);
    if (!header)
      break;
    const std::string_view payload = std::string_view(*bytes).substr(
        offset + sizeof(FrameHeader), header->length);
    offset += sizeof(FrameHeader) + header->length;
    if (header->kind != kMarker)
      records_end = offset;
    if (header->kind == kReset) {
      TrackRecords(1, 0);
      m_next_index = header->first_index;
      visitor.OnReset(m_next_index);
    } else if (header->kind == kRecords) {
      if (Result<void> result =
              VisitFrame(payload, header->first_index, header->count, visitor);
          !result)
        return result;
    }
  }
  m_segments.back().bytes = records_end;
  m_file = std::move(*file);
  if (offset < bytes->size() &&
      (!is_last || HasFrameAfter(*bytes, number, offset)))
    return CorruptionError("log segment " + name + " is damaged at byte " +
                           std::to_string(offset));
  if (!is_last || bytes->empty())
    return {};
  return RepairTail(std::string_view(*bytes).substr(0, records_end),
                    offset > records_end);
}

Result<void> LogFile::RepairTail(std::string_view valid, bool has_marker) {
  if (has_marker) {
    // The marker is written again too, because its own sync may have failed.
    if (Result<void> result = m_file->Truncate(valid.size()); !result)
      return result;
    return WriteFrame(kMarker, 0, 0, {});
  }
  // Without a marker the last frame may be unsynced, and syncing it now may
  // have no effect: after a failed sync the operating system may consider the
  // bytes written. So the segment is rewritten.
  Result<std::unique_ptr<StorageFile>> file = m_storage.Create(kNewName);
  if (!file)
    return tl::make_unexpected(std::move(file.error()));
  if (Result<void> result = (*file)->Append(valid); !result)
    return result;
  if (Result<void> result = (*file)->Sync(); !result)
    return result;
  const std::string name = SegmentName(m_segments.back().number);
  if (Result<void> result = m_storage.Rename(kNewName, name); !result)
    return result;
  if (Result<void> result = m_storage.SyncFolder(); !result)
    return result;
  m_file = std::move(*file);
  return WriteFrame(kMarker, 0, 0, {});
}

Result<void> LogFile::VisitFrame(std::string_view payload,
                                 uint64_t first_index,
                                 uint32_t count,
                                 LogVisitor& visitor) {
  if (m_next_index != 0 && first_index > m_next_index)
    return CorruptionError("log continues at index " +
                           std::to_string(first_index) + " instead of " +
                           std::to_string(m_next_index));
  for (uint32_t i = 0; i < count; ++i) {
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
  TrackRecords(first_index, first_index + count - 1);
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

Result<void> LogFile::WriteFrame(uint32_t kind,
                                 uint64_t first_index,
                                 uint32_t count,
                                 std::string_view payload) {
  Segment& segment = m_segments.back();
  const uint64_t seed = FrameChecksumSeed(segment.number, segment.bytes);
  FrameHeader header{};
  header.magic = kMagic;
  header.kind = kind;
  header.first_index = first_index;
  header.count = count;
  header.length = static_cast<uint32_t>(payload.size());
  header.payload_checksum = Checksum(payload, seed);
  header.header_checksum = HeaderChecksum(header, seed);
  std::string frame(reinterpret_cast<const char*>(&header), sizeof(header));
  frame.append(payload);
  segment.bytes += frame.size();
  return m_file->Append(frame);
}

Result<void> LogFile::WriteBatch() {
  if (m_segments.back().bytes >= m_segment_bytes) {
    if (Result<void> result = StartSegment(m_segments.back().number + 1);
        !result)
      return result;
  }
  if (Result<void> result =
          WriteFrame(kRecords, m_batch_first, m_batch_count, m_batch);
      !result)
    return result;
  if (Result<void> result = m_file->Sync(); !result)
    return result;
  TrackRecords(m_batch_first, m_batch_first + m_batch_count - 1);
  return WriteFrame(kMarker, 0, 0, {});
}

Result<void> LogFile::WriteReset(uint64_t next_index) {
  if (Result<void> result = StartSegment(m_segments.back().number + 1); !result)
    return result;
  if (Result<void> result = WriteFrame(kReset, next_index, 0, {}); !result)
    return result;
  if (Result<void> result = m_file->Sync(); !result)
    return result;
  TrackRecords(1, 0);
  m_next_index = next_index;
  if (Result<void> result = WriteFrame(kMarker, 0, 0, {}); !result)
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
