#include "source/base/checksum.h"

#include <xxhash.h>

namespace fulmarrock {

uint64_t Checksum(std::string_view bytes, uint64_t seed) {
  return XXH64(bytes.data(), bytes.size(), seed);
}

}  // namespace fulmarrock
