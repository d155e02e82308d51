#include <catch2/catch.hpp>

#include "tests/support/workflow_cluster.h"

// Deregistrations of workers: those of the current incarnation, and those that
// were delayed and arrive after the worker has started again under its id.

namespace fulmarrock::test {
namespace {

constexpr Millis kLongRun{4'000};

/// A cluster of two agents whose workers execute the six tasks of workflow 7.
/// The worker of the first agent is the second incarnation under its id.
class RestartedWorker {
 public:
  RestartedWorker() : cluster(3, 2, 1) {
    cluster.SetQueueConfiguration(1);
    for (auto& agent : cluster.agents)
      agent->worker.duration = kLongRun;
    cluster.Run(Millis(1'000));
    earlier = worker().worker_incarnation;
    worker().Restart();
    cluster.Run(Millis(3'000));
    cluster.Submit(MakeChain(7, {6}));
    cluster.Run(Millis(1'000));
    active = worker().running_count();
    REQUIRE(active > 0);
    // Released tasks can start on the other worker at once.
    cluster.SetCapacity(1, {16'000, 16'384, 0});
    cluster.Run(Millis(200));
  }

  FakeRunWorker& worker() { return cluster.agents[0]->worker; }
  WorkflowRunner& runner() { return *cluster.agents[0]->runner; }

  void CheckAllRanOnce() {
    cluster.Run(Millis(15'000));
    CHECK(cluster.PhaseOf(7) == WorkflowPhase::kCompleted);
    CHECK(cluster.Executions().size() == 6);
    CHECK(cluster.FindViolation().empty());
  }

  WorkflowCluster cluster;
  WorkerIncarnation earlier;
  size_t active = 0;
};

}  // namespace

// Guards against tasks that run twice at a time: a delayed deregistration of an
// earlier incarnation was applied to its successor under the same id, whose
// runs were released.
TEST_CASE("A deregistration of an earlier incarnation releases no runs") {
  RestartedWorker test;
  CHECK_FALSE(test.runner().OnDeregistration(
      {test.earlier.id, test.earlier.start_time_unix_ms}));
  test.CheckAllRanOnce();
}

// Guards against the same when the deregistration has no start time: a worker
// drains before it deregisters.
TEST_CASE("A deregistration without start time counts only while draining") {
  RestartedWorker test;
  CHECK_FALSE(test.runner().OnDeregistration({test.earlier.id, {}}));
  test.CheckAllRanOnce();
  test.cluster.agents[0]->is_draining = true;
  test.cluster.Run(Millis(1'500));
  CHECK(test.runner().OnDeregistration({test.earlier.id, {}}));
}

// Guards against tasks that wait for the whole lease of a worker that ended as
// planned.
TEST_CASE("A deregistration of the current incarnation releases its runs") {
  RestartedWorker test;
  const WorkerIncarnation current = test.worker().worker_incarnation;
  test.worker().EndProcess();
  CHECK(
      test.runner().OnDeregistration({current.id, current.start_time_unix_ms}));
  test.cluster.Run(Millis(1'000));
  CHECK(test.cluster.Executions().size() == 6 + test.active);
  CHECK(test.cluster.FindViolation().empty());
}

// Guards against tasks that run twice at a time: a worker whose deregistration
// got no response runs on for some seconds. Its runs were taken for ended.
TEST_CASE("The runs of a worker that has deregistered are stopped first") {
  RestartedWorker test;
  const WorkerIncarnation current = test.worker().worker_incarnation;
  test.cluster.agents[0]->is_draining = true;
  test.cluster.Run(Millis(1'000));
  test.runner().OnDeregistration({current.id, current.start_time_unix_ms});
  test.cluster.Run(Millis(1'000));
  CHECK(test.worker().running_count() == 0);
  CHECK(test.cluster.Executions().size() == 6 + test.active);
  test.worker().EndProcess();
  test.cluster.Run(Millis(1'000));
  CHECK(test.cluster.FindViolation().empty());
}

// Guards against the same when the worker responds to nothing.
TEST_CASE("The runs of a silent worker that has deregistered may continue") {
  RestartedWorker test;
  for (auto& agent : test.cluster.agents)
    agent->worker.duration = Millis(20'000);
  test.cluster.Run(Millis(500));
  const WorkerIncarnation current = test.worker().worker_incarnation;
  test.worker().mode = FakeRunWorker::Mode::kNoResponses;
  test.runner().OnDeregistration({current.id, current.start_time_unix_ms});
  test.cluster.Run(Millis(10'000));
  CHECK(test.cluster.Executions().size() == 6 + test.active);
  CHECK(test.cluster.FindViolation().empty());
}

// Guards against tasks that wait for control's whole lease: their agent was
// stopped with its worker while it was cut off, and ended before it had
// reported that their runs had ended.
TEST_CASE("An agent that is stopped reports the end of its worker first") {
  RestartedWorker test;
  const WorkerIncarnation current = test.worker().worker_incarnation;
  test.cluster.network.Isolate("agent0");
  test.worker().EndProcess();
  test.runner().OnDeregistration({current.id, current.start_time_unix_ms});
  test.cluster.Run(Millis(300));
  test.runner().BeginShutdown();
  test.cluster.Run(Millis(700));
  CHECK_FALSE(test.runner().IsDrained());
  test.cluster.network.HealAll();
  test.cluster.Run(Millis(1'000));
  CHECK(test.runner().IsDrained());
  test.cluster.CrashAgent(0);
  test.cluster.Run(Millis(1'000));
  CHECK(test.cluster.Executions().size() == 6 + test.active);
  CHECK(test.cluster.FindViolation().empty());
}

// Guards against a worker that gets no work any more because its heartbeats
// were ignored after a deregistration that it did not act on.
TEST_CASE("A worker that announces itself after deregistering gets work") {
  WorkflowCluster cluster(3, 1, 1);
  cluster.SetQueueConfiguration(1);
  cluster.Run(Millis(1'000));
  const WorkerIncarnation current =
      cluster.agents[0]->worker.worker_incarnation;
  REQUIRE(cluster.agents[0]->runner->OnDeregistration(
      {current.id, current.start_time_unix_ms}));
  cluster.Run(Millis(3'000));
  cluster.Submit(MakeChain(7, {2}));
  cluster.Run(Millis(3'000));
  CHECK(cluster.PhaseOf(7) == WorkflowPhase::kCompleted);
}

}  // namespace fulmarrock::test
