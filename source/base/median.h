#ifndef SOURCE_BASE_MEDIAN_H_
#define SOURCE_BASE_MEDIAN_H_

#include <algorithm>
#include <cstddef>
#include <vector>

namespace fulmarrock {

/// Returns the median of at least one value; of an even number of values, the
/// upper one of the two in the middle.
template <typename T>
T Median(std::vector<T> values) {
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace fulmarrock

#endif  // SOURCE_BASE_MEDIAN_H_
