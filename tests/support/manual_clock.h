#ifndef TESTS_SUPPORT_MANUAL_CLOCK_H_
#define TESTS_SUPPORT_MANUAL_CLOCK_H_

#include "source/base/clock.h"

namespace fulmarrock::test {

/// Clock that moves only when a test sets or advances it.
class ManualClock : public Clock {
 public:
  Millis Now() const override { return m_now; }
  void Advance(Millis step) { m_now += step; }
  void Set(Millis now) { m_now = now; }

 private:
  // Does not start at zero, so that a default instant lies in the past.
  Millis m_now{1'000'000};
};

}  // namespace fulmarrock::test

#endif  // TESTS_SUPPORT_MANUAL_CLOCK_H_
