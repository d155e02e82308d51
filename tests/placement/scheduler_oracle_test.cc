#include "tests/placement/scheduler_oracle.h"

#include <algorithm>
#include <iterator>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "source/placement/fair_scheduler.h"

namespace fulmarrock::test {

std::ostream& operator<<(std::ostream& stream, const OracleStep& step) {
  return stream << "{" << int{step.action} << "," << int{step.first} << ","
                << int{step.second} << "}";
}

SchedulerOracle::SchedulerOracle(Scheduler& scheduler)
    : m_scheduler(scheduler) {
  for (uint8_t i = 0; i < 3; ++i)
    SetQuota(i, 12);
}

bool SchedulerOracle::HasViolation(const std::string& rule) const {
  return std::any_of(
      m_violations.begin(), m_violations.end(),
      [&](const std::string& text) { return text.starts_with(rule + ":"); });
}

void SchedulerOracle::Run(const std::vector<OracleStep>& steps) {
  for (const OracleStep& step : steps) {
    switch (step.action % 16) {
      case 0:
        AddWorker(step.first, step.second);
        break;
      case 1:
        RemoveWorker(step.first);
        break;
      case 2:
        ToggleWorker(step.first);
        break;
      case 3:
        SetQuota(step.first, step.second);
        break;
      case 4:
        Cancel(step.first);
        break;
      case 5:
        End(step.first, AttemptResult::kFailed);
        break;
      case 6:
        End(step.first, AttemptResult::kCompleted);
        break;
      case 7:
        Measure(step.first, step.second);
        break;
      case 8:
        Evict();
        break;
      case 9:
        TakeUnplaceable();
        break;
      case 10:
        m_clock.Advance(Millis(step.first * 200));
        break;
      case 11:
      case 12:
        Schedule(1 + step.first % 20);
        break;
      default:
        Submit(step.first, step.second);
        break;
    }
    CheckCounts();
  }
}

void SchedulerOracle::Drain() {
  for (auto& [node, worker] : m_workers) {
    worker.info.accepts_tasks = true;
    m_scheduler.UpsertWorker(worker.info);
  }
  if (m_workers.empty())
    AddWorker(0, 3);
  const size_t rounds = 3 * (m_pending.size() + m_running.size()) + 60;
  for (size_t i = 0; i < rounds && !m_pending.empty(); ++i) {
    m_clock.Advance(Millis::FromSeconds(30));
    Schedule(1'000);
    Evict();
    TakeUnplaceable();
    End(0, AttemptResult::kCompleted);
    CheckCounts();
  }
  for (const auto& [task, pending] : m_pending)
    AddViolation("liveness", ToString(task) + " of " +
                                 pending.spec->resources.ToString() +
                                 " is still pending");
}

void SchedulerOracle::AddWorker(uint8_t number, uint8_t size) {
  constexpr Resources kSizes[] = {{2'000, 4'000, 0},
                                  {4'000, 8'000, 0},
                                  {8'000, 8'000, 2},
                                  {16'000, 60'000, 0}};
  const NodeId node = "w" + std::to_string(number % 6);
  // An existing worker keeps its capacity; only its data centre, rack and state
  // may change.
  const auto it = m_workers.find(node);
  const Resources capacity =
      it == m_workers.end() ? kSizes[size % 4] : it->second.info.capacity;
  const WorkerInfo info{node, "d" + std::to_string(number % 2),
                        "r" + std::to_string(number % 3), capacity, true};
  m_workers[node].info = info;
  m_scheduler.UpsertWorker(info);
}

void SchedulerOracle::RemoveWorker(uint8_t number) {
  const NodeId node = "w" + std::to_string(number % 6);
  if (std::any_of(m_running.begin(), m_running.end(),
                  [&](const auto& item) { return item.second.worker == node; }))
    return;
  m_workers.erase(node);
  m_scheduler.RemoveWorker(node);
}

void SchedulerOracle::ToggleWorker(uint8_t number) {
  const auto it = m_workers.find("w" + std::to_string(number % 6));
  if (it == m_workers.end())
    return;
  it->second.info.accepts_tasks = !it->second.info.accepts_tasks;
  m_scheduler.UpsertWorker(it->second.info);
}

void SchedulerOracle::SetQuota(uint8_t customer, uint8_t size) {
  Plan plan;
  plan.name = "p" + std::to_string(customer % 3);
  plan.weight = 1 + customer % 4;
  const int64_t units = 1 + size % 16;
  plan.quota = {units * 2'000, units * 4'000, units / 4};
  plan.allows_urgent = customer % 2 == 0;
  ConfigurationChange change;
  change.changed_plans.push_back(plan);
  change.changed_customers.push_back(
      {"c" + std::to_string(customer % 3), plan.name});
  ApplyChange(change, m_configuration);
  m_scheduler.SetConfiguration(m_configuration);
}

void SchedulerOracle::Submit(uint8_t kind, uint8_t size) {
  JobSpec& spec = m_specs.emplace_back();
  spec.name = "job" + std::to_string(m_specs.size());
  spec.workload = "workload" + std::to_string(size % 5);
  spec.customer = "c" + std::to_string(kind % 3);
  spec.kind = kind % 8 == 0   ? TaskKind::kService
              : kind % 8 == 1 ? TaskKind::kKernel
                              : TaskKind::kBatch;
  spec.is_urgent = kind % 8 == 2 || kind % 8 == 3;
  spec.can_checkpoint = kind % 2 == 0;
  spec.resources = {500 * (1 + size % 20), 700 * (1 + size / 13),
                    size % 16 == 0 ? 1 : 0};
  spec.task_count = 2;
  const JobId job = ++m_next_job;
  for (uint32_t i = 0; i < spec.task_count; ++i) {
    m_pending[{job, i}] = {&spec, "", m_clock.Now(), {}};
    m_scheduler.Enqueue({{job, i}, &spec, m_clock.Now()});
  }
}

void SchedulerOracle::Cancel(uint8_t chosen) {
  if (m_pending.empty())
    return;
  const auto it = std::next(m_pending.begin(), chosen % m_pending.size());
  m_scheduler.RemovePending(it->first);
  m_pending.erase(it);
}

void SchedulerOracle::End(uint8_t chosen, AttemptResult result) {
  if (m_running.empty())
    return;
  const auto it = std::next(m_running.begin(), chosen % m_running.size());
  const ModelTask task = it->second;
  const TaskId id = it->first;
  m_running.erase(it);
  m_scheduler.Release(id, result, Millis::FromSeconds(10));
  if (result != AttemptResult::kFailed)
    return;
  m_pending[id] = {task.spec, "", m_clock.Now(), {}};
  m_scheduler.Enqueue({id, task.spec, m_clock.Now()});
}

void SchedulerOracle::Measure(uint8_t chosen, uint8_t percent) {
  if (m_running.empty())
    return;
  const auto it = std::next(m_running.begin(), chosen % m_running.size());
  const Resources& requested = it->second.spec->resources;
  UsageReport report;
  report.tasks.push_back({it->first, requested.cpu_millicores * percent / 100,
                          requested.memory_mib * percent / 100});
  it->second.measured = {report.tasks[0].cpu_millicores,
                         report.tasks[0].memory_mib, 0};
  Resources& largest = m_largest_measured[it->second.spec->workload];
  largest.cpu_millicores =
      std::max(largest.cpu_millicores, it->second.measured.cpu_millicores);
  largest.memory_mib =
      std::max(largest.memory_mib, it->second.measured.memory_mib);
  m_scheduler.OnUsage(it->second.worker, report, m_clock.Now());
}

void SchedulerOracle::Schedule(size_t limit) {
  const std::vector<Placement> placements =
      m_scheduler.Schedule(limit, m_clock.Now());
  if (placements.size() > limit)
    AddViolation("limit", "more placements than asked for");
  for (const Placement& placement : placements)
    OnPlacement(placement);
  TakeUnplaceable();
  if (placements.size() < limit)
    CheckUrgentFirst(placements);
}

void SchedulerOracle::OnPlacement(const Placement& placement) {
  const auto it = m_pending.find(placement.task);
  if (it == m_pending.end()) {
    AddViolation("once",
                 ToString(placement.task) + " is placed but not pending");
    return;
  }
  ModelTask task = it->second;
  m_pending.erase(it);
  const auto worker = m_workers.find(placement.worker);
  if (worker == m_workers.end() || !worker->second.info.accepts_tasks)
    AddViolation("accepts", placement.worker + " accepts no tasks");
  else if (!task.spec->resources.FitsIn(FreeCapacityOf(placement.worker)))
    AddViolation("capacity", placement.worker + " has " +
                                 FreeCapacityOf(placement.worker).ToString() +
                                 " for " + task.spec->resources.ToString());
  if (!FitsQuota(*task.spec))
    AddViolation("quota", task.spec->customer + " exceeds its quota");
  task.worker = placement.worker;
  m_running[placement.task] = task;
}

// A task that is not urgent must not be placed where a pending urgent one could
// have run.
void SchedulerOracle::CheckUrgentFirst(
    const std::vector<Placement>& placements) {
  std::map<NodeId, Resources> taken;
  for (const Placement& placement : placements) {
    const auto it = m_running.find(placement.task);
    if (it != m_running.end() && !IsUrgent(*it->second.spec))
      taken[placement.worker] += it->second.spec->resources;
  }
  for (const auto& [worker, resources] : taken) {
    if (!m_workers.contains(worker))
      continue;
    for (const auto& [id, task] : m_pending) {
      if (!IsUrgent(*task.spec) || !FitsQuota(*task.spec) ||
          IsQuotaReservedByOlder(task))
        continue;
      const Resources available = MinFreeCapacityOf(worker) + resources;
      if (MaxAllocationOf(*task.spec).FitsIn(available))
        AddViolation(
            "urgent",
            ToString(id) +
                " is pending, but its capacity was given to others on " +
                worker);
    }
  }
}

void SchedulerOracle::Evict() {
  std::set<TaskId> victims;
  for (const Eviction& eviction : m_scheduler.ChooseEvictions(m_clock.Now())) {
    const auto it = m_running.find(eviction.task);
    if (it == m_running.end() || it->second.spec->kind != TaskKind::kBatch ||
        !victims.insert(eviction.task).second)
      AddViolation("eviction",
                   ToString(eviction.task) + " must not be evicted");
  }
  for (const TaskId id : victims) {
    const ModelTask task = m_running[id];
    m_running.erase(id);
    m_scheduler.Release(id, AttemptResult::kStopped, Millis::FromSeconds(5));
    m_pending[id] = {task.spec, "", m_clock.Now(), {}};
    m_scheduler.Enqueue({id, task.spec, m_clock.Now()});
  }
}

void SchedulerOracle::TakeUnplaceable() {
  for (const UnplaceableTask& item : m_scheduler.TakeUnplaceable()) {
    const auto it = m_pending.find(item.task);
    if (it == m_pending.end())
      continue;
    if (CanEverRun(it->second))
      AddViolation("unplaceable",
                   ToString(item.task) + " could run: " + item.reason);
    m_pending.erase(it);
  }
}

void SchedulerOracle::CheckCounts() {
  TakeUnplaceable();
  if (m_scheduler.pending_count() != m_pending.size())
    AddViolation("lost", std::to_string(m_scheduler.pending_count()) +
                             " tasks are pending instead of " +
                             std::to_string(m_pending.size()));
  if (m_scheduler.running_count() != m_running.size())
    AddViolation("lost", std::to_string(m_scheduler.running_count()) +
                             " tasks run instead of " +
                             std::to_string(m_running.size()));
}

bool SchedulerOracle::CanEverRun(const ModelTask& task) const {
  const Plan* plan = m_configuration.FindPlanOfCustomer(task.spec->customer);
  if (!plan || !task.spec->resources.FitsIn(plan->quota))
    return false;
  return std::any_of(m_workers.begin(), m_workers.end(), [&](const auto& item) {
    return task.spec->resources.FitsIn(item.second.info.capacity);
  });
}

bool SchedulerOracle::IsUrgent(const JobSpec& spec) const {
  const Plan* plan = m_configuration.FindPlanOfCustomer(spec.customer);
  return spec.is_urgent && plan && plan->allows_urgent;
}

bool SchedulerOracle::FitsQuota(const JobSpec& spec) const {
  Resources sum = spec.resources;
  for (const auto& [id, task] : m_running) {
    if (task.spec->customer == spec.customer)
      sum += task.spec->resources;
  }
  const Plan* plan = m_configuration.FindPlanOfCustomer(spec.customer);
  return plan && sum.FitsIn(plan->quota);
}

// Quota of a customer is reserved for its older urgent tasks, so that later and
// smaller ones do not keep them pending for ever.
bool SchedulerOracle::IsQuotaReservedByOlder(const ModelTask& later) const {
  Resources sum = later.spec->resources;
  for (const auto& [id, task] : m_running) {
    if (task.spec->customer == later.spec->customer)
      sum += task.spec->resources;
  }
  for (const auto& [id, task] : m_pending) {
    if (task.pending_since <= later.pending_since && &task != &later &&
        IsUrgent(*task.spec) && task.spec->customer == later.spec->customer)
      sum += task.spec->resources;
  }
  const Plan* plan = m_configuration.FindPlanOfCustomer(later.spec->customer);
  return !plan || !sum.FitsIn(plan->quota);
}

// The largest size that may be allocated: the requested size or the largest
// measurement of the workload, rounded up by an eighth.
Resources SchedulerOracle::MaxAllocationOf(const JobSpec& spec) const {
  const auto it = m_largest_measured.find(spec.workload);
  const Resources measured =
      it == m_largest_measured.end() ? Resources() : it->second;
  return {std::max(spec.resources.cpu_millicores,
                   measured.cpu_millicores * 9 / 8 + 1),
          std::max(spec.resources.memory_mib, measured.memory_mib * 9 / 8 + 1),
          spec.resources.accelerators};
}

Resources SchedulerOracle::FreeCapacityOf(const NodeId& worker) const {
  Resources free = m_workers.at(worker).info.capacity;
  for (const auto& [id, task] : m_running) {
    if (task.worker != worker)
      continue;
    const Resources& requested = task.spec->resources;
    free -= {std::max(requested.cpu_millicores, task.measured.cpu_millicores),
             std::max(requested.memory_mib, task.measured.memory_mib),
             requested.accelerators};
  }
  return free;
}

Resources SchedulerOracle::MinFreeCapacityOf(const NodeId& worker) const {
  Resources free = m_workers.at(worker).info.capacity;
  for (const auto& [id, task] : m_running) {
    if (task.worker == worker)
      free -= MaxAllocationOf(*task.spec);
  }
  return free;
}

void SchedulerOracle::AddViolation(const std::string& rule,
                                   const std::string& detail) {
  m_violations.push_back(rule + ": " + detail);
}

}  // namespace fulmarrock::test

namespace rc {

template <>
struct Arbitrary<fulmarrock::test::OracleStep> {
  static Gen<fulmarrock::test::OracleStep> arbitrary() {
    using fulmarrock::test::OracleStep;
    return gen::build<OracleStep>(
        gen::set(&OracleStep::action, gen::inRange<uint8_t>(0, 16)),
        gen::set(&OracleStep::first, gen::inRange<uint8_t>(0, 255)),
        gen::set(&OracleStep::second, gen::inRange<uint8_t>(0, 255)));
  }
};

}  // namespace rc

namespace fulmarrock::test {
namespace {

std::string FirstViolation(const SchedulerOracle& oracle) {
  return oracle.violations().empty() ? "" : oracle.violations().front();
}

std::vector<OracleStep> ArbitrarySteps() {
  return *rc::gen::resize(400, rc::gen::arbitrary<std::vector<OracleStep>>());
}

void CheckPolicies(const FairScheduler::PolicyFactory& policies) {
  const bool is_ok = rc::check([&] {
    const std::vector<OracleStep> steps = ArbitrarySteps();
    FairScheduler scheduler(policies);
    SchedulerOracle oracle(scheduler);
    oracle.Run(steps);
    oracle.Drain();
    RC_ASSERT(FirstViolation(oracle) == "");
  });
  CHECK(is_ok);
}

// Guards against violations of the oracle's rules by arbitrary sequences of
// events.
TEST_CASE("arbitrary events never violate a rule of the scheduler") {
  CheckPolicies(MakeDefaultPolicies);
}

TEST_CASE("arbitrary events never violate a rule with the baseline policies") {
  CheckPolicies(MakeBaselinePolicies);
}

/// A scheduler that violates one rule on purpose.
class BrokenScheduler : public FairScheduler {
 public:
  explicit BrokenScheduler(std::string rule) : m_rule(std::move(rule)) {}

