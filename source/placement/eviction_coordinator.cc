#include "source/placement/eviction_coordinator.h"

#include <utility>

namespace fulmarrock {
namespace {

// Urgent tasks wait this long for a running task to end before others are
// evicted for them.
constexpr Millis kEvictAfter{300};

}  // namespace

std::vector<Eviction> EvictionCoordinator::Choose(Millis now) {
  std::vector<Eviction> evictions;
  EvictForUrgent(now, evictions);
  EvictForServices(now, evictions);
  return evictions;
}

void EvictionCoordinator::EvictForUrgent(Millis now,
                                         std::vector<Eviction>& out) {
  for (const TaskId task :
       m_queue.BlockedTasks(TaskClass::kUrgent, kMaxUrgentReservations)) {
    const PendingEntry& entry = *m_queue.Find(task);
    const size_t allowance = m_policy.Allowance(
        EvictionCause::kUrgentWork, m_cluster.batch_task_count(), now);
    if (allowance == 0)
      return;
    if (now - entry.task.pending_since < kEvictAfter ||
        !m_reservations.FitsQuota(entry) || m_reservations.HasWorker(task))
      continue;
    const std::optional<WorkerPlan> best = FindCheapestPlan(entry.need, now);
    if (!best || best->plan.tasks.size() > allowance)
      continue;
    m_reservations.Add(entry, best->worker, now);
    for (const TaskId victim : best->plan.tasks)
      Evict(victim, "frees capacity for urgent task " + ToString(task), now,
            out);
  }
}

std::optional<EvictionCoordinator::WorkerPlan>
EvictionCoordinator::FindCheapestPlan(const Resources& need, Millis now) {
  std::optional<WorkerPlan> best;
  for (const WorkerIndex index : m_evictable_workers.Find(need)) {
    std::optional<EvictionPlan> plan =
        m_policy.Plan(m_cluster.worker(index), need, now);
    if (plan && (!best || plan->cost < best->plan.cost))
      best = WorkerPlan{index, std::move(*plan)};
  }
  return best;
}

void EvictionCoordinator::EvictForServices(Millis now,
                                           std::vector<Eviction>& out) {
  for (const WorkerIndex worker : m_overloads.Due(now)) {
    if (m_policy.Allowance(EvictionCause::kOverloadedService,
                           m_cluster.batch_task_count(), now) == 0)
      return;
    const std::optional<TaskId> victim =
        m_policy.ChooseVictim(m_cluster.worker(worker), now);
    if (!victim)
      continue;
    const Resources size = m_cluster.FindTask(*victim)->allocated;
    Evict(*victim, "a service on the worker exceeds its latency objective", now,
          out);
    m_cluster.AddReservation(worker, size);
    m_overloads.OnEviction(worker, size, now);
  }
}

void EvictionCoordinator::Evict(TaskId task,
                                const std::string& reason,
                                Millis now,
                                std::vector<Eviction>& out) {
  m_cluster.MarkEvicting(*m_cluster.FindTask(task));
  m_policy.RecordEviction(task, now);
  out.push_back({task, reason});
}

}  // namespace fulmarrock
