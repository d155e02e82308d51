#ifndef SOURCE_PLACEMENT_FAIR_SCHEDULER_H_
#define SOURCE_PLACEMENT_FAIR_SCHEDULER_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "source/placement/bounded_map.h"
#include "source/placement/cluster.h"
#include "source/placement/overload_tracker.h"
#include "source/placement/pending_queue.h"
#include "source/placement/reservation_table.h"
#include "source/placement/scheduler.h"
#include "source/placement/scheduler_policies.h"

namespace fulmarrock {

/// Shares the workers fairly between customers; urgent tasks come first.
/// Combines the pending queue, the cluster's indexes and the policies. The cost
/// of every call is proportional to what changed.
class FairScheduler : public Scheduler {
 public:
  using PolicyFactory = std::function<SchedulerPolicies()>;

  explicit FairScheduler(PolicyFactory make_policies = MakeDefaultPolicies);

  void Clear() override;
  void SetConfiguration(const Configuration& configuration) override;
  void UpsertWorker(const WorkerInfo& worker) override;
  void RemoveWorker(const NodeId& worker) override;
  void Enqueue(const PendingTask& task) override;
  void RemovePending(TaskId task) override;
  void AddRunning(const PendingTask& task,
                  const NodeId& worker,
                  Millis started) override;
  void Release(TaskId task, AttemptResult result, Millis runtime) override;
  std::vector<Placement> Schedule(size_t limit, Millis now) override;
  std::vector<Eviction> ChooseEvictions(Millis now) override;
  std::vector<UnplaceableTask> TakeUnplaceable() override;
  void OnUsage(const NodeId& worker,
               const UsageReport& report,
               Millis now) override;
  bool IsQuarantined(const NodeId& worker) const override;
  size_t pending_count() const override { return m_state->queue.size(); }
  size_t running_count() const override {
    return m_state->cluster.task_count();
  }
  std::string DumpState() const override;

 private:
  /// Everything that Clear() resets.
  struct State {
    explicit State(SchedulerPolicies selected);

    SchedulerPolicies policies;
    PendingQueue queue;
    Cluster cluster;
    ReservationTable reservations;
    OverloadTracker overloads;
    Configuration configuration;
    /// Pending tasks for which FindUnplaceableReason() has not run yet.
    std::vector<TaskId> unchecked_tasks;
    std::vector<UnplaceableTask> unplaceable;
    /// Workloads whose size estimate changed since the last Schedule().
    std::set<WorkloadKey> changed_workloads;
    /// Run time of the earlier attempts that is preserved in a checkpoint.
    BoundedMap<TaskId, Millis> checkpointed_runtime{20'000};
    uint64_t checked_capacity_version = 0;
    Millis now;
    Millis next_reservation;
    uint32_t rotation = 0;
  };

  /// Copies the customer's plan from the configuration into the queue. Returns
  /// whether it changed.
  bool RefreshCustomer(CustomerIndex customer);
  TaskClass ClassOf(const JobSpec& spec, const CustomerState& customer) const;
  PendingEntry MakeEntry(const PendingTask& task, CustomerIndex customer) const;
  /// Updates the queue entry of a pending task after the customer's plan, the
  /// size estimate or the worker capacities changed.
  void Requeue(TaskId task);
  void RequeueChanged();

  /// Returns why the task cannot run even on an empty cluster, or nothing.
  std::optional<std::string> FindUnplaceableReason(
      const PendingEntry& entry) const;
  void RemoveUnplaceable();
  void ReportUnplaceable(TaskId task, const std::string& reason);

  void Start(TaskId task,
             WorkerIndex worker,
             Millis now,
             std::vector<Placement>& out);
  void RecordAllocation(const PendingEntry& entry,
                        WorkerIndex worker,
                        Millis started);
  /// Places urgent tasks. If some stay blocked without a reserved worker,
  /// removes the reservations of all other classes on workers and tries again.
  void PlaceUrgent(size_t limit, Millis now, std::vector<Placement>& out);
  /// Places tasks that have a reservation, of the classes up to `last_class`.
  void PlaceReserved(TaskClass last_class,
                     size_t limit,
                     Millis now,
                     std::vector<Placement>& out);
  /// Places tasks for which only quota was reserved. Reserves a worker for
  /// those that fit no worker now.
  void PlaceQuotaReserved(TaskClass last_class,
                          size_t limit,
                          Millis now,
                          std::vector<Placement>& out);
  void PlaceClass(TaskClass task_class,
                  size_t limit,
                  Millis now,
                  std::vector<Placement>& out);
  /// Blocks the task's group on the quota, and reserves quota for the task if
  /// it has been pending for long.
  void HandleQuotaExceeded(const PendingEntry& entry, Millis now);
  std::optional<WorkerIndex> ChooseWorker(const PendingEntry& entry,
                                          Millis now);
  std::optional<WorkerIndex> ChooseProbe(const PendingEntry& entry, Millis now);
  void UnblockForProbes(Millis now);
  void ApplyQuarantine();

  /// Reserves workers for tasks that have been pending for long, so that
  /// smaller tasks cannot overtake them for ever.
  void ReserveForLongPending(Millis now);
  void ReserveForClass(TaskClass task_class, Millis now);
  std::optional<WorkerIndex> FindEarliestWorker(const PendingEntry& entry,
                                                Millis now);
  /// Returns the expected time until enough batch tasks of the worker have
  /// ended for `need` to fit.
  Millis EstimateTimeUntilFit(const Worker& worker,
                              const Resources& need,
                              Millis now) const;

  void EvictForUrgent(Millis now, std::vector<Eviction>& out);
  void EvictForServices(Millis now, std::vector<Eviction>& out);
  void Evict(TaskId task,
             const std::string& reason,
             Millis now,
             std::vector<Eviction>& out);

  void RecordTaskUsage(WorkerIndex worker, const TaskUsage& usage);
  /// Services and colocated tasks are named in the report by their workload.
  void RecordServiceLatencies(WorkerIndex worker,
                              const UsageReport& report,
                              Millis now);

  PolicyFactory m_make_policies;
  std::unique_ptr<State> m_state;
};

}  // namespace fulmarrock

#endif  // SOURCE_PLACEMENT_FAIR_SCHEDULER_H_
