#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "bench/benchmark.h"
#include "source/base/seeded_random.h"
#include "source/placement/fair_scheduler.h"

namespace fulmarrock::bench {
namespace {

constexpr uint64_t kSeed = 20261204;

/// Simulates workers that run what a scheduler places. An evicted task stops
/// with a delay and is then enqueued again, as control does.
class EvictionSimulation {
 public:
  struct Result {
    double evictions = 0;
    double kernel_evictions = 0;
    double completions = 0;
    double lost_work_s = 0;
    std::vector<double> urgent_waits_ms;
  };

  EvictionSimulation(FairScheduler::PolicyFactory policies,
                     size_t worker_count,
                     const Resources& capacity)
      : m_random(kSeed), m_scheduler(std::move(policies)) {
    Configuration configuration;
    for (const char* name : {"a", "b", "c", "d"}) {
      Plan plan;
      plan.name = name;
      plan.quota = {Resources::kMaxAmount, Resources::kMaxAmount, 0};
      plan.allows_urgent = true;
      configuration.plans.push_back(plan);
      configuration.customers.push_back({name, name});
    }
    m_scheduler.SetConfiguration(configuration);
    for (size_t i = 0; i < worker_count; ++i) {
      const NodeId node = "w" + std::to_string(i);
      m_workers.push_back(node);
      m_scheduler.UpsertWorker({node, "d" + std::to_string(i % 4),
                                "r" + std::to_string(i / 3), capacity, true});
    }
  }

  Millis now() const { return m_now; }
  RandomSource& random() { return m_random; }
  Result& result() { return m_result; }
  size_t pending() const { return m_scheduler.pending_count(); }

  /// Submits a task whose expected runtime is between 0.25 and 4.25 times the
  /// actual one.
  void Submit(TaskKind kind, int64_t cpu, Millis runtime, bool is_urgent) {
    JobSpec& spec = m_specs.emplace_back();
    spec.customer = std::string(1, static_cast<char>('a' + m_random.Below(4)));
    spec.kind = kind;
    spec.is_urgent = is_urgent;
    spec.resources = {cpu, cpu * 3, 0};
    spec.can_checkpoint = m_random.Below(3) != 0;
    spec.workload = std::string(spec.can_checkpoint ? "plan" : "study") +
                    std::to_string(cpu);
    spec.name = spec.workload;
    spec.expected_runtime =
        Millis(runtime.count() / 4 +
               static_cast<int64_t>(m_random.Below(runtime.count() * 4)));
    const TaskId task{++m_next_job, 0};
    m_tasks[task] = {&spec, runtime, m_now, Millis(0)};
    m_scheduler.Enqueue({task, &spec, m_now});
  }

