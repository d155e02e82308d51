#ifndef SOURCE_BASE_SEEDED_RANDOM_H_
#define SOURCE_BASE_SEEDED_RANDOM_H_

#include <cstdint>
#include <random>

#include "source/base/random_source.h"

namespace fulmarrock {

/// Reproducible random source; the daemon seeds it from the system's entropy.
class SeededRandom : public RandomSource {
 public:
  explicit SeededRandom(uint64_t seed) : m_engine(seed) {}

  /// Returns a source whose seed comes from the operating system.
  static SeededRandom FromSystemEntropy();

  uint64_t Next() override { return m_engine(); }

 private:
  std::mt19937_64 m_engine;
};

}  // namespace fulmarrock

#endif  // SOURCE_BASE_SEEDED_RANDOM_H_
