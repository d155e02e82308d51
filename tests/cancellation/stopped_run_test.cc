#include <catch2/catch.hpp>

#include "tests/support/workflow_cluster.h"

// A run whose workflow was cancelled ends, whatever happens to the order to
// stop it.

namespace fulmarrock::test {
namespace {

using Mode = FakeRunWorker::Mode;

constexpr WorkflowKey kKey = 7;

/// Longest time from a cancellation's acknowledgement until nothing of the
/// workflow runs.
constexpr Millis kStopLimit{3'400};

WorkflowSpec MakeLongRunning(WorkflowKey key, uint32_t tasks) {
  WorkflowSpec spec = MakeChain(key, {tasks});
  spec.steps[0].is_long_running = true;
  return spec;
}

/// Tasks that a draining worker may complete.
WorkflowSpec MakeLongTasks(WorkflowKey key, uint32_t tasks) {
  WorkflowSpec spec = MakeChain(key, {tasks});
  spec.steps[0].estimate = Millis(60'000);
  return spec;
}

size_t RunningCount(const WorkflowCluster& cluster) {
  size_t count = 0;
  for (const auto& agent : cluster.agents)
    count += agent->worker.running_count();
  return count;
}

/// A cluster whose runs never complete by themselves.
class RunningCluster {
 public:
  explicit RunningCluster(size_t agents) : cluster(3, agents, 1) {
    cluster.SetQueueConfiguration(1);
    cluster.Run(Millis(3'000));
    for (auto& agent : cluster.agents)
      agent->worker.never_completes = true;
  }

  WorkflowCluster cluster;
};

}  // namespace

// Guards against an agent that takes a confirmed stop for done although the
// worker lists the run on and on.
TEST_CASE("A run that the worker lists after its stop is stopped again") {
  RunningCluster test(1);
  WorkflowCluster& cluster = test.cluster;
  cluster.Submit(MakeLongRunning(kKey, 2));
  cluster.Run(Millis(1'000));
  REQUIRE(RunningCount(cluster) == 2);
  cluster.agents[0]->worker.lost_stops = 2;
  REQUIRE(cluster.Cancel(kKey).reply.kind == WorkflowReplyKind::kCancelled);
  cluster.Run(kStopLimit);
  CHECK(RunningCount(cluster) == 0);
}

// Guards against a run that starts late on a draining worker while its task
// runs elsewhere: the agent process that sent the start has been replaced, and
// its successor gave up the run without a stop.
TEST_CASE(
    "A start of an earlier agent process does not execute while draining") {
  RunningCluster test(2);
  WorkflowCluster& cluster = test.cluster;
  cluster.SetCapacity(1, {0, 0, 0});
  cluster.Run(Millis(1'000));
  cluster.agents[0]->worker.mode = Mode::kDelayedStart;
  cluster.Submit(MakeLongTasks(kKey, 2));
  cluster.Run(Millis(100));
  REQUIRE(cluster.agents[0]->worker.start_calls() == 2);
  cluster.CrashAgent(0);
  cluster.agents[0]->worker.mode = Mode::kNormal;
  cluster.agents[0]->is_draining = true;
  cluster.StartAgent(0);
  cluster.SetCapacity(1, {4'000, 4'096, 0});
  cluster.Run(Millis(8'000));
  CHECK(cluster.FindViolation().empty());
  REQUIRE(cluster.Cancel(kKey).reply.kind == WorkflowReplyKind::kCancelled);
  cluster.Run(kStopLimit);
  CHECK(RunningCount(cluster) == 0);
}

// Guards against a start that executes late in a worker that restarted under
// its id, after the run was stopped in the earlier incarnation.
TEST_CASE("A stopped run does not start late in a restarted worker") {
  RunningCluster test(1);
  WorkflowCluster& cluster = test.cluster;
  FakeRunWorker& worker = cluster.agents[0]->worker;
  worker.delays_outlive_restart = true;
  worker.mode = Mode::kDelayedStart;
  cluster.Submit(MakeLongRunning(kKey, 2));
  cluster.Run(Millis(100));
  REQUIRE(worker.start_calls() == 2);
  worker.mode = Mode::kNormal;
  REQUIRE(cluster.Cancel(kKey).reply.kind == WorkflowReplyKind::kCancelled);
  cluster.Run(Millis(1'500));
  worker.Restart();
  cluster.Run(Millis(1'500));
  for (int i = 0; i < 300; ++i) {
    cluster.Run(Millis(10));
    REQUIRE(RunningCount(cluster) == 0);
  }
}

// Guards against the same after the agent process was replaced, which knows
// nothing of the start.
TEST_CASE(
    "A start of an earlier agent process is found in a restarted worker") {
  RunningCluster test(1);
  WorkflowCluster& cluster = test.cluster;
  FakeRunWorker& worker = cluster.agents[0]->worker;
  worker.delays_outlive_restart = true;
  worker.mode = Mode::kDelayedStart;
  cluster.Submit(MakeLongRunning(kKey, 2));
  cluster.Run(Millis(100));
  REQUIRE(worker.start_calls() == 2);
  worker.mode = Mode::kNormal;
  REQUIRE(cluster.Cancel(kKey).reply.kind == WorkflowReplyKind::kCancelled);
  cluster.Run(Millis(1'000));
  cluster.CrashAgent(0);
  worker.Restart();
  cluster.StartAgent(0);
  cluster.Run(Millis(3'600));
  CHECK(RunningCount(cluster) == 0);
}

// Guards against an agent that refuses a run before it knows that the worker
// executes it, and stops it without need.
TEST_CASE("A restarted agent lets runs complete on a draining worker") {
  WorkflowCluster cluster(3, 1, 1);
  cluster.SetQueueConfiguration(1);
  cluster.Run(Millis(3'000));
  cluster.agents[0]->worker.duration = Millis(5'000);
  cluster.Submit(MakeLongTasks(kKey, 3));
  cluster.Run(Millis(500));
  REQUIRE(RunningCount(cluster) == 3);
  cluster.CrashAgent(0);
  cluster.agents[0]->is_draining = true;
  cluster.StartAgent(0);
  cluster.Run(Millis(8'000));
  for (const Execution& execution : cluster.Executions())
    CHECK(execution.kind == RunOutcome::kDone);
  CHECK(cluster.Executions().size() == 3);
}

// Guards against an agent process that ends while its stop request has no
// response: nobody repeats it until the next process runs.
TEST_CASE("An agent does not end before its stop requests have a response") {
  RunningCluster test(1);
  WorkflowCluster& cluster = test.cluster;
  cluster.Submit(MakeLongRunning(kKey, 2));
  cluster.Run(Millis(1'000));
  cluster.agents[0]->worker.mode = Mode::kNoResponses;
  REQUIRE(cluster.Cancel(kKey).reply.kind == WorkflowReplyKind::kCancelled);
  cluster.Run(Millis(100));
  cluster.agents[0]->runner->BeginShutdown();
  CHECK_FALSE(cluster.agents[0]->runner->IsDrained());
  cluster.agents[0]->worker.mode = Mode::kNormal;
  cluster.Run(Millis(1'500));
  CHECK(cluster.agents[0]->runner->IsDrained());
  CHECK(RunningCount(cluster) == 0);
}

// Guards against a leader that takes over after the cancellation and before
// the stop instruction, and does not repeat it.
TEST_CASE(
    "A new leader stops the runs of a workflow that was cancelled before") {
  RunningCluster test(2);
  WorkflowCluster& cluster = test.cluster;
  cluster.Submit(MakeLongRunning(kKey, 4));
  cluster.Run(Millis(1'000));
  REQUIRE(RunningCount(cluster) == 4);
  cluster.network.Cut("control0", "agent0");
  cluster.network.Cut("control0", "agent1");
  REQUIRE(cluster.Cancel(kKey).reply.kind == WorkflowReplyKind::kCancelled);
  cluster.Run(Millis(500));
  REQUIRE(RunningCount(cluster) == 4);
  cluster.ChangeLeader(1);
  cluster.Run(kStopLimit);
  CHECK(RunningCount(cluster) == 0);
}

// Guards against a new agent process that finds a cancelled run on its worker
// and lets it run.
TEST_CASE(
    "A restarted agent stops the runs of a workflow cancelled meanwhile") {
  RunningCluster test(1);
  WorkflowCluster& cluster = test.cluster;
  cluster.Submit(MakeLongRunning(kKey, 4));
  cluster.Run(Millis(1'000));
  cluster.CrashAgent(0);
  REQUIRE(cluster.Cancel(kKey).reply.kind == WorkflowReplyKind::kCancelled);
  cluster.Run(Millis(1'000));
  REQUIRE(RunningCount(cluster) == 4);
  cluster.StartAgent(0);
  cluster.Run(kStopLimit);
  CHECK(RunningCount(cluster) == 0);
}

// Guards against a run that stays on a worker that drains, because control or
// the agent no longer counts the worker.
TEST_CASE("Runs on a draining worker stop when their workflow is cancelled") {
  RunningCluster test(2);
  WorkflowCluster& cluster = test.cluster;
  cluster.Submit(MakeLongTasks(kKey, 6));
  cluster.Run(Millis(1'000));
  REQUIRE(RunningCount(cluster) == 6);
  cluster.agents[0]->is_draining = true;
  cluster.Run(Millis(1'000));
  REQUIRE(RunningCount(cluster) == 6);
  REQUIRE(cluster.Cancel(kKey).reply.kind == WorkflowReplyKind::kCancelled);
  cluster.Run(kStopLimit);
  CHECK(RunningCount(cluster) == 0);
}

// Guards against an orphan: control gave the worker up while it was cut off,
// and the cancellation came before it was back.
TEST_CASE("Runs on a worker that control had given up stop when it is back") {
  RunningCluster test(2);
  WorkflowCluster& cluster = test.cluster;
  cluster.Submit(MakeLongRunning(kKey, 4));
  cluster.Run(Millis(1'000));
  cluster.network.Isolate("agent0");
  cluster.Run(Millis(3'000));
  REQUIRE(cluster.Cancel(kKey).reply.kind == WorkflowReplyKind::kCancelled);
  cluster.Run(Millis(2'000));
  cluster.network.Rejoin("agent0");
  cluster.Run(kStopLimit);
  CHECK(RunningCount(cluster) == 0);
}

}  // namespace fulmarrock::test
