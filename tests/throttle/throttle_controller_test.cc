#include "source/agent/throttle_controller.h"

#include <vector>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "tests/support/manual_clock.h"

namespace fulmarrock {
namespace {

class FakeProbe : public LatencyProbe {
 public:
  std::optional<LatencySample> Read() const override { return sample; }

  std::optional<LatencySample> sample;
};

class FakeWorker : public WorkerClient {
 public:
  void StopAll() override {}
  void ExtendLeases(Millis) override {}
  void Start(const TaskGrant&) override {}
  void Checkpoint(TaskId) override {}
  void Stop(TaskId) override {}
  void Suspend(TaskId) override {}
  void Resume(TaskId) override {}
  void ThrottleBatch(int percent) override { percents.push_back(percent); }

  std::vector<int> percents;
};

class ThrottleFixture {
 public:
  explicit ThrottleFixture(std::unique_ptr<ThrottlePolicy> policy =
                               std::make_unique<MultiplicativeThrottle>())
      : controller(clock, probe, worker, counters, std::move(policy)) {}

  /// Runs the controller with a fresh measurement every half second.
  void Run(int seconds, int64_t p99, int64_t objective = 100) {
    for (int i = 0; i < seconds * 100; ++i) {
      clock.Advance(Millis(10));
      if (i % 50 == 0)
        probe.sample = {Millis(p99), Millis(objective), clock.Now(), 1'000,
                        Millis(p99 / 3)};
      controller.OnTick();
    }
  }

  /// Runs the controller without new measurements.
  void RunWithoutMeasurements(int seconds) {
    for (int i = 0; i < seconds * 100; ++i) {
      clock.Advance(Millis(10));
      controller.OnTick();
    }
  }

  test::ManualClock clock;
  FakeProbe probe;
  FakeWorker worker;
  Counters counters;
  ThrottleController controller;
};

// Guards against a controller that reacts too slowly to a violated objective,
// or stops reducing the share while the violation lasts.
TEST_CASE("a violation reduces the share within a second and further on") {
  ThrottleFixture f;
  f.Run(10, 60);
  REQUIRE(f.controller.percent() == 100);
  f.Run(1, 200);
  CHECK(f.controller.percent() <= 50);
  f.Run(10, 200);
  CHECK(f.controller.percent() <= 10);
  CHECK(f.controller.percent() >= 1);
}

// Guards against oscillation: a share that rises too fast, or at a p99 only
// just below the objective, violates the objective again.
TEST_CASE("the share rises slowly, and not within the hysteresis") {
  ThrottleFixture f;
  f.Run(10, 200);
  const int low = f.controller.percent();
  f.Run(2, 60);
  CHECK(f.controller.percent() < low * 2);
  f.Run(120, 60);
  CHECK(f.controller.percent() == 100);

  f.Run(5, 200);
  f.Run(20, 97);
  const int held = f.controller.percent();
  f.Run(60, 97);
  CHECK(f.controller.percent() == held);
}

// Guards against a controller that reduces the share several times for the same
// measurement, or reacts to an outdated one.
TEST_CASE("a repeated or outdated measurement does not change the share") {
  ThrottleFixture f;
  f.Run(10, 60);
  f.Run(1, 200);
  const int after = f.controller.percent();
  f.RunWithoutMeasurements(2);
  CHECK(f.controller.percent() == after);

  ThrottleFixture late;
  late.Run(10, 60);
  late.probe.sample = {Millis(500), Millis(100),
                       late.clock.Now() - Millis::FromSeconds(10), 1'000,
                       Millis(200)};
  late.controller.OnTick();
  CHECK(late.controller.percent() == 100);
}

// Guards against full speed while a violation could go unnoticed, and against
// stopping batch work when measurements are missing.
TEST_CASE("missing measurements lead to the fallback share") {
  ThrottleFixture f;
  f.Run(10, 60);
  f.RunWithoutMeasurements(10);
  CHECK(f.controller.percent() == 50);
  f.RunWithoutMeasurements(100);
  CHECK(f.controller.percent() == 50);
  f.Run(60, 60);
  CHECK(f.controller.percent() == 100);
}

// Guards against throttling on instances without a service or an objective.
TEST_CASE("without any measurement or objective there is no throttling") {
  ThrottleFixture f;
  f.RunWithoutMeasurements(100);
  CHECK(f.controller.percent() == 100);
  f.Run(10, 500, 0);
  CHECK(f.controller.percent() == 100);
}

// Guards against raising the share because a service was briefly idle.
TEST_CASE("a p99 over few requests does not raise the share") {
  ThrottleFixture f;
  f.Run(10, 200);
  const int low = f.controller.percent();
  for (int i = 0; i < 100; ++i) {
    f.clock.Advance(Millis(500));
    f.probe.sample = {Millis(10), Millis(100), f.clock.Now(), 3, Millis(5)};
    f.controller.OnTick();
  }
  CHECK(f.controller.percent() == low);
}

// Guards against a worker that runs at full speed after its restart, and
// against one that keeps the share that an earlier agent process set.
TEST_CASE("the share is sent at the start and repeated while below 100") {
  ThrottleFixture f;
  f.controller.OnTick();
  CHECK(f.worker.percents == std::vector<int>{100});
  f.RunWithoutMeasurements(60);
  CHECK(f.worker.percents.size() == 1);
  f.Run(10, 60);
  f.RunWithoutMeasurements(10);
  const size_t sent = f.worker.percents.size();
  f.RunWithoutMeasurements(10);
  CHECK(f.worker.percents.size() == sent + 5);
  CHECK(f.worker.percents.back() == 50);
}

TEST_CASE("the baseline never throttles") {
  ThrottleFixture f(std::make_unique<NoThrottle>());
  f.Run(10, 1'000);
  CHECK(f.controller.percent() == 100);
}

TEST_CASE("a graceful shutdown does not wait for the throttle") {
  ThrottleFixture f;
  f.controller.BeginShutdown();
  CHECK(f.controller.IsDrained());
  f.Run(1, 60);
  CHECK(f.controller.DumpState().find("\"p99_ms\":60") != std::string::npos);
}

// Guards against a share outside 1 to 100 under any sequence of measurements.
TEST_CASE("the share stays between 1 and 100 under arbitrary measurements") {
  const bool is_ok = rc::check([](const std::vector<int16_t>& values) {
    MultiplicativeThrottle policy;
    Millis now = Millis::FromSeconds(1'000);
    for (const int16_t value : values) {
      now += Millis(value & 1023);
      const LatencySample sample{Millis(value), Millis(value % 7 * 20),
                                 now - Millis(value & 255), value & 127,
                                 Millis(value / 2)};
      const int percent = policy.Update(sample, now);
      RC_ASSERT(percent >= 1);
      RC_ASSERT(percent <= 100);
    }
  });
  CHECK(is_ok);
}

}  // namespace
}  // namespace fulmarrock
