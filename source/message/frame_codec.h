#ifndef SOURCE_MESSAGE_FRAME_CODEC_H_
#define SOURCE_MESSAGE_FRAME_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "source/base/error.h"
#include "source/message/message.h"

namespace fulmarrock {

/// Largest frame that is sent or accepted.
inline constexpr size_t kMaxFrameBytes = size_t{4} << 20;

/// Version of the frame layout. Adding fields at the end of a message needs no
/// new version.
inline constexpr uint8_t kFrameVersion = 1;

/// Encodes a message with its header: magic, version, type, checksum.
std::string EncodeFrame(const Message& message);

/// Decodes one whole frame. Fails with kCorruption on data of another protocol,
/// a truncated or oversized frame, a wrong checksum or a malformed body, and
/// with kInvalidArgument on an unsupported layout version or an unknown type.
Result<Message> DecodeFrame(std::string_view frame);

}  // namespace fulmarrock

#endif  // SOURCE_MESSAGE_FRAME_CODEC_H_
