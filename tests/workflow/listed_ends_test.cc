#include <catch2/catch.hpp>

#include "tests/support/workflow_cluster.h"

// More runs end than a worker lists in one poll response, or than control
// stores in one command.

namespace fulmarrock::test {
namespace {

constexpr uint32_t kTasks = 16;

/// A cluster of one agent that is cut off while all runs end on its worker,
/// which lists one end at a time.
class IsolatedAgent {
 public:
  IsolatedAgent() : cluster(3, 1, 1) {
    cluster.SetQueueConfiguration(1);
    cluster.SetCapacity(0, {16'000, 16'384, 0});
    cluster.agents[0]->worker.max_listed_ends = 1;
    cluster.agents[0]->worker.duration = Millis(1'000);
    cluster.Run(Millis(3'000));
    cluster.Submit(MakeChain(7, {kTasks}));
    cluster.Run(Millis(500));
    REQUIRE(cluster.agents[0]->worker.running_count() == kTasks);
    cluster.network.Isolate("agent0");
    cluster.Run(Millis(2'000));
    REQUIRE(cluster.agents[0]->worker.running_count() == 0);
  }

  void CheckAllRanOnce() {
    cluster.network.HealAll();
    cluster.Run(Millis(6'000));
    CHECK(cluster.PhaseOf(7) == WorkflowPhase::kCompleted);
    CHECK(cluster.Executions().size() == kTasks);
    CHECK(cluster.FindViolation().empty());
  }

  WorkflowCluster cluster;
};

}  // namespace

// Guards against completed tasks that run again: a run that was neither active
// nor among the listed ends was taken for one that never started, although the
// list was cut off.
TEST_CASE("A run is not given up while its worker lists only some ends") {
  IsolatedAgent test;
  test.CheckAllRanOnce();
}

// Guards against the same after a restart of the agent, which reported to
// control what it had found when it knew only some of the ends.
TEST_CASE("A restarted agent waits until its worker has listed all ends") {
  IsolatedAgent test;
  test.cluster.CrashAgent(0);
  test.cluster.Run(Millis(500));
  test.cluster.StartAgent(0);
  test.CheckAllRanOnce();
}

// Guards against completed tasks that run again: the runs of a worker that left
// were released when only the first 500 of their ends were stored.
TEST_CASE("A worker's runs are released after all of its ends are stored") {
  constexpr uint32_t kWidth = 600;
  WorkflowCluster cluster(3, 1, 1);
  cluster.SetQueueConfiguration(1);
  cluster.SetCapacity(0, {1'000'000, 1'000'000, 0});
  FakeRunWorker& worker = cluster.agents[0]->worker;
  worker.max_listed_ends = 1'000;
  worker.duration = Millis(3'000);
  cluster.Run(Millis(3'000));
  cluster.Submit(MakeChain(7, {kWidth}));
  cluster.Run(Millis(1'500));
  REQUIRE(worker.running_count() == kWidth);
  cluster.network.Isolate("agent0");
  cluster.Run(Millis(3'000));
  REQUIRE(worker.running_count() == 0);
  worker.mode = FakeRunWorker::Mode::kDown;
  cluster.agents[0]->runner->OnDeregistration(
      {worker.worker_incarnation.id,
       worker.worker_incarnation.start_time_unix_ms});
  cluster.network.HealAll();
  cluster.Run(Millis(3'000));
  CHECK(cluster.PhaseOf(7) == WorkflowPhase::kCompleted);
}

// Guards against an agent that polls without a pause, because an end that
// belongs to no task is never acknowledged.
TEST_CASE("The end of a run that another program started is acknowledged") {
  WorkflowCluster cluster(3, 1, 1);
  cluster.SetQueueConfiguration(1);
  cluster.Run(Millis(3'000));
  FakeRunWorker& worker = cluster.agents[0]->worker;
  worker.duration = Millis(5'000);
  cluster.Submit(MakeChain(7, {2}));
  cluster.Run(Millis(500));
  worker.EndForeignRun();
  cluster.Run(Millis(2'000));
  CHECK_FALSE(worker.HasForeignEnds());
  cluster.Run(Millis(5'000));
  CHECK(cluster.PhaseOf(7) == WorkflowPhase::kCompleted);
  CHECK(cluster.FindViolation().empty());
}

}  // namespace fulmarrock::test
