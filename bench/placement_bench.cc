#include <algorithm>
#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "bench/benchmark.h"
#include "bench/unlimited_plan.h"
#include "source/base/seeded_random.h"
#include "source/placement/fair_scheduler.h"

namespace fulmarrock::bench {
namespace {

constexpr uint64_t kSeed = 20261204;
constexpr int kCustomers = 110;

/// A cluster of workers, a pool of job specifications and a scheduler.
class PlacementLoad {
 public:
  PlacementLoad(FairScheduler::PolicyFactory policies, size_t worker_count)
      : m_random(kSeed), m_scheduler(std::move(policies)) {
    Configuration configuration;
    for (int i = 0; i < kCustomers; ++i) {
      Plan plan;
      plan.name = "p" + std::to_string(1000 + i);
      plan.weight = 1 + i % 4;
      plan.quota = {Resources::kMaxAmount, Resources::kMaxAmount,
                    Resources::kMaxAmount};
      plan.allows_urgent = true;
      configuration.plans.push_back(plan);
      configuration.customers.push_back(
          {"c" + std::to_string(1000 + i), plan.name});
    }
    m_scheduler.SetConfiguration(configuration);
    for (size_t i = 0; i < worker_count; ++i)
      AddWorker(i, worker_count);
    MakeSpecs();
  }

  FairScheduler& scheduler() { return m_scheduler; }
  RandomSource& random() { return m_random; }
  const Resources& total() const { return m_total; }

  /// Enqueues a task of a random specification, as a job of its own.
  TaskId Submit(Millis now) {
    return Submit(m_specs[m_random.Below(m_specs.size())], now);
  }

  TaskId Submit(const JobSpec& spec, Millis now) {
    const TaskId task{++m_next_job, 0};
    m_scheduler.Enqueue({task, &spec, now});
    return task;
  }

  size_t Schedule(size_t limit, Millis now) {
    const std::vector<Placement> placements = m_scheduler.Schedule(limit, now);
    for (const Placement& placement : placements)
      m_running.push_back(placement.task);
    return placements.size();
  }

  /// Releases a random running task.
  void ReleaseOne() {
    const size_t chosen = m_random.Below(m_running.size());
    const TaskId task = m_running[chosen];
    m_running[chosen] = m_running.back();
    m_running.pop_back();
    m_scheduler.Release(task, AttemptResult::kCompleted,
                        Millis::FromSeconds(60));
  }

  size_t running_count() const { return m_running.size(); }

 private:
  void AddWorker(size_t index, size_t worker_count) {
    // Four data centres for small clusters and seven for large ones, three
    // workers per rack; one worker in five has eight accelerators.
    const size_t data_centres = worker_count < 100 ? 4 : 7;
    WorkerInfo info;
    info.node = "w" + std::to_string(index);
    info.data_centre = "d" + std::to_string(index % data_centres);
    info.rack = "r" + std::to_string(index / data_centres / 3);
    info.capacity = index % 2 == 0 ? Resources{16'000, 60'000, 0}
                                   : Resources{32'000, 125'000, 0};
    if (index % 5 == 0)
      info.capacity.accelerators = 8;
    m_total += info.capacity;
    m_scheduler.UpsertWorker(info);
  }

