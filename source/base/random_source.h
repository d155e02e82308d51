#ifndef SOURCE_BASE_RANDOM_SOURCE_H_
#define SOURCE_BASE_RANDOM_SOURCE_H_

#include <cstdint>

namespace fulmarrock {

/// Source of random numbers for all decision logic.
class RandomSource {
 public:
  virtual ~RandomSource() = default;

  /// Returns 64 uniformly distributed bits.
  virtual uint64_t Next() = 0;

  /// Returns a uniform value below `bound`, which must not be zero.
  uint64_t Below(uint64_t bound);

  /// Returns a uniform value in [0, 1).
  double Fraction();
};

}  // namespace fulmarrock

#endif  // SOURCE_BASE_RANDOM_SOURCE_H_
