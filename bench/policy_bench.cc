#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "bench/benchmark.h"
#include "bench/unlimited_plan.h"
#include "source/base/seeded_random.h"
#include "source/placement/fair_scheduler.h"
#include "source/placement/packing_placement.h"

namespace fulmarrock::bench {
namespace {

constexpr uint64_t kSeed = 20261204;

/// Simulates eleven workers of 16 cores that run tasks of one core.
class PolicyLoad {
 public:
  explicit PolicyLoad(FairScheduler::PolicyFactory policies)
      : m_scheduler(std::move(policies)) {
    m_scheduler.SetConfiguration(
        MakeUnlimitedConfiguration({"heavy", "light"}));
    for (int i = 0; i < 11; ++i)
      m_scheduler.UpsertWorker({"w" + std::to_string(i),
                                "d" + std::to_string(i % 4),
                                "r" + std::to_string(i / 3),
                                {16'000, 60'000, 0},
                                true});
  }

  void Submit(const std::string& customer) {
    JobSpec& spec = m_specs.emplace_back();
    spec.customer = customer;
    spec.name = customer;
    spec.resources = {1'000, 2'000, 0};
    spec.expected_runtime = Millis::FromSeconds(30);
    const TaskId task{m_specs.size(), 0};
    m_specs_by_task[task] = &spec;
    m_scheduler.Enqueue({task, &spec, m_now});
  }

  void Step() {
    m_now += Millis::FromSeconds(1);
    while (!m_ends.empty() && m_ends.begin()->first <= m_now) {
      const TaskId task = m_ends.begin()->second;
      m_ends.erase(m_ends.begin());
      EndTask(task);
    }
    for (const Placement& placement : m_scheduler.Schedule(1'000, m_now)) {
      m_worker_by_task[placement.task] = placement.worker;
      const bool is_failing = placement.worker == failing_worker;
      const auto seconds =
          static_cast<int64_t>(is_failing ? 1 : 20 + m_random.Below(20));
      m_ends.emplace(m_now + Millis::FromSeconds(seconds), placement.task);
      if (m_specs_by_task[placement.task]->customer == "light")
        last_light_start = m_now;
    }
  }

  /// Reports that every task uses `task_millicores`. Returns the usage of one
  /// second above the workers' capacity, in core-seconds.
  double ReportUsage(int64_t task_millicores) {
    std::map<NodeId, UsageReport> reports;
    for (const auto& [task, worker] : m_worker_by_task)
      reports[worker].tasks.push_back({task, task_millicores, 1'000});
    double excess = 0;
    for (const auto& [worker, report] : reports) {
      m_scheduler.OnUsage(worker, report, m_now);
      const auto used =
          static_cast<int64_t>(report.tasks.size()) * task_millicores;
      excess +=
          static_cast<double>(std::max<int64_t>(used - 16'000, 0)) / 1'000;
    }
    return excess;
  }

  size_t pending() const { return m_scheduler.pending_count(); }
  Millis now() const { return m_now; }

  NodeId failing_worker;
  Millis last_light_start;
  double failures = 0;
  double completions = 0;

 private:
  void EndTask(TaskId task) {
    const bool is_failing = m_worker_by_task[task] == failing_worker;
    m_worker_by_task.erase(task);
    m_scheduler.Release(
        task, is_failing ? AttemptResult::kFailed : AttemptResult::kCompleted,
        Millis::FromSeconds(30));
    if (!is_failing) {
      ++completions;
      return;
    }
    ++failures;
    m_scheduler.Enqueue({task, m_specs_by_task[task], m_now});
  }

  SeededRandom m_random{kSeed};
  FairScheduler m_scheduler;
  Millis m_now = Millis::FromSeconds(1'000);
  std::deque<JobSpec> m_specs;
  std::unordered_map<TaskId, const JobSpec*> m_specs_by_task;
  std::map<TaskId, NodeId> m_worker_by_task;
  std::multimap<Millis, TaskId> m_ends;
};

SchedulerPolicies WithFifoOrder() {
  SchedulerPolicies policies = MakeDefaultPolicies();
  policies.customer_order = std::make_unique<FifoOrder>();
  return policies;
}

SchedulerPolicies WithRequestedResources() {
  SchedulerPolicies policies = MakeDefaultPolicies();
  policies.estimator = std::make_unique<DeclaredEstimator>();
  policies.eviction = std::make_unique<CheapestEviction>(*policies.estimator);
  return policies;
}

SchedulerPolicies WithoutAttribution() {
  SchedulerPolicies policies = MakeDefaultPolicies();
  policies.failure_attribution = std::make_unique<NoFailureAttribution>();
  policies.placement = std::make_unique<PackingPlacement>(
      *policies.interference, *policies.failure_attribution);
  return policies;
}

/// Seconds until the last of twenty tasks of one customer starts, which were
/// submitted after two thousand tasks of another customer.
double LightCustomerWait(FairScheduler::PolicyFactory policies) {
  PolicyLoad load(std::move(policies));
  for (int i = 0; i < 2'000; ++i)
    load.Submit("heavy");
  load.Step();
  for (int i = 0; i < 20; ++i)
    load.Submit("light");
  const Millis start = load.now();
  while (load.pending() > 0)
    load.Step();
  return static_cast<double>((load.last_light_start - start).count()) / 1'000;
}

/// Usage above the workers' capacity during ten minutes, in core-seconds, with
/// tasks that use 1.5 times the CPU they request.
double ExcessUsage(FairScheduler::PolicyFactory policies) {
  PolicyLoad load(std::move(policies));
  double excess = 0;
  for (int second = 0; second < 600; ++second) {
    while (load.pending() < 20)
      load.Submit("heavy");
    load.Step();
    excess += load.ReportUsage(1'500);
  }
  return excess;
}

/// Failed attempts per thousand completed tasks, with one worker on which every
/// task fails within a second.
double FailedAttempts(FairScheduler::PolicyFactory policies) {
  PolicyLoad load(std::move(policies));
  load.failing_worker = "w4";
  for (int second = 0; second < 1'800; ++second) {
    while (load.pending() < 20)
      load.Submit("heavy");
    load.Step();
  }
  return 1'000 * load.failures / load.completions;
}

void BenchPolicies() {
  ReportFigure("light_customer_wait", LightCustomerWait(MakeDefaultPolicies),
               "s");
  ReportFigure("light_customer_wait_baseline", LightCustomerWait(WithFifoOrder),
               "s");
  ReportFigure("use_above_capacity", ExcessUsage(MakeDefaultPolicies),
               "core_s");
  ReportFigure("use_above_capacity_baseline",
               ExcessUsage(WithRequestedResources), "core_s");
  ReportFigure("failed_attempts_per_1000_tasks",
               FailedAttempts(MakeDefaultPolicies), "attempts");
  ReportFigure("failed_attempts_per_1000_tasks_baseline",
               FailedAttempts(WithoutAttribution), "attempts");
}

const BenchmarkRegistration kPolicies("policies", BenchPolicies);

}  // namespace
}  // namespace fulmarrock::bench