  void UpsertWorker(const WorkerInfo& worker) override {
    WorkerInfo changed = worker;
    if (m_rule == "capacity")
      changed.capacity += worker.capacity;
    if (m_rule == "accepts")
      changed.accepts_tasks = true;
    FairScheduler::UpsertWorker(changed);
  }

  void SetConfiguration(const Configuration& configuration) override {
    Configuration changed = configuration;
    if (m_rule == "quota") {
      for (Plan& plan : changed.plans)
        plan.quota += plan.quota;
    }
    if (m_rule == "urgent") {
      for (Plan& plan : changed.plans)
        plan.allows_urgent = false;
    }
    if (m_rule == "unplaceable") {
      for (Plan& plan : changed.plans)
        plan.quota.memory_mib /= 4;
    }
    FairScheduler::SetConfiguration(changed);
  }

  void Enqueue(const PendingTask& task) override {
    ++m_count;
    if (m_rule == "lost" && m_count % 5 == 0)
      return;
    if (m_rule == "liveness" && m_count % 5 == 0) {
      m_withheld.insert(task.task);
      return;
    }
    FairScheduler::Enqueue(task);
  }

  std::vector<Placement> Schedule(size_t limit, Millis now) override {
    if (m_rule == "limit")
      limit += 3;
    std::vector<Placement> placements = FairScheduler::Schedule(limit, now);
    if (m_rule == "once" && !placements.empty())
      placements.push_back(placements.front());
    if (!placements.empty())
      m_last = placements.back().task;
    return placements;
  }

