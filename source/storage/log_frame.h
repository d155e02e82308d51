#ifndef SOURCE_STORAGE_LOG_FRAME_H_
#define SOURCE_STORAGE_LOG_FRAME_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fulmarrock {

enum class FrameKind : uint32_t {
  kRecords = 0,  ///< Records with consecutive indices.
  kReset = 1,    ///< Discards all earlier records.
  kMarker = 2,   ///< The frame before it was synced.
};

/// Header of a frame in a log segment, in little-endian order. Checksums depend
/// on the position of the frame, so that bytes of a record that resemble a
/// frame are not taken for one.
struct FrameHeader {
  uint32_t magic;
  FrameKind kind;
  uint64_t first_index;
  uint32_t count;
  uint32_t length;
  uint64_t payload_checksum;
  uint64_t header_checksum;
};
static_assert(sizeof(FrameHeader) == 40);

/// A marker has no payload.
inline constexpr uint64_t kMarkerBytes = sizeof(FrameHeader);

/// Position of a frame: the number of its segment and its offset there.
struct FramePosition {
  uint64_t segment = 0;
  uint64_t offset = 0;
};

/// Returns a frame as written to the position.
std::string EncodeFrame(FramePosition position,
                        FrameKind kind,
                        uint64_t first_index,
                        uint32_t count,
                        std::string_view payload);

inline std::string EncodeMarker(FramePosition position) {
  return EncodeFrame(position, FrameKind::kMarker, 0, 0, {});
}

/// Returns the header of the frame at a position of a segment; no value if
/// there is none or it is damaged.
std::optional<FrameHeader> ReadFrame(std::string_view segment_bytes,
                                     FramePosition position);

/// Whether any valid frame starts after the position.
bool HasFrameAfter(std::string_view segment_bytes, FramePosition position);

}  // namespace fulmarrock

#endif  // SOURCE_STORAGE_LOG_FRAME_H_
