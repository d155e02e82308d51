#ifndef TESTS_SUPPORT_SKEWED_CLOCK_H_
#define TESTS_SUPPORT_SKEWED_CLOCK_H_

#include "source/base/clock.h"

namespace fulmarrock::test {

/// Clock with a different origin and rate than its base clock.
class SkewedClock : public Clock {
 public:
  /// `drift` is in thousandths: with 10, the clock gains 10 ms per second.
  SkewedClock(const Clock& base, Millis offset, int64_t drift)
      : m_base(base), m_offset(offset), m_drift(drift) {}

  Millis Now() const override {
    const Millis now = m_base.Now();
    return now + m_offset + now * m_drift / 1000;
  }

 private:
  const Clock& m_base;
  Millis m_offset;
  int64_t m_drift;
};

}  // namespace fulmarrock::test

#endif  // TESTS_SUPPORT_SKEWED_CLOCK_H_
