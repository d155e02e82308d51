#include <catch2/catch.hpp>

#include "tests/support/workflow_cluster.h"

// Workers that restart under their id and respond to nothing. Requests that
// were meant for the earlier incarnation are executed in the new one.

namespace fulmarrock::test {
namespace {

using Mode = FakeRunWorker::Mode;

/// The longest lease on a slow clock, the timeout of a request, and some time
/// for control to start the tasks elsewhere.
constexpr Millis kLongestWait{6'000 * 100 / 98 + 800 + 1'000};

/// Three idle agents. The worker of the first one is about to restart.
class RestartingWorker {
 public:
  RestartingWorker() : cluster(3, 3, 1) {
    cluster.SetQueueConfiguration(1);
    cluster.Run(Millis(20'000));
    for (const auto& agent : cluster.agents)
      agent->worker.duration = Millis(30'000);
  }

  WorkflowCluster::AgentNode& agent() { return *cluster.agents[0]; }
  FakeRunWorker& worker() { return agent().worker; }

  void RestartSilently() {
    worker().Restart();
    worker().mode = Mode::kNoResponses;
  }

  /// Whether a task executes on another worker.
  bool RunsElsewhere(const TaskName& task) const {
    return cluster.agents[1]->worker.IsRunning(task) ||
           cluster.agents[2]->worker.IsRunning(task);
  }

  /// Whether all tasks of workflow 7 execute on the other workers.
  bool AllRunElsewhere(uint32_t task_count) const {
    for (uint32_t i = 0; i < task_count; ++i) {
      if (!RunsElsewhere({7, 0, 0, i}))
        return false;
    }
    return true;
  }

  WorkflowCluster cluster;
};

}  // namespace

// Guards against tasks that run twice at a time: the new incarnation announces
// itself and cannot be confirmed, and it holds the longest lease, since the
// deadlines in its requests are times on the earlier incarnation's clock.
TEST_CASE("Tasks of an unconfirmed incarnation wait for its longest lease") {
  RestartingWorker test;
  test.RestartSilently();
  test.cluster.Submit(MakeChain(7, {6}));
  test.cluster.Run(Millis(200));
  REQUIRE(test.worker().running_count() > 0);
  test.agent().announces_while_silent = true;
  test.cluster.Run(kLongestWait);
  CHECK(test.AllRunElsewhere(6));
  CHECK(test.cluster.FindViolation().empty());
}

// Guards against heartbeats that keep tasks waiting for as long as they arrive.
TEST_CASE("Restarts in series do not keep tasks waiting") {
  RestartingWorker test;
  test.RestartSilently();
  test.cluster.Submit(MakeChain(7, {6}));
  test.cluster.Run(Millis(200));
  REQUIRE(test.worker().running_count() > 0);
  test.agent().announces_while_silent = true;
  test.cluster.Run(Millis(1'300));
  for (int i = 0; i < 3; ++i) {
    test.RestartSilently();
    test.cluster.Run(Millis(1'500));
  }
  test.cluster.Run(kLongestWait - Millis(6'000));
  CHECK(test.AllRunElsewhere(6));
  CHECK(test.cluster.FindViolation().empty());
}

// Guards against starts that are sent to a worker whose connection has broken:
// the next incarnation may take the longest lease from them, and their tasks
// wait although other workers are free.
TEST_CASE("A worker gets no start while its last request has no response") {
  RestartingWorker test;
  test.cluster.Submit(MakeChain(1, {2}));
  test.cluster.Run(Millis(500));
  REQUIRE(test.worker().running_count() > 0);
  const size_t starts = test.worker().start_calls();
  test.RestartSilently();
  test.cluster.Run(Millis(100));
  // There is room for eight tasks on the other workers.
  test.cluster.Submit(MakeChain(7, {10}));
  test.cluster.Run(Millis(1'000));
  CHECK(test.worker().start_calls() == starts);
  test.cluster.SetCapacity(1, {16'000, 16'384, 0});
  test.cluster.Run(Millis(500));
  CHECK(test.AllRunElsewhere(10));
  test.cluster.Run(kLongestWait);
  CHECK(test.cluster.FindViolation().empty());
}

// Guards against the same when the agent's process restarts meanwhile.
TEST_CASE("A new agent process waits for a silent worker's longest lease") {
  RestartingWorker test;
  test.RestartSilently();
  test.cluster.Submit(MakeChain(7, {6}));
  test.cluster.Run(Millis(500));
  REQUIRE(test.worker().running_count() > 0);
  test.cluster.CrashAgent(0);
  test.cluster.Run(Millis(300));
  test.cluster.StartAgent(0);
  test.cluster.Run(Millis(15'000));
  CHECK(test.cluster.FindViolation().empty());
}

}  // namespace fulmarrock::test
