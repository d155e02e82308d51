#include "source/base/random_source.h"

namespace fulmarrock {

uint64_t RandomSource::Below(uint64_t bound) {
  // Multiply-shift maps 64 random bits onto the range without a division; its
  // bias is below 2^-32 for every bound used here.
  return static_cast<uint64_t>(
      (static_cast<unsigned __int128>(Next()) * bound) >> 64);
}

double RandomSource::Fraction() {
  return static_cast<double>(Next() >> 11) * 0x1.0p-53;
}

}  // namespace fulmarrock
