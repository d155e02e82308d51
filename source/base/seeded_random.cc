#include "source/base/seeded_random.h"

namespace fulmarrock {

SeededRandom SeededRandom::FromSystemEntropy() {
  std::random_device device;
  const uint64_t high = device();
  return SeededRandom((high << 32) | device());
}

}  // namespace fulmarrock
