#ifndef SOURCE_PLACEMENT_RESERVATION_PLANNER_H_
#define SOURCE_PLACEMENT_RESERVATION_PLANNER_H_

#include <optional>
#include <vector>

#include "source/placement/cluster.h"
#include "source/placement/evictable_worker_search.h"
#include "source/placement/pending_queue.h"
#include "source/placement/reservation_table.h"
#include "source/placement/scheduler_policies.h"

namespace fulmarrock {

/// Reserves quota and workers for tasks that have been pending for long, so
/// that smaller tasks cannot overtake them for ever. Urgent tasks get their
/// reservations from the EvictionCoordinator.
class ReservationPlanner {
 public:
  /// All references outlive the planner.
  ReservationPlanner(const SchedulerPolicies& policies,
                     const Cluster& cluster,
                     const PendingQueue& queue,
                     EvictableWorkerSearch& evictable_workers,
                     ReservationTable& reservations)
      : m_policies(policies),
        m_cluster(cluster),
        m_queue(queue),
        m_evictable_workers(evictable_workers),
        m_reservations(reservations) {}

  /// Reserves workers for blocked tasks that have been pending for long. Does
  /// nothing if the last time was too recent.
  void ReserveWorkers(Millis now);

  /// Reserves the worker where the task is expected to fit first, if any.
  void ReserveWorker(const PendingEntry& entry, Millis now);

  /// Reserves quota for a task that exceeds it, if it has been pending for long
  /// and no other task of its customer and class has quota reserved.
  void ReserveQuota(const PendingEntry& entry, Millis now);

 private:
  void ReserveWorkersForClass(TaskClass task_class, Millis now);
  /// Returns the blocked tasks of a class that have been pending for long and
  /// have no worker reserved, in the order of the customers' shares.
  std::vector<TaskId> FindLongPending(TaskClass task_class, Millis now) const;
  /// Returns the rank of the task's customer; the lowest is served first.
  double RankOf(const PendingEntry& entry) const;
  std::optional<WorkerIndex> FindEarliestWorker(const PendingEntry& entry,
                                                Millis now);
  /// Returns the expected time until enough batch tasks of the worker have
  /// ended for `need` to fit.
  Millis EstimateTimeUntilFit(const Worker& worker,
                              const Resources& need,
                              Millis now) const;

  const SchedulerPolicies& m_policies;
  const Cluster& m_cluster;
  const PendingQueue& m_queue;
  EvictableWorkerSearch& m_evictable_workers;
  ReservationTable& m_reservations;
  Millis m_next_time;
};

}  // namespace fulmarrock

#endif  // SOURCE_PLACEMENT_RESERVATION_PLANNER_H_
