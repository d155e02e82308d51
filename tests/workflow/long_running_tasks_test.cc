#include <catch2/catch.hpp>

#include "tests/support/workflow_cluster.h"

// Long-running tasks continue through short failures beside them.

namespace fulmarrock::test {
namespace {

using Mode = FakeRunWorker::Mode;

constexpr uint32_t kTasks = 4;

/// A cluster of two agents whose workers execute long-running tasks.
class LongRunningTasks {
 public:
  LongRunningTasks() : cluster(3, 2, 1) {
    cluster.SetQueueConfiguration(1);
    cluster.Run(Millis(3'000));
    for (auto& agent : cluster.agents)
      agent->worker.never_completes = true;
    WorkflowSpec spec = MakeChain(7, {kTasks});
    spec.steps[0].is_long_running = true;
    cluster.Submit(spec);
    cluster.Run(Millis(3'000));
    REQUIRE(cluster.Executions().size() == kTasks);
  }

  WorkflowCluster cluster;
};

}  // namespace

// Guards against long-running tasks that are stopped and start over because
// their agent restarted: its first reports, before it has polled the worker,
// were taken for those of a draining worker.
TEST_CASE("Long-running tasks continue while their agent restarts") {
  LongRunningTasks test;
  for (size_t i = 0; i < test.cluster.agents.size(); ++i) {
    test.cluster.CrashAgent(i);
    test.cluster.Run(Millis(700));
    test.cluster.StartAgent(i);
    test.cluster.Run(Millis(5'000));
  }
  CHECK(test.cluster.Executions().size() == kTasks);
}

// Guards against the same when the agent is stopped as planned: its last report
// was taken for that of a draining worker.
TEST_CASE("Long-running tasks continue while their agent is stopped") {
  LongRunningTasks test;
  for (size_t i = 0; i < test.cluster.agents.size(); ++i) {
    WorkflowRunner& runner = *test.cluster.agents[i]->runner;
    runner.BeginShutdown();
    test.cluster.Run(Millis(600));
    CHECK(runner.IsDrained());
    test.cluster.CrashAgent(i);
    test.cluster.Run(Millis(300));
    test.cluster.StartAgent(i);
    test.cluster.Run(Millis(5'000));
  }
  CHECK(test.cluster.Executions().size() == kTasks);
}

// Guards against the same after a worker was silent for longer than the agent
// takes it for reachable, and for less than its lease.
TEST_CASE("Long-running tasks continue while their worker is silent") {
  LongRunningTasks test;
  for (auto& agent : test.cluster.agents)
    agent->worker.mode = Mode::kNoResponses;
  test.cluster.Run(Millis(3'000));
  for (auto& agent : test.cluster.agents)
    agent->worker.mode = Mode::kNormal;
  test.cluster.Run(Millis(5'000));
  CHECK(test.cluster.Executions().size() == kTasks);
}

}  // namespace fulmarrock::test
