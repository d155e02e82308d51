#include <catch2/catch.hpp>

#include "tests/support/workflow_cluster.h"

// An instance with an agent and its worker is suspended. The worker's clock,
// and so its lease, does not count that time; the agent's clock does.

namespace fulmarrock::test {
namespace {

constexpr Millis kLongRun{20'000};

/// A cluster of two agents. The worker of the first one executes tasks of
/// workflow 7, and the second one has room for them.
class BusyWorker {
 public:
  BusyWorker() : cluster(3, 2, 1) {
    cluster.SetQueueConfiguration(1);
    for (auto& agent : cluster.agents)
      agent->worker.duration = kLongRun;
    cluster.Run(Millis(15'000));
    cluster.Submit(MakeChain(7, {6}));
    cluster.Run(Millis(1'000));
    REQUIRE(worker().running_count() > 0);
    cluster.SetCapacity(1, {16'000, 16'384, 0});
    cluster.Run(Millis(200));
  }

  FakeRunWorker& worker() { return cluster.agents[0]->worker; }

  void Suspend(Millis duration) {
    cluster.SuspendInstance(0);
    cluster.Run(duration);
    cluster.ResumeInstance(0);
  }

  WorkflowCluster cluster;
};

}  // namespace

// Guards against tasks that start elsewhere while they run on a worker whose
// instance was suspended for as long as its lease: the agent counted the
// suspension as time on the worker's clock.
TEST_CASE("The runs of a suspended instance do not count as ended") {
  BusyWorker test;
  test.Suspend(Millis(6'000));
  test.cluster.Run(Millis(3'000));
  CHECK(test.cluster.Executions().size() == 6);
  CHECK(test.cluster.FindViolation().empty());
}

// Guards against the same when the worker responds to nothing, so that only
// time tells that its lease has expired, and suspensions come in series.
TEST_CASE("The lease of a silent worker does not expire while suspended") {
  BusyWorker test;
  test.worker().mode = FakeRunWorker::Mode::kNoResponses;
  for (int i = 0; i < 3; ++i) {
    test.cluster.Run(Millis(1'200));
    test.Suspend(Millis(2'000));
  }
  test.cluster.Run(Millis(8'000));
  CHECK(test.cluster.Executions().size() > 6);
  CHECK(test.cluster.FindViolation().empty());
}

// Guards against an agent process that takes the lease which its predecessor
// extended for expired because its instance was suspended after its start.
TEST_CASE("A new agent process does not count a suspension") {
  BusyWorker test;
  test.cluster.CrashAgent(0);
  test.cluster.StartAgent(0);
  test.cluster.Run(Millis(50));
  test.worker().mode = FakeRunWorker::Mode::kNoResponses;
  test.Suspend(Millis(6'000));
  test.cluster.Run(Millis(8'000));
  CHECK(test.cluster.FindViolation().empty());
}

}  // namespace fulmarrock::test
