#include <vector>

#include <catch2/catch.hpp>

#include "source/control/worker_link.h"

// The leader's list of instructions for one agent.

namespace fulmarrock::test {
namespace {

constexpr WorkerNumber kWorker = 1;
const TaskName kTask{7, 0, 0, 0};

class LinkFixture {
 public:
  LinkFixture() {
    report.agent_incarnation = 1;
    report.worker_incarnation = {"worker", 1};
    link.OnReport(report, kWorker, Millis(0));
  }

  std::vector<RunId> TakeStops() {
    return link.TakeInstructions(1, Millis(1'000), Millis(0)).stops;
  }

  WorkflowState state;
  WorkerReport report;
  WorkerLink link{"agent", state};
};

}  // namespace

// Guards against a stop for an earlier run of the task that keeps the stop for
// the current one from being sent.
TEST_CASE("A stop for a later run replaces the one for an earlier run") {
  LinkFixture test;
  test.link.AddStop(kTask, 1);
  test.link.AddStop(kTask, 2);
  const std::vector<RunId> stops = test.TakeStops();
  REQUIRE(stops.size() == 1);
  CHECK(stops[0].run == 2);
}

// Guards against stops for runs of an earlier worker incarnation that outlive
// its release.
TEST_CASE("Stops for an earlier worker incarnation end with its release") {
  LinkFixture test;
  test.link.AddStop(kTask, 1);
  REQUIRE(test.link.Attach(kWorker + 1, test.report.worker_incarnation));
  CHECK(test.TakeStops().empty());
}

}  // namespace fulmarrock::test
