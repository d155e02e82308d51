#include "source/placement/reservation_planner.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace fulmarrock {
namespace {

// Blocked tasks that have been pending for this long may reserve a worker.
constexpr Millis kReserveInteractiveAfter = Millis::FromSeconds(5);
constexpr Millis kReserveBatchAfter = Millis::FromSeconds(30);
constexpr Millis kReservationInterval = Millis::FromSeconds(1);

// Reservations per class: one in small clusters, otherwise one per this many
// workers, so that about two percent of the capacity is reserved.
constexpr size_t kWorkersPerReservation = 50;

size_t MaxReservations(const Cluster& cluster) {
  return std::max<size_t>(
      1, cluster.known_worker_count() / kWorkersPerReservation);
}

Millis ReservationDelay(TaskClass task_class) {
  return task_class == TaskClass::kBatch ? kReserveBatchAfter
                                         : kReserveInteractiveAfter;
}

}  // namespace

void ReservationPlanner::ReserveWorkers(Millis now) {
  if (now < m_next_time)
    return;
  m_next_time = now + kReservationInterval;
  ReserveWorkersForClass(TaskClass::kInteractive, now);
  ReserveWorkersForClass(TaskClass::kBatch, now);
}

void ReservationPlanner::ReserveWorker(const PendingEntry& entry, Millis now) {
  const std::optional<WorkerIndex> worker = FindEarliestWorker(entry, now);
  if (worker)
    m_reservations.Add(entry, worker, now);
}

void ReservationPlanner::ReserveQuota(const PendingEntry& entry, Millis now) {
  if (now - entry.task.pending_since >= kReserveBatchAfter &&
      !m_reservations.HasQuotaReservation(entry.customer, entry.task_class) &&
      !m_reservations.Find(entry.task.task))
    m_reservations.Add(entry, std::nullopt, now);
}

void ReservationPlanner::ReserveWorkersForClass(TaskClass task_class,
                                                Millis now) {
  const size_t max_reservations = MaxReservations(m_cluster);
  if (m_reservations.CountOfClass(task_class) >= max_reservations)
    return;
  for (const TaskId task : FindLongPending(task_class, now)) {
    if (m_reservations.CountOfClass(task_class) >= max_reservations)
      return;
    ReserveWorker(*m_queue.Find(task), now);
  }
}

std::vector<TaskId> ReservationPlanner::FindLongPending(TaskClass task_class,
                                                        Millis now) const {
  // Sorted by rank, then by the time since when the task is pending.
  std::vector<std::tuple<double, Millis, TaskId>> ranked;
  const Millis delay = ReservationDelay(task_class);
  m_queue.VisitBlocked(task_class, [&](const PendingEntry& entry) {
    if (now - entry.task.pending_since < delay ||
        !m_reservations.FitsQuota(entry) ||
        m_reservations.HasWorker(entry.task.task))
      return;
    ranked.emplace_back(RankOf(entry), entry.task.pending_since,
                        entry.task.task);
  });
  std::sort(ranked.begin(), ranked.end());
  std::vector<TaskId> tasks;
  for (const auto& [rank, pending_since, task] : ranked)
    tasks.push_back(task);
  return tasks;
}

double ReservationPlanner::RankOf(const PendingEntry& entry) const {
  const CustomerState& customer = m_queue.customer(entry.customer);
  const auto index = static_cast<size_t>(entry.task_class);
  const CustomerDemand demand{customer.running[index], customer.weight,
                              entry.order};
  return m_policies.customer_order->Rank(demand, m_cluster.total_capacity());
}

std::optional<WorkerIndex> ReservationPlanner::FindEarliestWorker(
    const PendingEntry& entry,
    Millis now) {
  std::optional<WorkerIndex> best;
  Millis earliest;
  for (const WorkerIndex index : m_evictable_workers.Find(entry.need)) {
    const Millis time_until_fit =
        EstimateTimeUntilFit(m_cluster.worker(index), entry.need, now);
    if (!best || time_until_fit < earliest) {
      best = index;
      earliest = time_until_fit;
    }
  }
  return best;
}

Millis ReservationPlanner::EstimateTimeUntilFit(const Worker& worker,
                                                const Resources& need,
                                                Millis now) const {
  std::vector<std::pair<Millis, const RunningTask*>> ends;
  for (const RunningTask* task : worker.tasks) {
    if (!task->IsEvictable())
      continue;
    const Millis runtime = m_policies.estimator->EstimateRuntime(
        task->workload, task->spec->expected_runtime);
    ends.emplace_back(std::max(task->started + runtime, now), task);
  }
  std::sort(ends.begin(), ends.end(), [](const auto& left, const auto& right) {
    return left.first < right.first;
  });
  Resources usable = worker.UsableCapacity();
  for (const auto& [end, task] : ends) {
    if (need.FitsIn(usable))
      return end - now;
    usable += task->allocated;
  }
  return ends.empty() ? Millis(0) : ends.back().first - now;
}

}  // namespace fulmarrock
