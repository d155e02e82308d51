#include "source/message/frame_codec.h"

#include <array>
#include <cstring>
#include <utility>

#include "source/base/checksum.h"
#include "source/message/field_codec.h"

namespace fulmarrock {
namespace {

constexpr uint32_t kMagic = 0x4B524D46;  // "FMRK" in little-endian order.

/// Fixed-size part of a frame, in little-endian order.
struct FrameHeader {
  uint32_t magic;
  uint16_t version;
  uint16_t type;
  uint32_t length;
  uint32_t reserved;
  uint64_t checksum;
};
static_assert(sizeof(FrameHeader) == 24);

tl::unexpected<Error> BadFrame(std::string message) {
  return MakeError(ErrorKind::kCorruption, std::move(message),
                   "check that the peer is a fulmarrock process of a "
                   "compatible version");
}

using Decoder = Result<Message> (*)(std::string_view);

template <typename T>
Result<Message> DecodeAs(std::string_view body) {
  Result<T> value = UnpackStruct<T>(body);
  if (!value)
    return tl::make_unexpected(std::move(value.error()));
  return Message(std::move(*value));
}

template <size_t... Indices>
constexpr auto MakeDecoders(std::index_sequence<Indices...>) {
  return std::array<Decoder, sizeof...(Indices)>{
      &DecodeAs<std::variant_alternative_t<Indices, Message>>...};
}

constexpr auto kDecoders =
    MakeDecoders(std::make_index_sequence<std::variant_size_v<Message>>());

}  // namespace

std::string EncodeFrame(const Message& message) {
  const std::string body =
      std::visit([](const auto& value) { return PackStruct(value); }, message);
  FrameHeader header{};
  header.magic = kMagic;
  header.version = kFrameVersion;
  header.type = static_cast<uint16_t>(message.index());
  header.length = static_cast<uint32_t>(body.size());
  header.checksum = Checksum(body, header.type);
  std::string frame(sizeof(header) + body.size(), '\0');
  std::memcpy(frame.data(), &header, sizeof(header));
  std::memcpy(frame.data() + sizeof(header), body.data(), body.size());
  return frame;
}

Result<Message> DecodeFrame(std::string_view frame) {
  if (frame.size() > kMaxFrameBytes)
    return BadFrame("frame of " + std::to_string(frame.size()) +
                    " bytes exceeds the limit");
  FrameHeader header;
  if (frame.size() < sizeof(header))
    return BadFrame("frame is shorter than its header");
  std::memcpy(&header, frame.data(), sizeof(header));
  if (header.magic != kMagic)
    return BadFrame("frame does not start with the protocol's magic number");
  if (header.version != kFrameVersion) {
    return MakeError(ErrorKind::kInvalidArgument,
                     "frame layout version " + std::to_string(header.version) +
                         " is not supported",
                     "upgrade this process");
  }
  const std::string_view body = frame.substr(sizeof(header));
  if (body.size() != header.length)
    return BadFrame("frame is truncated or followed by other bytes");
  if (Checksum(body, header.type) != header.checksum)
    return BadFrame("frame checksum does not match");
  if (header.type >= kDecoders.size()) {
    return MakeError(ErrorKind::kInvalidArgument,
                     "message type " + std::to_string(header.type) +
                         " is not known to this version",
                     "upgrade this process");
  }
  return kDecoders[header.type](body);
}

}  // namespace fulmarrock
