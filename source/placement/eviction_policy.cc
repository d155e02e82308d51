#include "source/placement/eviction_policy.h"

#include <algorithm>
#include <utility>

namespace fulmarrock {
namespace {

// A task evicted this many times is not evicted again. The count restarts when
// the last eviction is kEvictionCountResetAfter ago.
constexpr uint32_t kMaxEvictionsPerTask = 3;
constexpr Millis kEvictionCountResetAfter = Millis::FromSeconds(3600);

// Minimum time between two evictions of the same task.
constexpr Millis kMinEvictionInterval = Millis::FromSeconds(60);

// Approximate work lost by saving, transferring and restoring a checkpoint.
constexpr double kRestartCostMs = 5'000;

// The eviction cost of tasks expected to end within this time is multiplied, as
// it is better to wait for them.
constexpr Millis kNearlyDone = Millis::FromSeconds(5);
constexpr double kNearlyDoneFactor = 4;

// Limits of the evictions within the window. For urgent work a quarter of the
// batch tasks, so that a burst of urgent tasks starts within its time bound;
// for overloaded services a twentieth, as the agent throttles batch tasks
// first. The minima are for small clusters.
constexpr Millis kWindow = Millis::FromSeconds(10);
constexpr size_t kMinUrgentPerWindow = 16;
constexpr size_t kUrgentDivisor = 4;
constexpr size_t kServiceDivisor = 20;
constexpr size_t kMinServicePerWindow = 2;

bool CanEvict(const RunningTask& task) {
  return task.IsEvictable() && !task.is_evicting;
}

// Returns by how much the need exceeds the usable capacity.
Resources Shortfall(const Worker& worker, const Resources& need) {
  const Resources missing = need - worker.UsableCapacity();
  return {std::max<int64_t>(missing.cpu_millicores, 0),
          std::max<int64_t>(missing.memory_mib, 0),
          std::max<int64_t>(missing.accelerators, 0)};
}

bool IsZero(const Resources& amount) {
  return amount.FitsIn(Resources{});
}

// Returns the sum over the three resources of the fraction of the shortfall
// that evicting a task of this size would cover, from 0 to 3.
double Coverage(const Resources& allocated, const Resources& shortfall) {
  const auto part = [](int64_t amount, int64_t missing) {
    return missing <= 0 ? 0.0
                        : std::min(1.0, static_cast<double>(amount) /
                                            static_cast<double>(missing));
  };
  return part(allocated.cpu_millicores, shortfall.cpu_millicores) +
         part(allocated.memory_mib, shortfall.memory_mib) +
         part(allocated.accelerators, shortfall.accelerators);
}

struct Candidate {
  const RunningTask* task = nullptr;
  double cost = 0;
};

// Greedily selects the candidates with the lowest cost per covered shortfall,
// then drops those that are not needed for the cover, the most expensive first.
std::optional<EvictionPlan> CoverShortfall(std::vector<Candidate> candidates,
                                           const Resources& shortfall) {
  std::vector<Candidate> chosen;
  Resources left = shortfall;
  while (!IsZero(left)) {
    auto best = candidates.end();
    double best_rate = 0;
    for (auto it = candidates.begin(); it != candidates.end(); ++it) {
      const double coverage = Coverage(it->task->allocated, left);
      if (coverage > 0 &&
          (best == candidates.end() || it->cost / coverage < best_rate)) {
        best = it;
        best_rate = it->cost / coverage;
      }
    }
    if (best == candidates.end())
      return std::nullopt;
    left -= best->task->allocated;
    chosen.push_back(*best);
    candidates.erase(best);
  }
  std::sort(chosen.begin(), chosen.end(),
            [](const Candidate& first, const Candidate& second) {
              return first.cost > second.cost;
            });
  EvictionPlan plan;
  for (const Candidate& candidate : chosen) {
    if (IsZero(left + candidate.task->allocated)) {
      left += candidate.task->allocated;
      continue;
    }
    plan.tasks.push_back(candidate.task->task);
    plan.cost += candidate.cost;
  }
  return plan;
}

}  // namespace

std::optional<EvictionPlan> NewestFirstEviction::Plan(const Worker& worker,
                                                      const Resources& need,
                                                      Millis) const {
  std::vector<const RunningTask*> tasks;
  std::copy_if(worker.tasks.begin(), worker.tasks.end(),
               std::back_inserter(tasks),
               [](const RunningTask* task) { return CanEvict(*task); });
  std::sort(tasks.begin(), tasks.end(),
            [](const RunningTask* left, const RunningTask* right) {
              return left->started > right->started;
            });
  Resources left = Shortfall(worker, need);
  EvictionPlan plan;
  for (const RunningTask* task : tasks) {
    if (IsZero(left))
      break;
    left -= task->allocated;
    plan.tasks.push_back(task->task);
    plan.cost += 1;
  }
  if (!IsZero(left))
    return std::nullopt;
  return plan;
}

std::optional<TaskId> NewestFirstEviction::ChooseVictim(const Worker& worker,
                                                        Millis) const {
  const RunningTask* newest = nullptr;
  for (const RunningTask* task : worker.tasks) {
    if (CanEvict(*task) && (!newest || task->started > newest->started))
      newest = task;
  }
  if (!newest)
    return std::nullopt;
  return newest->task;
}

std::optional<EvictionPlan> CheapestEviction::Plan(const Worker& worker,
                                                   const Resources& need,
                                                   Millis now) const {
  std::vector<Candidate> candidates;
  for (const RunningTask* task : worker.tasks) {
    const std::optional<double> cost = Cost(*task, now);
    if (cost)
      candidates.push_back({task, *cost});
  }
  return CoverShortfall(std::move(candidates), Shortfall(worker, need));
}

std::optional<TaskId> CheapestEviction::ChooseVictim(const Worker& worker,
                                                     Millis now) const {
  std::optional<TaskId> cheapest;
  double lowest = 0;
  for (const RunningTask* task : worker.tasks) {
    const std::optional<double> cost = Cost(*task, now);
    if (cost && (!cheapest || *cost < lowest)) {
      cheapest = task->task;
      lowest = *cost;
    }
  }
  return cheapest;
}

std::optional<double> CheapestEviction::Cost(const RunningTask& task,
                                             Millis now) const {
  if (!CanEvict(task))
    return std::nullopt;
  double factor = 1;
  const History* history = m_history.Find(task.task);
  if (history && now - history->last < kEvictionCountResetAfter) {
    if (history->count >= kMaxEvictionsPerTask ||
        now - history->last < kMinEvictionInterval)
      return std::nullopt;
    factor += history->count;
  }
  const Millis elapsed = std::max(now - task.started, Millis(0));
  const Millis remaining =
      m_estimator.EstimateRuntime(task.workload, task.spec->expected_runtime) -
      elapsed;
  if (remaining > Millis(0) && remaining < kNearlyDone)
    factor *= kNearlyDoneFactor;
  const double lost =
      task.spec->can_checkpoint ? 0 : static_cast<double>(elapsed.count());
  return (kRestartCostMs + lost) * factor;
}

size_t CheapestEviction::Allowance(EvictionCause cause,
                                   size_t batch_tasks,
                                   Millis now) const {
  const auto first =
      std::lower_bound(m_recent.begin(), m_recent.end(), now - kWindow);
  const auto used = static_cast<size_t>(m_recent.end() - first);
  const size_t limit =
      cause == EvictionCause::kUrgentWork
          ? std::max(kMinUrgentPerWindow, batch_tasks / kUrgentDivisor)
          : std::max(kMinServicePerWindow, batch_tasks / kServiceDivisor);
  return limit > used ? limit - used : 0;
}

void CheapestEviction::RecordEviction(TaskId task, Millis now) {
  History& history = m_history.Get(task);
  if (now - history.last >= kEvictionCountResetAfter)
    history.count = 0;
  ++history.count;
  history.last = now;
  m_recent.push_back(now);
  while (m_recent.front() < now - kWindow)
    m_recent.pop_front();
}

}  // namespace fulmarrock
