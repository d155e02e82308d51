#ifndef SOURCE_BASE_CHECKSUM_H_
#define SOURCE_BASE_CHECKSUM_H_

#include <cstdint>
#include <string_view>

namespace fulmarrock {

/// Returns the XXH64 hash of the bytes; used for frames, bodies and digests.
uint64_t Checksum(std::string_view bytes, uint64_t seed = 0);

}  // namespace fulmarrock

#endif  // SOURCE_BASE_CHECKSUM_H_
