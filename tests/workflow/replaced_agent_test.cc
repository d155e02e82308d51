#include <catch2/catch.hpp>

#include "tests/support/workflow_cluster.h"

// Reports of an agent process that arrive after those of its successor, or
// after later ones of its own.

namespace fulmarrock::test {
namespace {

constexpr Incarnation kEarlierProcess = 77;

/// A report of an earlier process of the first agent.
WorkerReport MakeReport(const WorkflowCluster& cluster, bool all_runs_ended) {
  WorkerReport report;
  report.agent_incarnation = kEarlierProcess;
  report.sent_at = cluster.clock.Now();
  report.worker_incarnation = cluster.agents[0]->worker.worker_incarnation;
  report.attributes.service = "svc";
  report.attributes.cpu_millicores = 4'000;
  report.attributes.memory_mib = 4'096;
  report.is_accepting_runs = !all_runs_ended;
  report.all_runs_ended = all_runs_ended;
  return report;
}

}  // namespace

// Guards against tasks that run twice at a time: the last report of an agent
// process, that all runs have ended, was delayed and arrived after its
// successor had found them active.
TEST_CASE("A late report of a replaced agent process releases no runs") {
  WorkflowCluster cluster(1, 2, 1);
  cluster.SetQueueConfiguration(1);
  for (auto& agent : cluster.agents)
    agent->worker.duration = Millis(6'000);
  cluster.Run(Millis(1'000));
  Transport& transport = cluster.network.TransportOf("agent0");
  cluster.CrashAgent(0);
  transport.Send("control0", MakeReport(cluster, false));
  cluster.Run(Millis(50));
  const WorkerReport late = MakeReport(cluster, true);
  cluster.StartAgent(0);
  cluster.Run(Millis(1'000));
  cluster.Submit(MakeChain(7, {6}));
  cluster.Run(Millis(1'000));
  REQUIRE(cluster.agents[0]->worker.running_count() > 0);
  cluster.SetCapacity(1, {16'000, 16'384, 0});
  cluster.Run(Millis(200));
  transport.Send("control0", late);
  cluster.Run(Millis(15'000));
  CHECK(cluster.PhaseOf(7) == WorkflowPhase::kCompleted);
  CHECK(cluster.Executions().size() == 6);
  CHECK(cluster.FindViolation().empty());
}

// Guards against the same when the agent's worker has responded again since:
// the report was held up in a connection that was replaced.
TEST_CASE("A late report of the current agent process releases no runs") {
  WorkflowCluster cluster(1, 2, 1);
  cluster.SetQueueConfiguration(1);
  for (auto& agent : cluster.agents)
    agent->worker.duration = Millis(6'000);
  WorkerReport late;
  cluster.network.SetTap(
      [&](const NodeId& from, const NodeId&, const Message& message) {
        const auto* report = std::get_if<WorkerReport>(&message);
        if (report && from == "agent0")
          late = *report;
      });
  cluster.Run(Millis(1'000));
  cluster.network.SetTap(nullptr);
  late.all_runs_ended = true;
  late.is_accepting_runs = false;
  cluster.Submit(MakeChain(7, {6}));
  cluster.Run(Millis(1'000));
  REQUIRE(cluster.agents[0]->worker.running_count() > 0);
  cluster.SetCapacity(1, {16'000, 16'384, 0});
  cluster.Run(Millis(200));
  cluster.network.TransportOf("agent0").Send("control0", late);
  cluster.Run(Millis(15'000));
  CHECK(cluster.PhaseOf(7) == WorkflowPhase::kCompleted);
  CHECK(cluster.Executions().size() == 6);
  CHECK(cluster.FindViolation().empty());
}

// Guards against a current agent process whose reports are ignored because one
// of its predecessor arrived between them.
TEST_CASE("An agent process counts as current again after a late report") {
  const WorkflowState state;
  WorkerLink link("agent", state);
  WorkerReport current;
  current.agent_incarnation = 1;
  current.sent_at = Millis(1'000);
  WorkerReport late;
  late.agent_incarnation = 2;
  late.sent_at = Millis(900);
  link.OnReport(current, 1, Millis(1'000));
  link.OnReport(late, 1, Millis(1'001));
  current.sent_at = Millis(1'500);
  CHECK_FALSE(link.IsFromReplacedProcess(current));
  link.OnReport(current, 1, Millis(1'500));
  CHECK(link.IsFromReplacedProcess(late));
}

}  // namespace fulmarrock::test
