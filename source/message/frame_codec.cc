#include "source/message/frame_codec.h"

#include <array>
#include <cstring>
#include <utility>

#include "source/base/checksum.h"
#include "source/message/field_codec.h"

namespace fulmarrock {
namespace {

constexpr uint16_t kMagic = 0x4D46;  // "FM" in little-endian order.

/// Offsets of the header fields, which are little-endian. There is no length
/// field, because the length of the body follows from that of the frame. The
/// header is short because most bodies are: a lease renewal has about 15 bytes.
constexpr size_t kVersionOffset = 2;
constexpr size_t kTypeOffset = 3;
constexpr size_t kChecksumOffset = 4;
constexpr size_t kHeaderBytes = 12;

static_assert(std::variant_size_v<Message> <= 256,
              "the type has one byte in the header");

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
  const auto type = static_cast<uint8_t>(message.index());
  const uint64_t checksum = Checksum(body, type);
  std::string frame(kHeaderBytes, '\0');
  frame.reserve(kHeaderBytes + body.size());
  std::memcpy(frame.data(), &kMagic, sizeof(kMagic));
  std::memcpy(frame.data() + kVersionOffset, &kFrameVersion, 1);
  std::memcpy(frame.data() + kTypeOffset, &type, 1);
  std::memcpy(frame.data() + kChecksumOffset, &checksum, sizeof(checksum));
  frame += body;
  return frame;
}

Result<Message> DecodeFrame(std::string_view frame) {
  if (frame.size() > kMaxFrameBytes)
    return BadFrame("frame of " + std::to_string(frame.size()) +
                    " bytes exceeds the limit");
  if (frame.size() < kHeaderBytes)
    return BadFrame("frame is shorter than its header");
  uint16_t magic = 0;
  uint8_t version = 0;
  uint8_t type = 0;
  uint64_t checksum = 0;
  std::memcpy(&magic, frame.data(), sizeof(magic));
  std::memcpy(&version, frame.data() + kVersionOffset, 1);
  std::memcpy(&type, frame.data() + kTypeOffset, 1);
  std::memcpy(&checksum, frame.data() + kChecksumOffset, sizeof(checksum));
  if (magic != kMagic)
    return BadFrame("frame does not start with the protocol's magic number");
  if (version != kFrameVersion) {
    return MakeError(
        ErrorKind::kInvalidArgument,
        "frame layout version " + std::to_string(version) + " is not supported",
        "upgrade this process");
  }
  const std::string_view body = frame.substr(kHeaderBytes);
  if (Checksum(body, type) != checksum)
    return BadFrame(
        "frame checksum does not match; the frame is corrupted or truncated");
  if (type >= kDecoders.size()) {
    return MakeError(ErrorKind::kInvalidArgument,
                     "message type " + std::to_string(type) +
                         " is not known to this version",
                     "upgrade this process");
  }
  return kDecoders[type](body);
}

}  // namespace fulmarrock
