#ifndef SOURCE_STORAGE_LOG_FILE_H_
#define SOURCE_STORAGE_LOG_FILE_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "source/base/error.h"
#include "source/storage/log_frame.h"
#include "source/storage/storage.h"

namespace fulmarrock {

/// Receives the records of a log during recovery.
class LogVisitor {
 public:
  virtual ~LogVisitor() = default;

  /// Discards all earlier records; the next record has this index.
  virtual void OnReset(uint64_t next_index) = 0;

  /// Receives one record, which replaces records with the same or higher
  /// indices.
  virtual Result<void> OnRecord(uint64_t index, std::string_view record) = 0;
};

/// Append-only log in segment files. The records of one batch form one frame
/// with a checksum and share one sync.
///
/// A frame is written only after the previous one was synced, and each sync is
/// followed by an unsynced marker frame. So at most the last marker and one
/// frame after it are unsynced, and a loss of power may leave any part of the
/// two. Recovery keeps a whole frame whose marker is lost, and truncates a
/// damaged frame with no valid frame after it. All other damage concerns
/// acknowledged records, and recovery fails.
class LogFile {
 public:
  /// Opens the log and passes its records to the visitor. Fails with
  /// kCorruption when acknowledged records are damaged or missing.
  static Result<std::unique_ptr<LogFile>> Open(Storage& storage,
                                               uint64_t segment_bytes,
                                               LogVisitor& visitor);

  /// Adds a record to the batch. Indices in a batch are consecutive; the first
  /// one may be lower than those of earlier records, which it then replaces.
  void Append(uint64_t index, std::string_view record);

  /// Writes the batch and syncs it. After an error all further writes fail,
  /// because it is unknown which bytes reached the disk.
  Result<void> Commit();

  /// Discards all records; the next one has the given index. Durable on return.
  Result<void> Reset(uint64_t next_index);

  /// Removes segments that only contain records below the index.
  Result<void> RemoveBefore(uint64_t index);

  /// Total bytes of all segments.
  uint64_t size() const;

 private:
  struct Segment {
    uint64_t number = 0;
    uint64_t bytes = 0;
    // Highest index of a record that was not replaced later; zero for none.
    uint64_t last_index = 0;
  };

  /// Where the valid part of a segment ends.
  struct SegmentTail {
    // End of the last frame that is not a marker, and of the last frame.
    uint64_t records_end = 0;
    uint64_t valid_end = 0;
    // Offset of a lost marker before the last frame.
    std::optional<uint64_t> lost_marker;
  };

  LogFile(Storage& storage, uint64_t segment_bytes)
      : m_storage(storage), m_segment_bytes(segment_bytes) {}

  Result<void> Recover(LogVisitor& visitor);
  Result<void> RecoverSegment(uint64_t number,
                              bool is_last,
                              LogVisitor& visitor);
  Result<SegmentTail> VisitSegment(std::string_view bytes,
                                   bool is_last,
                                   LogVisitor& visitor);
  Result<void> RepairTail(std::string_view bytes, const SegmentTail& tail);
  Result<void> VisitFrame(const FrameHeader& header,
                          std::string_view payload,
                          LogVisitor& visitor);
  Result<void> StartSegment(uint64_t number);
  Result<void> WriteFrame(FrameKind kind,
                          uint64_t first_index,
                          uint32_t count,
                          std::string_view payload);
  Result<void> WriteBatch();
  Result<void> WriteReset(uint64_t next_index);
  Result<void> StoreFailure(Result<void> result);
  void TrackRecords(uint64_t first_index, uint64_t last_index);

  Storage& m_storage;
  uint64_t m_segment_bytes;
  std::deque<Segment> m_segments;
  std::unique_ptr<StorageFile> m_file;
  std::optional<Error> m_failure;
  // Index after the last record; zero while no record is known.
  uint64_t m_next_index = 0;
  uint64_t m_batch_first = 0;
  uint32_t m_batch_count = 0;
  std::string m_batch;
};

}  // namespace fulmarrock

#endif  // SOURCE_STORAGE_LOG_FILE_H_
