#include <catch2/catch.hpp>

#include "source/base/active_clock.h"
#include "tests/support/manual_clock.h"

namespace fulmarrock::test {

// Guards against a deadline of another process that is taken for passed because
// a suspension was counted.
TEST_CASE("An active clock leaves out the time in which it was not updated") {
  ManualClock clock;
  ActiveClock active_clock(clock);
  const Millis start = active_clock.Now();
  clock.Advance(Millis(100));
  active_clock.Update();
  CHECK(active_clock.Now() - start == Millis(100));
  clock.Advance(Millis(6'000));
  active_clock.Update();
  CHECK(active_clock.Now() - start == Millis(100));
  clock.Advance(ActiveClock::kMaxGap);
  active_clock.Update();
  CHECK(active_clock.Now() - start == Millis(100) + ActiveClock::kMaxGap);
}

}  // namespace fulmarrock::test
