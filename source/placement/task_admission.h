#ifndef SOURCE_PLACEMENT_TASK_ADMISSION_H_
#define SOURCE_PLACEMENT_TASK_ADMISSION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "source/placement/cluster.h"
#include "source/placement/pending_queue.h"
#include "source/placement/reservation_table.h"
#include "source/placement/scheduler.h"
#include "source/placement/usage_estimator.h"

namespace fulmarrock {

/// Adds tasks to the pending queue by the plan of their customer and their
/// estimated size, and updates the queue when these or the worker capacities
/// change. Removes and reports tasks that cannot run even on an empty cluster.
class TaskAdmission {
 public:
  /// All references outlive the object.
  TaskAdmission(const UsageEstimator& estimator,
                const Cluster& cluster,
                PendingQueue& queue,
                ReservationTable& reservations)
      : m_estimator(estimator),
        m_cluster(cluster),
        m_queue(queue),
        m_reservations(reservations) {}

  /// Replaces the plans of all customers and updates their pending tasks.
  void SetConfiguration(const Configuration& configuration);

  /// Adds a task unless it is already pending or running.
  void Enqueue(const PendingTask& task);

  /// Removes a pending task and its reservation, if any.
  void Remove(TaskId task);

  /// Returns the entry of a task by the current plan of its customer. Adds the
  /// customer to the queue if needed.
  PendingEntry MakeEntry(const PendingTask& task);

  /// Updates the pending tasks of a workload whose size estimate changed.
  void RequeueWorkload(WorkloadKey workload);

  /// Removes the tasks that cannot run even on an empty cluster. Checks only
  /// those that a change since the last call may affect.
  void RemoveUnplaceable();

  /// Removes and returns the tasks that were found to be unplaceable, except
  /// those that were enqueued again.
  std::vector<UnplaceableTask> TakeUnplaceable();

 private:
  /// Copies the customer's plan from the configuration into the queue. Returns
  /// whether it changed.
  bool RefreshCustomer(CustomerIndex customer);
  PendingEntry MakeEntryOfCustomer(const PendingTask& task,
                                   CustomerIndex customer) const;
  /// Updates the queue entry of a pending task after the customer's plan, the
  /// size estimate or the worker capacities changed.
  void Requeue(TaskId task);
  /// If the distinct worker capacities changed since the last call, requeues
  /// the tasks that this resizes or makes unplaceable, and marks them for the
  /// check.
  void RequeueForCapacityChange();
  /// Returns why the task cannot run even on an empty cluster, or nothing.
  std::optional<std::string> FindUnplaceableReason(
      const PendingEntry& entry) const;

  const UsageEstimator& m_estimator;
  const Cluster& m_cluster;
  PendingQueue& m_queue;
  ReservationTable& m_reservations;
  Configuration m_configuration;
  /// Pending tasks for which FindUnplaceableReason() has not run yet.
  std::vector<TaskId> m_unchecked_tasks;
  std::vector<UnplaceableTask> m_unplaceable;
  uint64_t m_checked_capacity_version = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_PLACEMENT_TASK_ADMISSION_H_