  std::vector<Eviction> ChooseEvictions(Millis now) override {
    std::vector<Eviction> evictions = FairScheduler::ChooseEvictions(now);
    if (m_rule == "eviction")
      evictions.push_back({m_last, "broken on purpose"});
    return evictions;
  }

  void RemovePending(TaskId task) override {
    m_withheld.erase(task);
    FairScheduler::RemovePending(task);
  }

  size_t pending_count() const override {
    return FairScheduler::pending_count() + m_withheld.size();
  }

 private:
  std::string m_rule;
  uint64_t m_count = 0;
  TaskId m_last;
  std::set<TaskId> m_withheld;
};

// Guards against an oracle that accepts any behaviour: it has to report each
// rule for a scheduler that violates it.
TEST_CASE("the oracle reports each violated rule") {
  for (const std::string rule :
       {"capacity", "accepts", "quota", "urgent", "unplaceable", "lost",
        "liveness", "limit", "once", "eviction"}) {
    INFO(rule);
    bool is_found = false;
    const bool is_ok = rc::check([&] {
      const std::vector<OracleStep> steps = ArbitrarySteps();
      BrokenScheduler scheduler(rule);
      SchedulerOracle oracle(scheduler);
      oracle.Run(steps);
      oracle.Drain();
      is_found = is_found || oracle.HasViolation(rule);
    });
    CHECK(is_ok);
    CHECK(is_found);
  }
}

}  // namespace
}  // namespace fulmarrock::test
