#ifndef SOURCE_PLACEMENT_RESERVATION_TABLE_H_
#define SOURCE_PLACEMENT_RESERVATION_TABLE_H_

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "source/placement/cluster.h"
#include "source/placement/pending_queue.h"

namespace fulmarrock {

/// Limit of the reservations of urgent tasks at a time.
inline constexpr size_t kMaxUrgentReservations = 512;

/// What is reserved for a pending task: a part of its customer's quota and, if
/// `worker` is set, capacity of that worker.
struct Reservation {
  TaskId task;
  std::optional<WorkerIndex> worker;
  CustomerIndex customer = 0;
  TaskClass task_class = TaskClass::kBatch;
  Resources need;
  Resources requested;
  Millis pending_since;
  Millis created_at;
};

/// Reservations of pending tasks on workers and quotas. Reserved capacity that
/// becomes free is not given to other tasks, so that enough accumulates for a
/// large task, and an urgent task gets the capacity that was evicted for it.
class ReservationTable {
 public:
  /// Both references outlive the table.
  ReservationTable(Cluster& cluster, PendingQueue& queue)
      : m_cluster(cluster), m_queue(queue) {}

  /// Adds a reservation, or replaces that of the task. Without a worker, only
  /// quota is reserved.
  void Add(const PendingEntry& entry,
           std::optional<WorkerIndex> worker,
           Millis now);

  /// Removes the reservation of a task, if any.
  void Remove(TaskId task);

  /// Returns the reservation of a task, or null.
  const Reservation* Find(TaskId task) const;
  bool HasWorker(TaskId task) const;

  /// Whether some task of this customer and class has a reservation of quota
  /// only.
  bool HasQuotaReservation(CustomerIndex customer, TaskClass task_class) const {
    return m_quota_reservations.contains({customer, task_class});
  }

  /// Number of reservations on workers.
  size_t CountOfClass(TaskClass task_class) const {
    return m_counts[static_cast<size_t>(task_class)];
  }

  /// Whether a task fits the customer's quota together with the running tasks
  /// and the reservations of older tasks of its class and the classes before
  /// it.
  bool FitsQuota(const PendingEntry& entry) const;

  /// Removes the reservations on a worker.
  void RemoveOnWorker(WorkerIndex worker);

  /// Removes the reservations on workers of all tasks that are not urgent.
  void RemoveNonUrgent();

  /// Removes unsatisfiable reservations, and expired ones of urgent tasks whose
  /// evictions take too long, so that they try another worker.
  void RemoveStale(Millis now);

  /// Returns the reservations that now fit the free capacity of their worker,
  /// those of urgent tasks first.
  std::vector<Reservation> ReadyReservations() const;

  /// Returns the tasks of the classes up to `last_class` that have a
  /// reservation of quota only and now fit the quota.
  std::vector<TaskId> ReadyQuotaReservations(TaskClass last_class) const;

  /// Returns all reservations, ordered by task.
  std::vector<Reservation> All() const;

 private:
  bool IsUnsatisfiable(const Reservation& reservation) const;

  Cluster& m_cluster;
  PendingQueue& m_queue;
  std::map<TaskId, Reservation> m_reservations;
  std::unordered_map<CustomerIndex, std::vector<TaskId>> m_by_customer;
  std::set<std::pair<CustomerIndex, TaskClass>> m_quota_reservations;
  std::array<size_t, kTaskClassCount> m_counts{};
};

}  // namespace fulmarrock

#endif  // SOURCE_PLACEMENT_RESERVATION_TABLE_H_