  void MakeSpecs() {
    constexpr int64_t kSizes[] = {250, 250, 500, 500, 500, 1'000, 1'000, 2'000};
    for (int i = 0; i < 400; ++i) {
      JobSpec& spec = m_specs.emplace_back();
      spec.name = "job" + std::to_string(i);
      spec.workload = "workload" + std::to_string(i % 60);
      spec.customer = "c" + std::to_string(1000 + i % kCustomers);
      spec.kind = i % 10 < 2   ? TaskKind::kKernel
                  : i % 10 < 3 ? TaskKind::kService
                               : TaskKind::kBatch;
      const int64_t cpu = kSizes[m_random.Below(std::size(kSizes))];
      const auto per_core = static_cast<int64_t>(1 + m_random.Below(5));
      spec.resources = {cpu, cpu * per_core, i % 40 == 39 ? 1 : 0};
      spec.task_count = i % 3 == 0 ? 20 : 1;
      spec.expected_runtime = Millis::FromSeconds(60);
      spec.can_checkpoint = true;
    }
  }

  SeededRandom m_random;
  FairScheduler m_scheduler;
  std::deque<JobSpec> m_specs;
  std::vector<TaskId> m_running;
  Resources m_total;
  JobId m_next_job = 0;
};

double MicrosecondsSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double, std::micro>(
             std::chrono::steady_clock::now() - start)
      .count();
}

/// Returns the microseconds that one placement takes, including the release of
/// one task and the enqueueing of another, in a cluster that runs `task_count`
/// tasks and has `backlog` more pending.
double MeasurePlacement(FairScheduler::PolicyFactory policies,
                        size_t worker_count,
                        size_t task_count,
                        size_t backlog,
                        size_t rounds) {
  PlacementLoad load(std::move(policies), worker_count);
  Millis now = Millis::FromSeconds(1'000);
  while (load.running_count() < task_count) {
    load.Submit(now);
    if (load.Schedule(1, now) == 0)
      break;
  }
  for (size_t i = 0; i < backlog; ++i)
    load.Submit(now);
  load.Schedule(backlog, now);
  size_t placed = 0;
  const auto start = std::chrono::steady_clock::now();
  for (size_t i = 0; i < rounds; ++i) {
    now += Millis(1);
    load.ReleaseOne();
    load.Submit(now);
    placed += load.Schedule(16, now);
  }
  return MicrosecondsSince(start) /
         static_cast<double>(std::max<size_t>(placed, 1));
}

void BenchPlacement() {
  const std::string name = "placement_us";
  // The largest deployment runs 141,000 tasks, about 27 on each worker.
  const double at_11 =
      MeasurePlacement(MakeDefaultPolicies, 11, 293, 0, 20'000);
  const double at_530 =
      MeasurePlacement(MakeDefaultPolicies, 530, 14'100, 0, 20'000);
  const double at_5300 =
      MeasurePlacement(MakeDefaultPolicies, 5'300, 141'000, 0, 20'000);
  ReportFigure(name + "_11", at_11, "us");
  ReportFigure(name + "_530", at_530, "us");
  ReportFigure(name + "_5300", at_5300, "us");
  ReportFigure(name + "_5300_vs_530", at_5300 / at_530, "ratio");
  ReportFigure(
      name + "_5300_backlog",
      MeasurePlacement(MakeDefaultPolicies, 5'300, 400'000, 10'000, 20'000),
      "us");
  ReportFigure(name + "_5300_baseline",
               MeasurePlacement(MakeBaselinePolicies, 5'300, 141'000, 0, 2'000),
               "us");
}

/// Number of tasks of this size that can be placed in a partly loaded cluster.
size_t CountFitting(FairScheduler::PolicyFactory policies,
                    const Resources& size) {
  PlacementLoad load(std::move(policies), 530);
  const Millis now = Millis::FromSeconds(1'000);
  for (int i = 0; i < 8'500; ++i)
    load.Submit(now);
  load.Schedule(10'000, now);
  for (int i = 0; i < 20'000; ++i) {
    load.ReleaseOne();
    load.Submit(now);
    load.Schedule(1, now);
  }
  JobSpec spec;
  spec.name = "large";
  spec.customer = "c1000";
  spec.resources = size;
  spec.expected_runtime = Millis::FromSeconds(60);
  for (int i = 0; i < 2'000; ++i)
    load.Submit(spec, now);
  return load.Schedule(10'000, now);
}

void BenchPacking() {
  const auto report = [](const std::string& name, const Resources& size) {
    const auto packed =
        static_cast<double>(CountFitting(MakeDefaultPolicies, size));
    const auto baseline =
        static_cast<double>(CountFitting(MakeBaselinePolicies, size));
    ReportFigure(name, packed, "tasks");
    ReportFigure(name + "_baseline", baseline, "tasks");
  };
  report("large_tasks_placeable", {12'000, 40'000, 0});
  report("accelerator_tasks_placeable", {2'000, 6'000, 1});
}

/// Share of a service's replicas that are lost if the rack with most of them
/// fails.
double WorstRackShare(FairScheduler::PolicyFactory policies) {
  FairScheduler scheduler(std::move(policies));
  scheduler.SetConfiguration(MakeUnlimitedConfiguration({"c"}));
  std::unordered_map<NodeId, std::string> racks;
  for (int i = 0; i < 44; ++i) {
    const std::string data_centre = "d" + std::to_string(i / 11);
    const std::string rack = "r" + std::to_string(i % 11 / 3);
    const NodeId node = "w" + std::to_string(i);
    racks[node] = data_centre + rack;
    scheduler.UpsertWorker(
        {node, data_centre, rack, {16'000, 60'000, 0}, true});
  }
  JobSpec spec;
  spec.name = "wallwright";
  spec.customer = "c";
  spec.kind = TaskKind::kService;
  spec.task_count = 16;
  spec.resources = {2'000, 4'000, 0};
  const Millis now = Millis::FromSeconds(1'000);
  for (uint32_t i = 0; i < spec.task_count; ++i)
    scheduler.Enqueue({{1, i}, &spec, now});
  std::unordered_map<std::string, double> counts;
  double worst = 0;
  for (const Placement& placement : scheduler.Schedule(100, now))
    worst = std::max(worst, ++counts[racks[placement.worker]]);
  return worst / spec.task_count;
}

void BenchSpread() {
  ReportFigure("worst_rack_share", WorstRackShare(MakeDefaultPolicies),
               "ratio");
  ReportFigure("worst_rack_share_baseline",
               WorstRackShare(MakeBaselinePolicies), "ratio");
}

const BenchmarkRegistration kPlacement("placement_us", BenchPlacement);
const BenchmarkRegistration kPacking("placement_packing", BenchPacking);
const BenchmarkRegistration kSpread("placement_spread", BenchSpread);

}  // namespace
}  // namespace fulmarrock::bench
