#include <algorithm>
#include <cstdint>
#include <string>

#include "bench/benchmark.h"
#include "tests/support/scenario_cluster.h"

namespace fulmarrock::bench {
namespace {

using test::ScenarioCluster;

constexpr uint64_t kSeeds = 20;
constexpr Millis kTimeout = Millis::FromSeconds(60);
/// Time after which all grants that the killed leader sent have arrived.
constexpr Millis kGrantDelivery{50};
constexpr char kAgents[] = {'1', '2', '3', '4', '5', '6'};
constexpr uint32_t kTasks = 5000;

ApplyRequest MakeConfigurationRequest() {
  ApplyRequest request;
  request.operation_id = "lists";
  Plan plan;
  plan.name = "plan";
  plan.max_pending_tasks = 100'000;
  plan.quota = {1'000'000, 1'000'000, 0};
  request.configuration.plans = {plan};
  request.configuration.customers = {{"customer", "plan"}};
  return request;
}

SubmitRequest MakeJob() {
  SubmitRequest request;
  request.operation_id = "job";
  request.spec.name = "job";
  request.spec.customer = "customer";
  request.spec.task_count = kTasks;
  request.spec.resources = {1000, 1024, 0};
  request.spec.payload = "100";
  return request;
}

int CountStarts(ScenarioCluster& cluster) {
  int starts = 0;
  for (const char agent : kAgents) {
    for (const auto& [task, count] :
         cluster.WorkerOf(std::string("a") + agent).starts())
      starts += count;
  }
  return starts;
}

ControlMember& RunUntilLeader(ScenarioCluster& cluster) {
  while (!cluster.Leader())
    cluster.Advance(kTickInterval);
  return *cluster.Leader();
}

/// Returns the time from the kill of the leader to the first task that is
/// started by a grant of the next leader, or kTimeout.
Millis MeasureFailover(uint64_t seed, Millis delay) {
  ScenarioCluster cluster(seed);
  cluster.network().SetDelay(delay, Millis(1));
  cluster.StartControl({"c1", "c2", "c3"});
  for (const char agent : kAgents) {
    test::AgentDescription description;
    description.node = std::string("a") + agent;
    description.capacity = {16'000, 60'000, 0};
    cluster.StartAgent(description);
  }
  RunUntilLeader(cluster).role().ApplyConfiguration(MakeConfigurationRequest(),
                                                    [](auto) {});
  cluster.Advance(Millis(2000));
  RunUntilLeader(cluster).role().SubmitJob(MakeJob(), [](auto) {});
  cluster.Advance(Millis(1000 + static_cast<int64_t>(seed) * 10));
  const NodeId leader = RunUntilLeader(cluster).consensus().Leader();
  cluster.Kill(leader);
  const Millis killed_at = cluster.clock().Now();
  cluster.Advance(kGrantDelivery);
  const int starts = CountStarts(cluster);
  while (CountStarts(cluster) == starts &&
         cluster.clock().Now() < killed_at + kTimeout)
    cluster.Advance(kTickInterval);
  return cluster.clock().Now() - killed_at;
}

/// Messages take 1 to 2 ms, which covers the delays of both reference
/// deployments.
void BenchFailover() {
  Millis longest;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed)
    longest = std::max(longest, MeasureFailover(seed, Millis(1)));
  ReportFigure("failover_ms", static_cast<double>(longest.count()), "ms");
}

const BenchmarkRegistration kFailover("failover", BenchFailover);

}  // namespace
}  // namespace fulmarrock::bench
