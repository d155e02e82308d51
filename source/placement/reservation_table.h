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

/// A waiting task and what is held for it: a part of its customer's quota and,
/// if a worker is named, capacity of that worker.
struct Reservation {
  TaskId task;
  std::optional<WorkerIndex> worker;
  CustomerIndex customer = 0;
  TaskClass task_class = TaskClass::kBatch;
  Resources need;
  Resources declared;
  Millis since;
  Millis made;
};

/// Reservations of waiting tasks on workers and quotas. What becomes free there
/// is not given to others, so that a large task collects enough and an urgent
/// one gets what was evicted for it.
class ReservationTable {
 public:
  /// Both references outlive the table.
  ReservationTable(Cluster& cluster, PendingQueue& queue)
      : m_cluster(cluster), m_queue(queue) {}

  /// Adds a reservation, or replaces the one the task has.
  void Add(const PendingEntry& entry,
           std::optional<WorkerIndex> worker,
           Millis now);

  /// Removes the reservation of a task, if any.
  void Remove(TaskId task);

  /// Returns the reservation of a task, or null.
  const Reservation* Find(TaskId task) const;
  bool HasWorker(TaskId task) const;

  /// Whether quota is held for a task of this customer and class without a
  /// worker.
  bool HasQuotaReservation(CustomerIndex customer, TaskClass task_class) const {
    return m_quota_reservations.contains({customer, task_class});
  }

  /// Number of reservations on workers.
  size_t CountOfClass(TaskClass task_class) const {
    return m_counts[static_cast<size_t>(task_class)];
  }

  /// Whether the customer's quota has room for a task beside what runs and what
  /// is held for older tasks of its class and the classes before it.
  bool FitsQuota(const PendingEntry& entry) const;

  /// Removes the reservations on a worker.
  void RemoveOnWorker(WorkerIndex worker);

  /// Removes the reservations on workers of all tasks that are not urgent.
  void RemoveLessUrgent();

  /// Removes reservations that can no longer be met, and reservations of urgent
  /// tasks whose evictions take too long, so that they try another worker.
  void RemoveStale(Millis now);

  /// Returns the reservations whose worker has room now, urgent ones first.
  std::vector<Reservation> Ready() const;

  /// Returns the tasks whose customer's quota has room now and that wait for no
  /// particular worker.
  std::vector<TaskId> QuotaReady(TaskClass last_class) const;

  /// Returns all reservations, ordered by task.
  std::vector<Reservation> All() const;

 private:
  bool IsHopeless(const Reservation& reservation) const;

  Cluster& m_cluster;
  PendingQueue& m_queue;
  std::map<TaskId, Reservation> m_reservations;
  std::unordered_map<CustomerIndex, std::vector<TaskId>> m_by_customer;
  std::set<std::pair<CustomerIndex, TaskClass>> m_quota_reservations;
  std::array<size_t, kTaskClassCount> m_counts{};
};

}  // namespace fulmarrock

#endif  // SOURCE_PLACEMENT_RESERVATION_TABLE_H_
