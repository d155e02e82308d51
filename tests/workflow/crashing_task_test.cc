#include <algorithm>

#include <catch2/catch.hpp>

#include "tests/support/workflow_cluster.h"

// Tasks that crash each worker that starts them.

namespace fulmarrock::test {
namespace {

constexpr size_t kAgents = 5;
constexpr WorkflowKey kFaulty = 7;
constexpr TaskName kCrashing{kFaulty, 0, 0, 0};
// Most starts of a task that crashes its workers: after three crashes two more
// are tolerated.
constexpr size_t kMaxStarts = 5;

size_t CountStarts(const WorkflowCluster& cluster, const TaskName& task) {
  const std::vector<Execution> executions = cluster.Executions();
  return static_cast<size_t>(std::count_if(
      executions.begin(), executions.end(),
      [&](const Execution& execution) { return execution.task == task; }));
}

void Prepare(WorkflowCluster& cluster) {
  cluster.SetCrashingTask(kCrashing);
  cluster.SetQueueConfiguration(1);
  cluster.Run(Millis(1'000));
}

/// Submits a workflow every 100 ms.
void SubmitOthers(WorkflowCluster& cluster, WorkflowKey first, size_t count) {
  for (size_t i = 0; i < count; ++i) {
    cluster.Submit(MakeChain(first + i, {2, 1}));
    cluster.Run(Millis(100));
  }
}

}  // namespace

// Guards against one task that crashes worker after worker, with all runs
// there, for as long as its workflow is open.
TEST_CASE("A task that crashes its workers is given up after two crashes") {
  WorkflowCluster cluster(3, kAgents, 1);
  Prepare(cluster);
  cluster.Submit(MakeChain(kFaulty, {4}));
  SubmitOthers(cluster, 100, 40);
  cluster.Run(Millis(30'000));
  CHECK(cluster.PhaseOf(kFaulty) == WorkflowPhase::kFailed);
  CHECK(CountStarts(cluster, kCrashing) == 2);
  CHECK(cluster.CountWorkerCrashes() == 2);
  CHECK(cluster.FindViolation().empty());
}

// Guards against workflows that fail because their tasks ran beside one that
// crashes its workers.
TEST_CASE("Tasks beside one that crashes its workers complete") {
  WorkflowCluster cluster(3, kAgents, 1);
  Prepare(cluster);
  cluster.SetCrashingTask({kFaulty + 1, 0, 0, 1});
  cluster.Submit(MakeChain(kFaulty, {4}));
  cluster.Submit(MakeChain(kFaulty + 1, {3}));
  SubmitOthers(cluster, 100, 40);
  cluster.Run(Millis(30'000));
  CHECK(cluster.CountWorkerCrashes() == 4);
  for (WorkflowKey key = 100; key < 140; ++key)
    CHECK(cluster.PhaseOf(key) == WorkflowPhase::kCompleted);
}

// Guards against a count of crashes that is lost with the leader or with a
// snapshot, so that the task starts anew under each leader.
TEST_CASE("A new leader knows how many workers a task has crashed") {
  WorkflowCluster cluster(3, kAgents, 1);
  Prepare(cluster);
  cluster.Submit(MakeChain(kFaulty, {1}));
  while (cluster.CountWorkerCrashes() < 1)
    cluster.Run(Millis(10));
  cluster.Run(Millis(3'500));
  cluster.log.Compact();
  cluster.ChangeLeader(1);
  cluster.Run(Millis(30'000));
  CHECK(cluster.PhaseOf(kFaulty) == WorkflowPhase::kFailed);
  CHECK(CountStarts(cluster, kCrashing) <= 3);
}

// Guards against a task that is never given up because the worker crashes some
// time after the start.
TEST_CASE("A task that crashes its workers late is given up") {
  WorkflowCluster cluster(3, kAgents, 1);
  Prepare(cluster);
  for (auto& agent : cluster.agents) {
    agent->worker.crash_delay = Millis(2'000);
    agent->worker.duration = Millis(4'000);
  }
  cluster.Submit(MakeChain(kFaulty, {1}));
  cluster.Run(Millis(60'000));
  CHECK(cluster.PhaseOf(kFaulty) == WorkflowPhase::kFailed);
  CHECK(CountStarts(cluster, kCrashing) <= kMaxStarts);
}

// Guards against a long-running task that crashes worker after worker because
// such a task is restarted however its runs end.
TEST_CASE("A long-running task that crashes its workers is given up") {
  WorkflowCluster cluster(3, kAgents, 1);
  Prepare(cluster);
  WorkflowSpec spec = MakeChain(kFaulty, {2});
  spec.steps[0].is_long_running = true;
  for (auto& agent : cluster.agents)
    agent->worker.never_completes = true;
  cluster.Submit(spec);
  cluster.Run(Millis(60'000));
  CHECK(cluster.PhaseOf(kFaulty) == WorkflowPhase::kFailed);
  CHECK(CountStarts(cluster, kCrashing) <= kMaxStarts);
}

// Guards against a workflow that fails because its workers crash for another
// reason.
TEST_CASE("A task whose workers crash while it runs for long is not given up") {
  WorkflowCluster cluster(3, kAgents, 1);
  cluster.SetQueueConfiguration(1);
  cluster.Run(Millis(1'000));
  WorkflowSpec spec = MakeChain(kFaulty, {1});
  spec.steps[0].is_long_running = true;
  for (auto& agent : cluster.agents)
    agent->worker.never_completes = true;
  cluster.Submit(spec);
  for (int i = 0; i < 6; ++i) {
    cluster.Run(Millis(6'000));
    for (auto& agent : cluster.agents) {
      if (agent->worker.running_count() > 0)
        agent->worker.Crash();
    }
  }
  cluster.Run(Millis(6'000));
  CHECK(cluster.PhaseOf(kFaulty) == WorkflowPhase::kRunning);
  CHECK(cluster.CountWorkerCrashes() == 6);
}

}  // namespace fulmarrock::test
