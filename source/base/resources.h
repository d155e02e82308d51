#ifndef SOURCE_BASE_RESOURCES_H_
#define SOURCE_BASE_RESOURCES_H_

#include <cstdint>
#include <string>

#include "source/base/error.h"

namespace fulmarrock {

/// Amounts of the three resources that are never oversubscribed.
struct Resources {
  int64_t cpu_millicores = 0;
  int64_t memory_mib = 0;
  int64_t accelerators = 0;

  /// Upper bound of each amount. Sums of a million such amounts do not
  /// overflow.
  static constexpr int64_t kMaxAmount = int64_t{1} << 40;

  bool operator==(const Resources&) const = default;
  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  friend Resources operator+(Resources left, const Resources& right) {
    return left += right;
  }
  friend Resources operator-(Resources left, const Resources& right) {
    return left -= right;
  }

  /// Returns whether every amount is at most the one in `available`.
  bool FitsIn(const Resources& available) const;

  /// Returns whether any amount is negative.
  bool HasNegative() const;

  /// Returns a text such as "2000m cpu, 4096 MiB, 1 accelerators".
  std::string ToString() const;
};

/// Checks a request for resources: processors and memory must be positive,
/// accelerators may be zero, and nothing may exceed Resources::kMaxAmount.
Result<void> ValidateRequest(const Resources& resources);

}  // namespace fulmarrock

#endif  // SOURCE_BASE_RESOURCES_H_
