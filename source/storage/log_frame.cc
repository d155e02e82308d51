#include "source/storage/log_frame.h"

#include <cstddef>
#include <cstring>

#include "source/base/checksum.h"

namespace fulmarrock {
namespace {

constexpr uint32_t kMagic = 0x474F4C46;  // "FLOG" in little-endian order.

uint64_t ChecksumSeed(FramePosition position) {
  return (position.segment << 40) ^ position.offset;
}

uint64_t HeaderChecksum(const FrameHeader& header, uint64_t seed) {
  return Checksum({reinterpret_cast<const char*>(&header),
                   offsetof(FrameHeader, header_checksum)},
                  seed);
}

}  // namespace

std::string EncodeFrame(FramePosition position,
                        FrameKind kind,
                        uint64_t first_index,
                        uint32_t count,
                        std::string_view payload) {
  const uint64_t seed = ChecksumSeed(position);
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
  return frame;
}

std::optional<FrameHeader> ReadFrame(std::string_view segment_bytes,
                                     FramePosition position) {
  FrameHeader header;
  const uint64_t offset = position.offset;
  if (offset > segment_bytes.size() ||
      segment_bytes.size() - offset < sizeof(header))
    return std::nullopt;
  std::memcpy(&header, segment_bytes.data() + offset, sizeof(header));
  const uint64_t seed = ChecksumSeed(position);
  if (header.magic != kMagic || header.kind > FrameKind::kMarker ||
      header.header_checksum != HeaderChecksum(header, seed) ||
      header.length > segment_bytes.size() - offset - sizeof(header))
    return std::nullopt;
  const std::string_view payload =
      segment_bytes.substr(offset + sizeof(header), header.length);
  if (Checksum(payload, seed) != header.payload_checksum)
    return std::nullopt;
  return header;
}

bool HasFrameAfter(std::string_view segment_bytes, FramePosition position) {
  char magic[sizeof(kMagic)];
  std::memcpy(magic, &kMagic, sizeof(kMagic));
  const std::string_view wanted(magic, sizeof(magic));
  for (size_t at = segment_bytes.find(wanted, position.offset + 1);
       at != std::string_view::npos; at = segment_bytes.find(wanted, at + 1)) {
    if (ReadFrame(segment_bytes, {position.segment, at}))
      return true;
  }
  return false;
}

}  // namespace fulmarrock
