#ifndef SOURCE_BASE_MILLIS_H_
#define SOURCE_BASE_MILLIS_H_

#include <compare>
#include <cstdint>
#include <limits>

namespace fulmarrock {

/// A count of milliseconds. Serves both as a duration and as an instant of the
/// Clock that produced it; instants of different processes must not be
/// compared.
class Millis {
 public:
  constexpr Millis() = default;
  constexpr explicit Millis(int64_t count) : m_count(count) {}

  /// The largest value; as an instant it lies after every other one.
  static constexpr Millis Max() {
    return Millis(std::numeric_limits<int64_t>::max());
  }
  static constexpr Millis FromSeconds(int64_t seconds) {
    return Millis(seconds * 1000);
  }

  constexpr int64_t count() const { return m_count; }

  constexpr auto operator<=>(const Millis&) const = default;
  constexpr Millis operator+(Millis other) const {
    return Millis(m_count + other.m_count);
  }
  constexpr Millis operator-(Millis other) const {
    return Millis(m_count - other.m_count);
  }
  constexpr Millis operator*(int64_t factor) const {
    return Millis(m_count * factor);
  }
  constexpr Millis operator/(int64_t divisor) const {
    return Millis(m_count / divisor);
  }
  constexpr Millis& operator+=(Millis other) {
    m_count += other.m_count;
    return *this;
  }
  constexpr Millis& operator-=(Millis other) {
    m_count -= other.m_count;
    return *this;
  }

 private:
  int64_t m_count = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_BASE_MILLIS_H_
