#include <map>

#include <catch2/catch.hpp>

#include "tests/support/workflow_cluster.h"

// The whole path of workflows without a network: an entry, control members,
// agents and workers. Each case names the failure it guards against.

namespace fulmarrock::test {
namespace {

using Mode = FakeRunWorker::Mode;

size_t CountCompleted(const WorkflowCluster& cluster, WorkflowKey key) {
  size_t count = 0;
  for (const Execution& execution : cluster.Executions()) {
    count += execution.task.workflow == key && execution.is_over &&
             execution.kind == RunOutcome::kDone;
  }
  return count;
}

}  // namespace

TEST_CASE("Steps run in the order of their dependencies, each task once") {
  WorkflowCluster cluster(3, 3, 1);
  cluster.SetQueueConfiguration(1);
  cluster.Run(Millis(1'000));
  REQUIRE(cluster.Submit(MakeChain(7, {4, 6, 1})).reply.kind ==
          WorkflowReplyKind::kAccepted);
  cluster.Run(Millis(3'000));
  CHECK(cluster.PhaseOf(7) == WorkflowPhase::kCompleted);
  CHECK(CountCompleted(cluster, 7) == 11);
  CHECK(cluster.FindViolation().empty());
}

TEST_CASE("A repeated submission is the same workflow") {
  WorkflowCluster cluster(3, 2, 1);
  cluster.SetQueueConfiguration(1);
  cluster.Run(Millis(1'000));
  for (int i = 0; i < 3; ++i) {
    CHECK(cluster.Submit(MakeChain(7, {2})).reply.kind ==
          WorkflowReplyKind::kAccepted);
  }
  cluster.Run(Millis(2'000));
  CHECK(cluster.Submit(MakeChain(7, {2})).reply.kind ==
        WorkflowReplyKind::kAccepted);
  cluster.Run(Millis(2'000));
  CHECK(cluster.Executions().size() == 2);
}

TEST_CASE(
    "A start without an answer that is carried out late runs nowhere else "
    "at the same time") {
  WorkflowCluster cluster(3, 2, 1);
  cluster.SetQueueConfiguration(1);
  cluster.Run(Millis(1'000));
  cluster.agents[0]->worker.mode = Mode::kLate;
  cluster.agents[1]->worker.mode = Mode::kLate;
  cluster.Submit(MakeChain(7, {4}));
  cluster.Run(Millis(1'200));
  cluster.agents[0]->worker.mode = Mode::kNormal;
  cluster.agents[1]->worker.mode = Mode::kNormal;
  cluster.Run(Millis(8'000));
  CHECK(cluster.PhaseOf(7) == WorkflowPhase::kCompleted);
  CHECK(CountCompleted(cluster, 7) == 4);
  CHECK(cluster.FindViolation().empty());
}

TEST_CASE(
    "An end that only the old leader received is not lost behind later "
    "events") {
  WorkflowCluster cluster(3, 1, 1);
  cluster.SetQueueConfiguration(1);
  cluster.Run(Millis(1'000));
  cluster.Submit(MakeChain(7, {3}));
  // The ends reach the old leader, which can no longer store them.
  cluster.log.SetDelay(Millis(60'000));
  cluster.Run(Millis(700));
  cluster.log.SetDelay(Millis(2));
  cluster.ChangeLeader(1);
  cluster.Run(Millis(4'000));
  CHECK(cluster.PhaseOf(7) == WorkflowPhase::kCompleted);
  CHECK(cluster.Executions().size() == 3);
  CHECK(cluster.FindViolation().empty());
}

TEST_CASE("Runs survive a change of leader and are known to the new one") {
  WorkflowCluster cluster(3, 2, 1);
  cluster.SetQueueConfiguration(1);
  for (auto& agent : cluster.agents)
    agent->worker.duration = Millis(4'000);
  cluster.Run(Millis(1'000));
  cluster.Submit(MakeChain(7, {6}));
  cluster.Run(Millis(1'000));
  cluster.CrashMember(0);
  cluster.Run(Millis(1'000));
  cluster.ChangeLeader(1);
  cluster.Run(Millis(6'000));
  CHECK(cluster.PhaseOf(7) == WorkflowPhase::kCompleted);
  CHECK(cluster.Executions().size() == 6);
  CHECK(cluster.FindViolation().empty());
}

TEST_CASE("A restarted agent takes over what runs and reports what ended") {
  WorkflowCluster cluster(3, 1, 1);
  cluster.SetQueueConfiguration(1);
  cluster.agents[0]->worker.duration = Millis(2'000);
  cluster.Run(Millis(1'000));
  cluster.Submit(MakeChain(7, {3}));
  cluster.Run(Millis(500));
  cluster.CrashAgent(0);
  cluster.Run(Millis(2'000));
  cluster.StartAgent(0);
  cluster.Run(Millis(3'000));
  CHECK(cluster.PhaseOf(7) == WorkflowPhase::kCompleted);
  CHECK(cluster.Executions().size() == 3);
  CHECK(cluster.FindViolation().empty());
}

TEST_CASE("Tasks of a worker that started again run elsewhere at once") {
  WorkflowCluster cluster(3, 2, 1);
  cluster.SetQueueConfiguration(1);
  for (auto& agent : cluster.agents)
    agent->worker.duration = Millis(3'000);
  cluster.Run(Millis(1'000));
  cluster.Submit(MakeChain(7, {8}));
  cluster.Run(Millis(500));
  cluster.agents[0]->worker.Restart();
  cluster.Run(Millis(9'000));
  CHECK(cluster.PhaseOf(7) == WorkflowPhase::kCompleted);
  CHECK(cluster.FindViolation().empty());
}

TEST_CASE(
    "A start that a new life carries out before it is known runs nowhere "
    "else") {
  // Found by the random test with seed 20261204.
  WorkflowCluster cluster(3, 2, 1);
  cluster.SetQueueConfiguration(1);
  cluster.Run(Millis(1'000));
  cluster.agents[0]->worker.Restart();
  cluster.agents[1]->worker.Restart();
  cluster.Submit(MakeChain(7, {8}));
  cluster.Run(Millis(8'000));
  CHECK(cluster.PhaseOf(7) == WorkflowPhase::kCompleted);
  CHECK(cluster.FindViolation().empty());
}

TEST_CASE(
    "A stop in a new life takes its time before the task runs elsewhere") {
  // Found by the fault soak with seed 1200: a worker answers a stop at once and
  // goes on with the run for a moment.
  WorkflowCluster cluster(3, 3, 1);
  cluster.SetQueueConfiguration(1);
  for (auto& agent : cluster.agents)
    agent->worker.duration = Millis(3'000);
  cluster.Run(Millis(1'000));
  cluster.agents[0]->worker.Restart();
  cluster.Submit(MakeChain(7, {8}));
  cluster.Run(Millis(12'000));
  CHECK(cluster.PhaseOf(7) == WorkflowPhase::kCompleted);
  CHECK(cluster.FindViolation().empty());
}

TEST_CASE(
    "What a new life completes before it is known counts, and runs once") {
  // Found by the fault soak with seed 1203: the look of an agent that did not
  // know the new life acknowledged the end of a run that it had never heard of.
  WorkflowCluster cluster(3, 3, 1);
  cluster.SetQueueConfiguration(1);
  for (auto& agent : cluster.agents)
    agent->worker.duration = Millis(100);
  cluster.Run(Millis(1'000));
  cluster.Submit(MakeChain(6, {12}));
  cluster.Run(Millis(2'000));
  REQUIRE(cluster.PhaseOf(6) == WorkflowPhase::kCompleted);
  cluster.agents[0]->worker.Restart();
  cluster.Submit(MakeChain(7, {8}));
  cluster.Run(Millis(6'000));
  CHECK(cluster.PhaseOf(7) == WorkflowPhase::kCompleted);
  std::map<TaskName, int> completions;
  for (const Execution& execution : cluster.Executions()) {
    if (execution.kind == RunOutcome::kDone && execution.is_over)
      ++completions[execution.task];
  }
  CHECK(completions.size() == 20);
  for (const auto& [task, count] : completions) {
    INFO(ToString(task));
    CHECK(count == 1);
  }
  CHECK(cluster.FindViolation().empty());
}

TEST_CASE("A start of an earlier agent process begins in no new life") {
  // Found by the random test with seed 4: the new process did not know of the
  // start, and control gave the task to another worker. The moments between the
  // restarts of worker and agent are tried in turn.
  const int wait = GENERATE(range(0, 600, 40));
  CAPTURE(wait);
  WorkflowCluster cluster(3, 2, 1);
  cluster.SetQueueConfiguration(1);
  cluster.Run(Millis(1'000));
  cluster.agents[0]->worker.mode = Mode::kLate;
  cluster.agents[0]->worker.Restart();
  cluster.Submit(MakeChain(7, {8}));
  cluster.Run(Millis(60 + wait));
  cluster.CrashAgent(0);
  cluster.Run(Millis(400));
  cluster.agents[0]->worker.mode = Mode::kNormal;
  cluster.StartAgent(0);
  cluster.Run(Millis(10'000));
  CHECK(cluster.PhaseOf(7) == WorkflowPhase::kCompleted);
  CHECK(cluster.FindViolation().empty());
}

TEST_CASE("Tasks of a worker that fell silent run elsewhere after its lease") {
  WorkflowCluster cluster(3, 2, 1);
  cluster.SetQueueConfiguration(1);
  for (auto& agent : cluster.agents)
    agent->worker.duration = Millis(2'000);
  cluster.Run(Millis(1'000));
  cluster.Submit(MakeChain(7, {8}));
  cluster.Run(Millis(500));
  cluster.agents[0]->worker.mode = Mode::kDown;
  cluster.Run(Millis(14'000));
  CHECK(cluster.PhaseOf(7) == WorkflowPhase::kCompleted);
  CHECK(cluster.FindViolation().empty());
}

TEST_CASE("A cut-off worker goes on within its lease and never beyond it") {
  WorkflowCluster cluster(3, 2, 1);
  cluster.SetQueueConfiguration(1);
  for (auto& agent : cluster.agents)
    agent->worker.duration = Millis(30'000);
  cluster.Run(Millis(1'000));
  cluster.Submit(MakeChain(7, {6}));
  cluster.Run(Millis(500));
  const size_t held = cluster.agents[0]->worker.running_count();
  REQUIRE(held > 0);
  cluster.network.Isolate("agent0");
  cluster.Run(Millis(5'000));
  CHECK(cluster.agents[0]->worker.running_count() == held);
  cluster.Run(Millis(6'000));
  CHECK(cluster.agents[0]->worker.running_count() == 0);
  cluster.network.HealAll();
  cluster.Run(Millis(40'000));
  CHECK(cluster.PhaseOf(7) == WorkflowPhase::kCompleted);
  CHECK(cluster.FindViolation().empty());
}

TEST_CASE("Nothing of a cancelled workflow starts or goes on") {
  WorkflowCluster cluster(3, 2, 1);
  cluster.SetQueueConfiguration(1);
  for (auto& agent : cluster.agents)
    agent->worker.duration = Millis(5'000);
  cluster.Run(Millis(1'000));
  cluster.Submit(MakeChain(7, {20}));
  cluster.Run(Millis(500));
  CHECK(cluster.Cancel(7).reply.kind == WorkflowReplyKind::kCancelled);
  cluster.Run(Millis(300));
  for (const auto& agent : cluster.agents)
    CHECK(agent->worker.running_count() == 0);
  const size_t count = cluster.Executions().size();
  cluster.Run(Millis(6'000));
  CHECK(cluster.Executions().size() == count);
  CHECK(cluster.PhaseOf(7) == WorkflowPhase::kCancelled);
}

TEST_CASE("A cancellation right after an election stops what runs") {
  // Found on a hunted day: brindle-fulmar, mix --seed 608173383914.
  WorkflowCluster cluster(3, 2, 1);
  cluster.SetQueueConfiguration(1);
  for (auto& agent : cluster.agents)
    agent->worker.duration = Millis(9'000);
  cluster.Run(Millis(1'000));
  cluster.Submit(MakeChain(7, {6}));
  cluster.Run(Millis(500));
  cluster.network.SetLinkDelay("agent0", "control1", Millis(1'000));
  cluster.ChangeLeader(1);
  CHECK(cluster.Cancel(7).reply.kind == WorkflowReplyKind::kCancelled);
  cluster.Run(Millis(3'000));
  for (const auto& agent : cluster.agents)
    CHECK(agent->worker.running_count() == 0);
}

TEST_CASE("A submission that arrives after its cancellation does not run") {
  WorkflowCluster cluster(3, 1, 1);
  cluster.SetQueueConfiguration(1);
  cluster.Run(Millis(1'000));
  CHECK(cluster.Cancel(7).reply.kind == WorkflowReplyKind::kWorkflowNotFound);
  cluster.Submit(MakeChain(7, {2}));
  cluster.Run(Millis(2'000));
  CHECK(cluster.Executions().empty());
}

TEST_CASE("A worker that fails everything does not use up a task's attempts") {
  WorkflowCluster cluster(3, 3, 1);
  cluster.SetQueueConfiguration(1, 2);
  cluster.Run(Millis(1'000));
  cluster.agents[1]->worker.mode = Mode::kFailing;
  for (WorkflowKey key = 1; key <= 8; ++key)
    cluster.Submit(MakeChain(key, {2}));
  cluster.Run(Millis(6'000));
  for (WorkflowKey key = 1; key <= 8; ++key)
    CHECK(cluster.PhaseOf(key) == WorkflowPhase::kCompleted);
  CHECK(cluster.FindViolation().empty());
}

TEST_CASE("Tasks that make no progress move to another worker") {
  WorkflowCluster cluster(3, 2, 1);
  cluster.SetQueueConfiguration(1);
  cluster.Run(Millis(1'000));
  cluster.agents[0]->worker.mode = Mode::kHanging;
  cluster.Submit(MakeChain(7, {8}));
  cluster.Run(Millis(8'000));
  CHECK(cluster.PhaseOf(7) == WorkflowPhase::kCompleted);
  CHECK(cluster.FindViolation().empty());
}

TEST_CASE("A lasting task that failed starts again where there is room") {
  // Found on a hunted day: brindle-fulmar, trouble-1 --seed 428538760709.
  WorkflowCluster cluster(3, 2, 1);
  cluster.SetQueueConfiguration(1);
  for (auto& agent : cluster.agents)
    agent->worker.runs_for_ever = true;
  cluster.Run(Millis(1'000));
  WorkflowSpec spec = MakeChain(7, {8});
  spec.steps[0].is_long_running = true;
  cluster.Submit(spec);
  cluster.Run(Millis(1'000));
  cluster.agents[0]->worker.mode = Mode::kFailing;
  cluster.Run(Millis(50));
  cluster.agents[0]->worker.mode = Mode::kNormal;
  cluster.Run(Millis(6'000));
  CHECK(cluster.agents[0]->worker.running_count() == 4);
  CHECK(cluster.agents[1]->worker.running_count() == 4);
}

TEST_CASE("A task that always fails ends its workflow after its attempts") {
  WorkflowCluster cluster(3, 3, 1);
  cluster.SetQueueConfiguration(1, 3);
  cluster.Run(Millis(1'000));
  for (auto& agent : cluster.agents)
    agent->worker.mode = Mode::kFailing;
  cluster.Submit(MakeChain(7, {1}));
  cluster.Run(Millis(20'000));
  CHECK(cluster.PhaseOf(7) == WorkflowPhase::kFailed);
  CHECK(cluster.Executions().size() == 3);
}

TEST_CASE("A leaving worker gets no new work, and lasting tasks move away") {
  WorkflowCluster cluster(3, 2, 1);
  cluster.SetQueueConfiguration(1);
  for (auto& agent : cluster.agents)
    agent->worker.runs_for_ever = true;
  cluster.Run(Millis(1'000));
  WorkflowSpec spec = MakeChain(7, {3});
  spec.steps[0].is_long_running = true;
  cluster.Submit(spec);
  cluster.Run(Millis(1'000));
  const size_t leaving = cluster.agents[0]->worker.running_count() > 0 ? 0 : 1;
  cluster.agents[leaving]->is_draining = true;
  const size_t started = cluster.agents[leaving]->worker.start_calls();
  cluster.Run(Millis(3'000));
  CHECK(cluster.agents[leaving]->worker.running_count() == 0);
  CHECK(cluster.agents[leaving]->worker.start_calls() == started);
  CHECK(cluster.agents[1 - leaving]->worker.running_count() == 3);
  CHECK(cluster.FindViolation().empty());
}

TEST_CASE("A caller is answered while no member leads") {
  WorkflowCluster cluster(3, 1, 1);
  cluster.SetQueueConfiguration(1);
  cluster.Run(Millis(1'000));
  cluster.network.Isolate("entry");
  const CallResult answer = cluster.Submit(MakeChain(7, {1}));
  // The copies that were sent may arrive, so that the result is unknown.
  CHECK(answer.outcome == CallOutcome::kUnknownResult);
}

TEST_CASE(
    "Calls are refused with a time to come back before any queue exists") {
  WorkflowCluster cluster(3, 1, 1);
  cluster.Run(Millis(500));
  const CallResult answer = cluster.Submit(MakeChain(7, {1}));
  CHECK(answer.reply.kind == WorkflowReplyKind::kNotConfigured);
  CHECK(answer.retry_after > Millis(0));
  cluster.SetQueueConfiguration(1);
  cluster.Run(Millis(2'000));
  CHECK(cluster.Executions().empty());
}

TEST_CASE(
    "The first content of a version stays, and older ones change nothing") {
  WorkflowCluster cluster(3, 1, 1);
  cluster.SetQueueConfiguration(5, 2);
  cluster.SetQueueConfiguration(5, 9);
  cluster.SetQueueConfiguration(4, 8);
  CHECK(cluster.state().queue_configuration().version == 5);
  CHECK(cluster.state().queue_configuration().queues[0].max_attempts == 2);
}

}  // namespace fulmarrock::test
