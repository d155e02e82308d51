#ifndef SOURCE_BASE_COUNTERS_H_
#define SOURCE_BASE_COUNTERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace fulmarrock {

/// Named counters of one role. Used only by the thread that runs the role.
class Counters {
 public:
  /// Adds to a counter, which starts at zero.
  void Add(std::string_view name, int64_t amount = 1);

  /// Returns a counter's value, or zero for one that was never added to.
  int64_t Get(std::string_view name) const;

  const std::map<std::string, int64_t, std::less<>>& values() const {
    return m_values;
  }

 private:
  std::map<std::string, int64_t, std::less<>> m_values;
};

}  // namespace fulmarrock

#endif  // SOURCE_BASE_COUNTERS_H_
