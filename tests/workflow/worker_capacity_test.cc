#include <catch2/catch.hpp>

#include "tests/support/workflow_cluster.h"

// Workers without admission control whose capacity changes while they run. A
// start that exceeds the announced capacity is a violation.

namespace fulmarrock::test {
namespace {

constexpr Resources kFullCapacity{4'000, 4'096, 0};
constexpr Resources kThreeTasks{3'000, 4'096, 0};
constexpr Resources kHalfCapacity{2'000, 4'096, 0};
/// Memory for two tasks of MakeChain().
constexpr Resources kLittleMemory{4'000, 512, 0};

/// Whether no run was refused: each task ran once, as run number 1.
bool RanAtFirstAttempt(const WorkflowCluster& cluster) {
  for (const Execution& execution : cluster.Executions()) {
    if (execution.run != 1)
      return false;
  }
  return true;
}

}  // namespace

TEST_CASE("A worker whose capacity shrank gets runs up to its new capacity") {
  // Guards against placement by the capacity that was registered.
  const Resources capacity = GENERATE(kHalfCapacity, kLittleMemory);
  WorkflowCluster cluster(3, 1, 1);
  cluster.SetQueueConfiguration(1);
  cluster.Run(Millis(1'000));
  cluster.SetCapacity(0, capacity);
  cluster.Run(Millis(30));
  cluster.Submit(MakeChain(7, {8}));
  cluster.Run(Millis(4'000));
  CHECK(cluster.FindViolation().empty());
  CHECK(cluster.PhaseOf(7) == WorkflowPhase::kCompleted);
  CHECK(RanAtFirstAttempt(cluster));
}

TEST_CASE(
    "Runs over a shrunk capacity continue, and none starts until they fit") {
  // Guards against starts beside runs that are being stopped, and against
  // stopping work because the capacity shrank.
  WorkflowCluster cluster(3, 1, 1);
  cluster.SetQueueConfiguration(1);
  cluster.agents[0]->worker.duration = Millis(3'000);
  cluster.Run(Millis(1'000));
  cluster.Submit(MakeChain(5, {2}));
  cluster.Submit(MakeChain(6, {2}));
  cluster.Run(Millis(500));
  REQUIRE(cluster.agents[0]->worker.running_count() == 4);
  cluster.SetCapacity(0, kThreeTasks);
  cluster.Run(Millis(30));
  cluster.Submit(MakeChain(7, {4}));
  cluster.Run(Millis(500));
  CHECK(cluster.agents[0]->worker.running_count() == 4);
  cluster.Cancel(5);
  cluster.Run(Millis(1'000));
  CHECK(cluster.agents[0]->worker.running_count() == 3);
  cluster.Run(Millis(12'000));
  CHECK(cluster.PhaseOf(6) == WorkflowPhase::kCompleted);
  CHECK(cluster.PhaseOf(7) == WorkflowPhase::kCompleted);
  CHECK(cluster.FindViolation().empty());
  CHECK(RanAtFirstAttempt(cluster));
}

TEST_CASE("Pending work starts as soon as a worker announces more capacity") {
  // Guards against a worker that registered with little capacity and stays
  // unused, and against a delay until the next periodic report.
  WorkflowCluster cluster(3, 1, 1);
  cluster.SetQueueConfiguration(1);
  cluster.agents[0]->worker.never_completes = true;
  cluster.SetCapacity(0, {1'000, 4'096, 0});
  cluster.agents[0]->worker.Restart();
  cluster.Run(Millis(2'000));
  cluster.Submit(MakeChain(7, {4}));
  cluster.Run(Millis(1'000));
  CHECK(cluster.agents[0]->worker.running_count() == 1);
  cluster.SetCapacity(0, kFullCapacity);
  cluster.Run(Millis(50));
  CHECK(cluster.agents[0]->worker.running_count() == 4);
  CHECK(cluster.FindViolation().empty());
}

TEST_CASE("A start that arrives after the capacity shrank is refused") {
  // Guards against starts that control sent before it learned of the smaller
  // capacity. A start may have a duplicate of an earlier agent process for some
  // seconds after the agent's start, and is refused in another way until then.
  const Millis age = GENERATE(Millis(1'000), Millis(14'000));
  const Resources capacity = GENERATE(kHalfCapacity, kLittleMemory);
  WorkflowCluster cluster(3, 1, 1);
  cluster.SetQueueConfiguration(1);
  cluster.Run(age);
  cluster.network.SetLinkDelay("control0", "agent0", Millis(300));
  cluster.Submit(MakeChain(7, {4}));
  cluster.Run(Millis(150));
  REQUIRE(cluster.agents[0]->worker.start_calls() == 0);
  cluster.SetCapacity(0, capacity);
  cluster.Run(Millis(400));
  CHECK(cluster.agents[0]->worker.start_calls() == 2);
  cluster.network.SetLinkDelay("control0", "agent0", Millis(1));
  cluster.Run(Millis(5'000));
  CHECK(cluster.FindViolation().empty());
  CHECK(cluster.PhaseOf(7) == WorkflowPhase::kCompleted);
}

TEST_CASE("A new leader places by the reported capacity") {
  // Guards against a leader that uses the registered capacity because the
  // change was reported to its predecessor.
  WorkflowCluster cluster(3, 1, 1);
  cluster.SetQueueConfiguration(1);
  cluster.Run(Millis(1'000));
  cluster.SetCapacity(0, kHalfCapacity);
  cluster.Run(Millis(1'000));
  cluster.CrashMember(0);
  cluster.ChangeLeader(1);
  cluster.Submit(MakeChain(7, {8}));
  cluster.Run(Millis(6'000));
  CHECK(cluster.FindViolation().empty());
  CHECK(cluster.PhaseOf(7) == WorkflowPhase::kCompleted);
  CHECK(RanAtFirstAttempt(cluster));
}

TEST_CASE("A capacity that shrinks while the agent is down is observed") {
  // Guards against an agent that reports or checks the capacity of before its
  // restart.
  WorkflowCluster cluster(3, 1, 1);
  cluster.SetQueueConfiguration(1);
  cluster.agents[0]->worker.duration = Millis(2'000);
  cluster.Run(Millis(1'000));
  cluster.Submit(MakeChain(5, {3}));
  cluster.Run(Millis(300));
  REQUIRE(cluster.agents[0]->worker.running_count() == 3);
  cluster.CrashAgent(0);
  cluster.agents[0]->capacity = kHalfCapacity;
  cluster.Run(Millis(200));
  cluster.StartAgent(0);
  cluster.Submit(MakeChain(7, {4}));
  cluster.Run(Millis(10'000));
  CHECK(cluster.FindViolation().empty());
  CHECK(cluster.PhaseOf(5) == WorkflowPhase::kCompleted);
  CHECK(cluster.PhaseOf(7) == WorkflowPhase::kCompleted);
}

TEST_CASE("A restarted agent counts runs that an earlier process started") {
  // Control assigns a run while the agent is down. Its task sorts before those
  // of the active runs, so that the agent receives its start instruction before
  // it learns how large the runs are that it finds on the worker.
  WorkflowCluster cluster(3, 1, 1);
  cluster.SetQueueConfiguration(1);
  cluster.agents[0]->worker.duration = Millis(3'000);
  cluster.Run(Millis(1'000));
  cluster.Submit(MakeChain(7, {3}));
  cluster.Run(Millis(300));
  REQUIRE(cluster.agents[0]->worker.running_count() == 3);
  cluster.CrashAgent(0);
  cluster.Submit(MakeChain(5, {1}));
  cluster.Run(Millis(100));
  cluster.agents[0]->capacity = kThreeTasks;
  cluster.StartAgent(0);
  cluster.Run(Millis(1'000));
  CHECK(cluster.agents[0]->worker.running_count() == 3);
  cluster.Run(Millis(8'000));
  CHECK(cluster.FindViolation().empty());
  CHECK(cluster.PhaseOf(5) == WorkflowPhase::kCompleted);
  CHECK(cluster.PhaseOf(7) == WorkflowPhase::kCompleted);
}

}  // namespace fulmarrock::test
