#ifndef SOURCE_PLACEMENT_EVICTION_COORDINATOR_H_
#define SOURCE_PLACEMENT_EVICTION_COORDINATOR_H_

#include <optional>
#include <string>
#include <vector>

#include "source/placement/cluster.h"
#include "source/placement/evictable_worker_search.h"
#include "source/placement/eviction_policy.h"
#include "source/placement/overload_tracker.h"
#include "source/placement/pending_queue.h"
#include "source/placement/reservation_table.h"
#include "source/placement/scheduler.h"

namespace fulmarrock {

/// Starts the evictions of batch tasks for blocked urgent tasks and overloaded
/// services, and reserves the capacity that they free.
class EvictionCoordinator {
 public:
  /// All references outlive the coordinator.
  EvictionCoordinator(EvictionPolicy& policy,
                      Cluster& cluster,
                      const PendingQueue& queue,
                      EvictableWorkerSearch& evictable_workers,
                      ReservationTable& reservations,
                      OverloadTracker& overloads)
      : m_policy(policy),
        m_cluster(cluster),
        m_queue(queue),
        m_evictable_workers(evictable_workers),
        m_reservations(reservations),
        m_overloads(overloads) {}

  /// Returns the tasks to evict now, after marking them as being evicted.
  std::vector<Eviction> Choose(Millis now);

 private:
  struct WorkerPlan {
    WorkerIndex worker = 0;
    EvictionPlan plan;
  };

  void EvictForUrgent(Millis now, std::vector<Eviction>& out);
  void EvictForServices(Millis now, std::vector<Eviction>& out);
  /// Returns the plan with the lowest cost that makes `need` fit a worker.
  std::optional<WorkerPlan> FindCheapestPlan(const Resources& need, Millis now);
  void Evict(TaskId task,
             const std::string& reason,
             Millis now,
             std::vector<Eviction>& out);

  EvictionPolicy& m_policy;
  Cluster& m_cluster;
  const PendingQueue& m_queue;
  EvictableWorkerSearch& m_evictable_workers;
  ReservationTable& m_reservations;
  OverloadTracker& m_overloads;
};

}  // namespace fulmarrock

#endif  // SOURCE_PLACEMENT_EVICTION_COORDINATOR_H_
