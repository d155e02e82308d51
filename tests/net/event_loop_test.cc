#include "source/net/event_loop.h"

#include <vector>

#include <catch2/catch.hpp>

#include "source/net/tick_schedule.h"
#include "tests/net/net_fixture.h"

namespace fulmarrock::test {
namespace {

// Guards against ticks that drift because each due time is computed from the
// last tick instead of the start.
TEST_CASE("late ticks keep to the schedule and are counted") {
  TickSchedule ticks(0, 10);
  CHECK_FALSE(ticks.TakeDue(9));
  CHECK(ticks.TakeDue(14));
  CHECK(ticks.next_due() == 20);
  CHECK(ticks.TakeDue(47));
  CHECK(ticks.missed() == 2);
  CHECK(ticks.next_due() == 50);
}

// Guards against lost wake-ups, and against functions of one thread that run in
// another order than it posted them.
TEST_CASE("functions of several threads run in the order each posted them") {
  constexpr int kCount = 2000;
  LoopThread target;
  LoopThread first;
  LoopThread second;
  std::vector<int> seen;
  const auto post_all = [&](LoopThread& from, int base) {
    from.loop().Post([&target, &seen, base] {
      for (int i = 0; i < kCount; ++i)
        target.loop().Post(
            [&seen, value = base + i] { seen.push_back(value); });
    });
  };
  post_all(first, 0);
  post_all(second, kCount);
  REQUIRE(WaitFor(target, [&] { return seen.size() == 2 * kCount; }));
  std::vector<int> low;
  std::vector<int> high;
  for (const int value : seen)
    (value < kCount ? low : high).push_back(value);
  CHECK(std::is_sorted(low.begin(), low.end()));
  CHECK(std::is_sorted(high.begin(), high.end()));
}

// Guards against timers that run after they were cancelled or out of order.
TEST_CASE("timers run in the order of their due times unless cancelled") {
  LoopThread thread;
  Mailbox<int> fired;
  thread.RunAndWait([&] {
    EventLoop& loop = thread.loop();
    loop.AddTimer(Millis(30), [&] { fired.Put(3); });
    const auto cancelled = loop.AddTimer(Millis(5), [&] { fired.Put(2); });
    loop.AddTimer(Millis(1), [&loop, &fired, cancelled] {
      loop.CancelTimer(cancelled);
      fired.Put(1);
    });
  });
  CHECK(fired.Take() == 1);
  CHECK(fired.Take() == 3);
}

}  // namespace
}  // namespace fulmarrock::test
