#include <numeric>
#include <utility>

#include <catch2/catch.hpp>

#include "source/agent/capacity_check.h"
#include "source/control/worker_link.h"
#include "source/workflow/step_ordering.h"
#include "source/workflow/worker_health.h"
#include "source/workflow/workflow_scheduler.h"
#include "source/workflow/workflow_state.h"
#include "tests/interactive/recording_transport.h"
#include "tests/support/workflow_cluster.h"

namespace fulmarrock::test {
namespace {

constexpr Millis kNow{1'000'000};

WorkerReport MakeReport(std::vector<uint64_t> sequences, uint64_t stored) {
  WorkerReport report;
  report.agent_incarnation = 5;
  report.worker_incarnation = {"w", 1};
  report.stored_sequence = stored;
  for (const uint64_t sequence : sequences) {
    RunEvent event;
    event.sequence = sequence;
    report.events.push_back(std::move(event));
  }
  return report;
}

/// Returns commands after which the first of two tasks of workflow 7 is active
/// on worker 1, beside the agent "agent".
WorkflowBatch MakeAssignedWorkflow(RunNumber run) {
  WorkflowBatch batch;
  ConfigureQueues queues;
  queues.queue_configuration.version = 1;
  queues.queue_configuration.queues.resize(1);
  batch.configurations.push_back(std::move(queues));
  batch.workers.push_back({"agent", {"w", 1}, {}, {}});
  batch.submissions.push_back({0, "", "", MakeChain(7, {2})});
  batch.assignments.push_back({{7, 0, 0, 0}, run, 1});
  return batch;
}

}  // namespace

// An agent discards every event up to the last stored one. Events after a gap
// must not be stored before the missing ones, which would be lost otherwise.
TEST_CASE("Events after a gap in the sequence are not stored before the gap") {
  const WorkflowState state;
  WorkerLink link("agent", state);
  const WorkerReport gap = MakeReport({3, 4}, 1);
  link.OnReport(gap, 1, kNow);
  CHECK(link.TakeEvents(gap).empty());
  const WorkerReport whole = MakeReport({2, 3, 4}, 1);
  link.OnReport(whole, 1, kNow);
  CHECK(link.TakeEvents(whole).size() == 3);
  CHECK(link.TakeEvents(whole).empty());
}

// Guards against an agent that discards the end of a run which is not stored,
// because a later event was stored.
TEST_CASE("Events after a lost one are not acknowledged before it") {
  const WorkflowState state;
  WorkerLink link("agent", state);
  const WorkerReport report = MakeReport({1, 2}, 0);
  link.OnReport(report, 1, kNow);
  REQUIRE(link.TakeEvents(report).size() == 2);
  link.OnStored({"agent", report.agent_incarnation, 2, 2});
  CHECK(link.TakeInstructions(1, Millis(0), kNow).stored_sequence == 0);
  CHECK(link.TakeEvents(report).size() == 2);
  link.OnStored({"agent", report.agent_incarnation, 1, 2});
  CHECK(link.TakeInstructions(1, Millis(0), kNow).stored_sequence == 2);
}

// Guards against completed tasks that run again: a worker's runs were released
// when only the first 500 of their ends were stored.
TEST_CASE("Events beyond the limit of one command are known as not proposed") {
  const WorkflowState state;
  WorkerLink link("agent", state);
  std::vector<uint64_t> sequences(501);
  std::iota(sequences.begin(), sequences.end(), uint64_t{1});
  const WorkerReport report = MakeReport(sequences, 0);
  link.OnReport(report, 1, kNow);
  CHECK(link.TakeEvents(report).size() == 500);
  CHECK(link.HasUnproposedEvents());
  CHECK(link.TakeEvents(report).size() == 1);
  CHECK_FALSE(link.HasUnproposedEvents());
}

// Guards against a run that continues on a worker while its task runs
// elsewhere, because the only instruction to stop it was lost.
TEST_CASE("A run that control does not know is stopped until it is gone") {
  const WorkflowState state;
  WorkerLink link("agent", state);
  WorkerReport report = MakeReport({}, 0);
  report.is_full_report = true;
  report.listed_runs = {{{7, 0, 0, 0}, 1}};
  for (int i = 0; i < 2; ++i) {
    link.OnReport(report, 1, kNow);
    const WorkerInstructions instructions =
        link.TakeInstructions(1, Millis(0), kNow);
    CHECK(instructions.stops.size() == 1);
    CHECK(instructions.needs_full_report);
  }
  report.listed_runs.clear();
  link.OnReport(report, 1, kNow);
  CHECK_FALSE(link.TakeInstructions(1, Millis(0), kNow).needs_full_report);
}

TEST_CASE(
    "A worker that fails several workflows in a row is quarantined and "
    "probed with one run") {
  WorkerHealth health;
  health.OnFailure(1, {1, 0, 0, 0}, kNow);
  CHECK(health.IsUsable(1, kNow));
  CHECK_FALSE(health.IsHealthy(1));
  health.OnFailure(1, {2, 0, 0, 0}, kNow);
  CHECK_FALSE(health.IsUsable(1, kNow));
  const Millis later = kNow + Millis(2'000);
  REQUIRE(health.IsUsable(1, later));
  health.OnAssigned(1, {3, 0, 0, 0}, false, later);
  CHECK_FALSE(health.IsUsable(1, later));
  health.OnSuccess(1, later);
  CHECK(health.IsHealthy(1));
}

// Guards against a worker that stays in quarantine for as long as a healthy
// long-running task runs there, because such a task never completes.
TEST_CASE("A long-running task that runs for a while ends a quarantine") {
  WorkerHealth health;
  health.OnFailure(1, {1, 0, 0, 0}, kNow);
  health.OnFailure(1, {2, 0, 0, 0}, kNow);
  const Millis begin = kNow + Millis(2'000);
  health.OnAssigned(1, {3, 0, 0, 0}, true, begin);
  health.EndLongProbes(begin + Millis(1'000));
  CHECK_FALSE(health.IsUsable(1, begin + Millis(1'000)));
  health.EndLongProbes(begin + Millis(2'000));
  CHECK(health.IsUsable(1, begin + Millis(2'000)));
  CHECK_FALSE(health.IsQuarantined(1));
}

// Guards against an agent's restart that takes the probe of a worker with it
// and leaves the worker in quarantine for good.
TEST_CASE("A probe that was released makes room for another one") {
  WorkflowCluster cluster(1, 1, 1);
  cluster.SetQueueConfiguration(1);
  cluster.Submit(MakeChain(3, {1}));
  const WorkflowState& state = cluster.state();
  REQUIRE(state.Find(3) != nullptr);
  const ArrivalOrdering ordering;
  const FirstFitRunPlacement placement;
  WorkflowScheduler scheduler(state, ordering, placement);
  WorkflowEffects failures;
  for (const WorkflowKey key : {1, 2})
    failures.runs.push_back(
        {RunChange::Kind::kEnded, {key, 0, 0, 0}, 1, 1, RunOutcome::kFailed});
  scheduler.OnEffects(failures, kNow);
  CHECK_FALSE(scheduler.health().IsUsable(1, kNow));
  const Millis later = kNow + Millis(2'000);
  WorkflowEffects assigned;
  assigned.runs.push_back(
      {RunChange::Kind::kAssigned, {3, 0, 0, 0}, 1, 1, RunOutcome::kDone});
  scheduler.OnEffects(assigned, later);
  CHECK_FALSE(scheduler.health().IsUsable(1, later));
  WorkflowEffects released;
  released.runs.push_back(
      {RunChange::Kind::kReleased, {3, 0, 0, 0}, 1, 1, RunOutcome::kDone});
  scheduler.OnEffects(released, later);
  CHECK(scheduler.health().IsUsable(1, later));
}

TEST_CASE("A workflow that fails on all workers quarantines none of them") {
  WorkerHealth health;
  for (WorkerNumber worker = 1; worker <= 5; ++worker) {
    for (uint32_t i = 0; i < 3; ++i)
      health.OnFailure(worker, {9, 0, 0, i}, kNow);
  }
  for (WorkerNumber worker = 1; worker <= 5; ++worker)
    CHECK(health.IsUsable(worker, kNow));
}

TEST_CASE("Late work is placed after work that can still meet its objective") {
  QueueSettings queue;
  queue.slack_factor = 2.0;
  queue.target_duration = Millis(500);
  WorkflowRecord late;
  late.spec = MakeChain(1, {1});
  late.spec.steps[0].estimate = Millis(2'000);
  late.occurrences.resize(1);
  late.occurrences[0].steps.resize(1);
  late.occurrences[0].steps[0].tasks.resize(1);
  WorkflowRecord fresh = late;
  fresh.spec.key = 2;
  std::vector<ReadyStep> steps = {{&late, &queue, 0, 0, kNow - Millis(6'000)},
                                  {&fresh, &queue, 0, 0, kNow}};
  std::vector<ReadyStep> by_arrival = steps;
  ObjectiveOrdering().Sort(steps, kNow);
  ArrivalOrdering().Sort(by_arrival, kNow);
  CHECK(steps[0].workflow->spec.key == 2);
  CHECK(by_arrival[0].workflow->spec.key == 1);
}

TEST_CASE("A workflow with an invalid specification is refused") {
  WorkflowSpec spec = MakeChain(1, {1, 1});
  CHECK(ValidateWorkflow(spec));
  spec.steps[0].depends_on = {1};
  CHECK_FALSE(ValidateWorkflow(spec));
  spec = MakeChain(1, {1});
  spec.steps[0].depends_on = {4};
  CHECK_FALSE(ValidateWorkflow(spec));
  spec.steps.clear();
  CHECK_FALSE(ValidateWorkflow(spec));
}

TEST_CASE("A state restored from a snapshot has the same workflows and runs") {
  WorkflowCluster cluster(1, 2, 3);
  cluster.SetQueueConfiguration(1);
  for (auto& agent : cluster.agents)
    agent->worker.duration = Millis(3'000);
  cluster.Run(Millis(1'000));
  cluster.Submit(MakeChain(7, {4, 2}));
  cluster.Run(Millis(1'000));
  WorkflowState restored;
  restored.Restore(cluster.state().Save());
  CHECK(restored.open() == cluster.state().open());
  for (const auto& [number, worker] : cluster.state().workers())
    CHECK(restored.RunsOf(number) == cluster.state().RunsOf(number));
  CHECK(restored.queue_configuration().version == 1);
  CHECK(restored.Find(7)->active == 4);
}

// Guards against a state dump that ends the process because a malformed message
// brought a name that is not valid UTF-8.
TEST_CASE("Malformed names do not break the state dumps") {
  WorkflowCluster cluster(1, 1, 1);
  cluster.gateway->OnMessage("control0", GroupView{"\xff", {"\xc3("}});
  CHECK_FALSE(cluster.gateway->DumpState().empty());
  cluster.agents[0]->runner->OnMessage("control0",
                                       GroupView{"\xff", {"\xc3("}});
  CHECK_FALSE(cluster.agents[0]->runner->DumpState().empty());
  WorkerReport report = MakeReport({}, 0);
  report.worker_incarnation = {"worker-\xff", 1};
  cluster.leader().OnMessage("agent-\xff", report);
  cluster.Run(Millis(1'000));
  CHECK_FALSE(cluster.leader().DumpState().empty());
}

// Guards against a caller that is told that its call was certainly not stored,
// because a duplicated reply hid an attempt that got no reply.
TEST_CASE("A reply that arrives twice counts for one attempt") {
  ManualClock clock;
  RecordingTransport transport;
  SeededRandom random(1);
  NullDecisionLog decisions;
  WorkflowGatewayOptions options;
  options.id = "entry";
  options.control_members = {"a", "b"};
  WorkflowGateway gateway(options, clock, transport, random, decisions);
  std::optional<CallResult> result;
  gateway.Call(WorkflowCall(), Millis(5'000),
               [&](const CallResult& reply) { result = reply; });
  // The first attempt gets no reply, and may be stored. All others get one,
  // and that to the second one arrives twice.
  transport.sent.clear();
  for (int i = 0; i < 60 && !result; ++i) {
    clock.Advance(Millis(100));
    gateway.OnTick();
    for (const auto& [member, call] : transport.Take<WorkflowCall>()) {
      WorkflowReply reply;
      reply.call = call.call;
      reply.attempt = call.attempt;
      reply.kind = WorkflowReplyKind::kNotLeader;
      gateway.OnMessage(member, reply);
      if (call.attempt == 2)
        gateway.OnMessage(member, reply);
    }
  }
  REQUIRE(result);
  CHECK(result->outcome == CallOutcome::kUnknownResult);
}

// Guards against best-effort tasks that are placed by latencies which tasks of
// an earlier worker incarnation had.
TEST_CASE("Samples of an earlier worker incarnation are discarded") {
  const WorkflowState state;
  WorkerLink link("agent", state);
  WorkerReport report = MakeReport({}, 0);
  report.has_samples = true;
  report.latency_critical_samples.resize(1);
  report.best_effort_samples.resize(1);
  link.OnReport(report, 1, kNow);
  REQUIRE(link.latency_critical_samples().size() == 1);
  WorkerReport next = MakeReport({}, 0);
  next.worker_incarnation = {"w2", 2};
  link.OnReport(next, 2, kNow);
  CHECK(link.latency_critical_samples().empty());
  CHECK(link.best_effort_samples().empty());
}

// Guards against an agent that never learns the resources of a run that it
// found on its worker, because the first message with them was lost, and
// therefore starts nothing any more.
TEST_CASE("An agent that lacks a start instruction gets it again") {
  WorkflowState state;
  state.Apply(MakeAssignedWorkflow(1), kNow);
  WorkerLink link("agent", state);
  WorkerReport report = MakeReport({}, 0);
  report.is_full_report = true;
  report.listed_runs = {{{7, 0, 0, 0}, 1}, {{7, 0, 0, 1}, 1}};
  link.OnReport(report, 1, kNow);
  link.TakeInstructions(1, Millis(0), kNow);
  // The instructions were lost, and another full report lists the runs again.
  link.OnReport(report, 1, kNow);
  REQUIRE(link.TakeInstructions(1, Millis(0), kNow).starts.empty());
  report.is_full_report = false;
  report.runs_without_instruction = std::exchange(report.listed_runs, {});
  link.OnReport(report, 1, kNow);
  const WorkerInstructions instructions =
      link.TakeInstructions(1, Millis(0), kNow);
  REQUIRE(instructions.starts.size() == 1);
  CHECK(instructions.starts[0].task.index == 0);
  CHECK(instructions.starts[0].memory_mib == 256);
  // Control does not know the other run.
  REQUIRE(instructions.stops.size() == 1);
  CHECK(instructions.stops[0].task.index == 1);
}

// Guards against a run that never starts: an agent that does not know that the
// end of an earlier run is stored repeats it to a new leader, which took it for
// the end of the active run. Found by the random test with RapidCheck seed 202.
TEST_CASE("The end of an earlier run does not replace the start of a run") {
  WorkflowState state;
  state.Apply(MakeAssignedWorkflow(2), kNow);
  WorkerLink link("agent", state);
  WorkerReport report = MakeReport({1}, 0);
  report.is_full_report = true;
  report.events[0].task = {7, 0, 0, 0};
  report.events[0].run = 1;
  link.OnReport(report, 1, kNow);
  CHECK(link.TakeInstructions(1, Millis(0), kNow).starts.size() == 1);
}

// Guards against an agent that starts other runs before it learns of one that
// its earlier process may have started. An agent ignores start instructions
// until it has polled its worker. Found by the random test with RapidCheck seed
// 404.
TEST_CASE("The first full report of an agent process gets all starts at once") {
  WorkflowState state;
  state.Apply(MakeAssignedWorkflow(1), kNow);
  WorkerLink link("agent", state);
  WorkerReport report = MakeReport({}, 0);
  link.OnReport(report, 1, kNow);
  link.AddStart({7, 0, 0, 0}, 1);
  REQUIRE(link.TakeInstructions(1, Millis(0), kNow).starts.size() == 1);
  report.agent_incarnation = 6;
  report.is_full_report = true;
  link.OnReport(report, 1, kNow + Millis(20));
  CHECK(link.TakeInstructions(1, Millis(0), kNow + Millis(20)).starts.size() ==
        1);
}

// Guards against a start beside runs that may still execute, and against a
// best-effort task whose CPU counts.
TEST_CASE("All runs count against the capacity, whatever their stage") {
  StartInstruction start;
  start.cpu_millicores = 1'000;
  start.memory_mib = 256;
  LocalRuns runs;
  for (const RunStage stage :
       {RunStage::kStarting, RunStage::kUnconfirmed, RunStage::kRunning,
        RunStage::kStopping, RunStage::kStopped}) {
    LocalRun& local = runs[{7, 0, 0, static_cast<uint32_t>(stage)}];
    local.stage = stage;
    local.instruction = start;
    local.has_instruction = true;
  }
  CHECK(CheckCapacity(start, runs, {6'000, 1'536, 0}) == CapacityFit::kFits);
  CHECK(CheckCapacity(start, runs, {5'999, 1'536, 0}) == CapacityFit::kExceeds);
  CHECK(CheckCapacity(start, runs, {6'000, 1'535, 0}) == CapacityFit::kExceeds);
  start.is_best_effort = true;
  CHECK(CheckCapacity(start, runs, {5'000, 1'536, 0}) == CapacityFit::kFits);
  CHECK(CheckCapacity(start, runs, {5'000, 1'535, 0}) == CapacityFit::kExceeds);
  start.accelerators = 1;
  CHECK(CheckCapacity(start, runs, {9'000, 9'000, 0}) == CapacityFit::kExceeds);
}

// Guards against a start beside a run of an earlier agent process that counts
// nothing, and against a stop instruction that blocks all starts.
TEST_CASE("A run of unknown resources blocks starts only while it is listed") {
  LocalRuns runs;
  LocalRun& found = runs[{7, 0, 0, 0}];
  found.run = 3;
  const Resources capacity{4'000, 4'096, 0};
  const StartInstruction start;
  CHECK(CheckCapacity(start, runs, capacity) == CapacityFit::kFits);
  CHECK(FindRunsWithoutInstruction(runs).empty());
  found.is_listed = true;
  CHECK(CheckCapacity(start, runs, capacity) == CapacityFit::kUnknown);
  REQUIRE(FindRunsWithoutInstruction(runs).size() == 1);
  CHECK(FindRunsWithoutInstruction(runs)[0].run == 3);
  found.has_instruction = true;
  CHECK(CheckCapacity(start, runs, capacity) == CapacityFit::kFits);
}

}  // namespace fulmarrock::test