  /// Advances the time, ends the tasks that are due and schedules.
  void Step(Millis step) {
    m_now += step;
    while (!m_ends.empty() && m_ends.begin()->first <= m_now) {
      const End end = m_ends.begin()->second;
      m_ends.erase(m_ends.begin());
      Apply(end);
    }
    for (const Placement& placement : m_scheduler.Schedule(1'000, m_now))
      OnPlacement(placement);
    for (const Eviction& eviction : m_scheduler.ChooseEvictions(m_now))
      OnEviction(eviction.task);
  }

  /// Reports the p99 of the service on each worker in percent of its objective:
  /// `percent` for the first `affected` workers, 60 for the others.
  void ReportServices(int64_t percent, size_t affected) {
    for (size_t i = 0; i < m_workers.size(); ++i) {
      UsageReport report;
      const int64_t p99 = i < affected ? percent : 60;
      report.services.push_back({"wallwright", Millis(p99), Millis(100), {}});
      report.age = Millis(2'000);
      m_scheduler.OnUsage(m_workers[i], report, m_now);
    }
  }

 private:
  struct Task {
    const JobSpec* spec = nullptr;
    Millis remaining;
    Millis enqueued_at;
    Millis started_at;
    uint32_t attempt = 0;
    bool is_running = false;
  };
  struct End {
    TaskId task;
    uint32_t attempt = 0;
    bool is_stop = false;
  };

  void OnPlacement(const Placement& placement) {
    Task& task = m_tasks[placement.task];
    task.is_running = true;
    task.started_at = m_now;
    ++task.attempt;
    if (task.spec->is_urgent)
      m_result.urgent_waits_ms.push_back(
          static_cast<double>((m_now - task.enqueued_at).count()));
    m_ends.emplace(m_now + task.remaining,
                   End{placement.task, task.attempt, false});
  }

  // The task stops after 300 ms to 1,200 ms: a checkpoint and two network
  // delays.
  void OnEviction(TaskId id) {
    const Task& task = m_tasks[id];
    ++m_result.evictions;
    if (task.spec->kind != TaskKind::kBatch)
      ++m_result.kernel_evictions;
    const auto delay = static_cast<int64_t>(300 + m_random.Below(900));
    m_ends.emplace(m_now + Millis(delay), End{id, task.attempt, true});
  }

  void Apply(const End& end) {
    const auto it = m_tasks.find(end.task);
    if (it == m_tasks.end() || !it->second.is_running ||
        it->second.attempt != end.attempt)
      return;
    Task& task = it->second;
    const Millis ran = m_now - task.started_at;
    if (!end.is_stop) {
      m_scheduler.Release(end.task, AttemptResult::kCompleted, ran);
      ++m_result.completions;
      m_tasks.erase(it);
      return;
    }
    task.is_running = false;
    if (task.spec->can_checkpoint)
      task.remaining -= std::min(ran, task.remaining);
    else
      m_result.lost_work_s += static_cast<double>(ran.count()) / 1'000;
    task.enqueued_at = m_now;
    m_scheduler.Release(end.task, AttemptResult::kStopped, ran);
    m_scheduler.Enqueue({end.task, task.spec, m_now});
  }

  SeededRandom m_random;
  FairScheduler m_scheduler;
  Millis m_now = Millis::FromSeconds(1'000);
  std::vector<NodeId> m_workers;
  std::deque<JobSpec> m_specs;
  std::unordered_map<TaskId, Task> m_tasks;
  std::multimap<Millis, End> m_ends;
  Result m_result;
  JobId m_next_job = 0;
};

double Percentile(std::vector<double> values, double fraction) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  const auto index = static_cast<size_t>(
      std::lround(fraction * static_cast<double>(values.size() - 1)));
  return values[index];
}

Millis RandomRuntime(RandomSource& random) {
  // Heavy-tailed, between one and sixty minutes.
  const double factor = std::pow(1 - random.Fraction(), -0.7);
  return Millis(static_cast<int64_t>(60'000 * std::min(factor, 60.0)));
}

/// Simulates a day in steps of one second: batch tasks all day with a peak at
/// night, kernels, bursts of urgent tasks, and hours in which the services on
/// some workers exceed their objective.
EvictionSimulation::Result RunDay(FairScheduler::PolicyFactory policies) {
  EvictionSimulation simulation(std::move(policies), 11, {16'000, 60'000, 0});
  RandomSource& random = simulation.random();
  for (int i = 0; i < 22; ++i)
    simulation.Submit(TaskKind::kKernel, 1'000, Millis::FromSeconds(80'000),
                      false);
  for (int second = 0; second < 86'400; ++second) {
    const double hour = second / 3'600.0;
    const double load = hour < 6 ? 1.0 : 0.35 + 0.25 * std::sin(hour);
    if (random.Fraction() < 0.55 * load && simulation.pending() < 500)
      simulation.Submit(TaskKind::kBatch,
                        500 * static_cast<int64_t>(1 + random.Below(6)),
                        RandomRuntime(random), false);
    if (second % 1'800 == 0) {
      for (int i = 0; i < 6; ++i)
        simulation.Submit(TaskKind::kBatch, 2'000, Millis::FromSeconds(60),
                          true);
    }
    if (second % 5 == 0 && hour > 8 && hour < 18)
      simulation.ReportServices(second % 3'600 < 120 ? 130 : 70, 3);
    simulation.Step(Millis::FromSeconds(1));
  }
  return simulation.result();
}

void BenchDay() {
  const EvictionSimulation::Result defaults = RunDay(MakeDefaultPolicies);
  const EvictionSimulation::Result baseline = RunDay(MakeBaselinePolicies);
  const auto report = [](const EvictionSimulation::Result& result,
                         const std::string& suffix) {
    ReportFigure("evictions_per_1000_tasks" + suffix,
                 1'000 * result.evictions / result.completions, "evictions");
    ReportFigure("kernel_evictions" + suffix, result.kernel_evictions,
                 "evictions");
    ReportFigure("lost_work_per_task" + suffix,
                 result.lost_work_s / result.completions, "s");
    ReportFigure("day_completions" + suffix, result.completions, "tasks");
  };
  report(defaults, "");
  report(baseline, "_baseline");
}

/// Submits bursts of urgent tasks to a cluster that is full of batch tasks,
/// with more of them pending.
EvictionSimulation::Result RunUrgent(FairScheduler::PolicyFactory policies,
                                     size_t worker_count) {
  EvictionSimulation simulation(std::move(policies), worker_count,
                                {16'000, 60'000, 0});
  RandomSource& random = simulation.random();
  for (size_t i = 0; i < worker_count * 16; ++i)
    simulation.Submit(TaskKind::kBatch,
                      500 * static_cast<int64_t>(1 + random.Below(6)),
                      RandomRuntime(random), false);
  for (int i = 0; i < 1'000; ++i)
    simulation.Step(Millis(100));
  for (int burst = 0; burst < 20; ++burst) {
    // Keeps enough batch tasks pending for the cluster to stay full.
    while (simulation.pending() < worker_count * 4)
      simulation.Submit(TaskKind::kBatch,
                        500 * static_cast<int64_t>(1 + random.Below(6)),
                        RandomRuntime(random), false);
    for (size_t i = 0; i < worker_count; ++i)
      simulation.Submit(TaskKind::kBatch,
                        1'000 * static_cast<int64_t>(1 + random.Below(4)),
                        Millis::FromSeconds(20), true);
    for (int i = 0; i < 6'000; ++i)
      simulation.Step(Millis(10));
  }
  return simulation.result();
}

void BenchUrgent() {
  for (const size_t workers : {size_t{11}, size_t{110}}) {
    const std::string suffix = "_" + std::to_string(workers);
    const EvictionSimulation::Result defaults =
        RunUrgent(MakeDefaultPolicies, workers);
    const EvictionSimulation::Result baseline =
        RunUrgent(MakeBaselinePolicies, workers);
    ReportFigure("urgent_start_p99_ms" + suffix,
                 Percentile(defaults.urgent_waits_ms, 0.99), "ms");
    ReportFigure("urgent_start_max_ms" + suffix,
                 Percentile(defaults.urgent_waits_ms, 1), "ms");
    ReportFigure("urgent_started" + suffix,
                 static_cast<double>(defaults.urgent_waits_ms.size()), "tasks");
    ReportFigure("urgent_lost_work" + suffix, defaults.lost_work_s, "s");
    ReportFigure("urgent_start_p99_ms" + suffix + "_baseline",
                 Percentile(baseline.urgent_waits_ms, 0.99), "ms");
    ReportFigure("urgent_lost_work" + suffix + "_baseline",
                 baseline.lost_work_s, "s");
  }
}

const BenchmarkRegistration kDay("evictions_day", BenchDay);
const BenchmarkRegistration kUrgent("urgent_start", BenchUrgent);

}  // namespace
}  // namespace fulmarrock::bench
