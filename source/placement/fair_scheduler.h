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

/// Shares the workers fairly between customers, urgent work first. Combines the
/// queue, the cluster's indexes and the policies; every call costs in
/// proportion to what changed.
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
  /// Everything that Clear() forgets.
  struct State {
    explicit State(SchedulerPolicies selected);

    SchedulerPolicies policies;
    PendingQueue queue;
    Cluster cluster;
    ReservationTable reservations;
    OverloadTracker overloads;
    Configuration configuration;
    /// Waiting tasks not yet checked for being placeable.
    std::vector<TaskId> unchecked;
    std::vector<UnplaceableTask> unplaceable;
    /// Workloads whose size estimate changed.
    std::set<WorkloadKey> changed_workloads;
    /// Run time of earlier attempts that continue from a checkpoint.
    BoundedMap<TaskId, Millis> progress{20'000};
    uint64_t checked_capacity_version = 0;
    Millis now;
    Millis next_reservation;
    uint32_t rotation = 0;
  };

  /// Copies a customer's plan into the queue. Returns whether it changed.
  bool RefreshCustomer(CustomerIndex customer);
  TaskClass ClassOf(const JobSpec& spec, const CustomerState& customer) const;
  PendingEntry MakeEntry(const PendingTask& task, CustomerIndex customer) const;
  /// Enters a waiting task again after what its entry derives from changed.
  void Reenter(TaskId task);
  void ReenterChanged();

  /// Returns why the task can never run, or nothing.
  std::optional<std::string> FindObstacle(const PendingEntry& entry) const;
  void CheckPlaceable();
  void ReportUnplaceable(TaskId task, const std::string& reason);

  void Start(TaskId task,
             WorkerIndex worker,
             Millis now,
             std::vector<Placement>& out);
  void Account(const PendingEntry& entry, WorkerIndex worker, Millis started);
  /// Places urgent tasks, also where others hold a reservation.
  void PlaceUrgent(size_t limit, Millis now, std::vector<Placement>& out);
  /// Places tasks with a reservation up to this class.
  void PlaceReservationed(TaskClass last_class,
                          size_t limit,
                          Millis now,
                          std::vector<Placement>& out);
  /// Places tasks for which quota was held, or lets them wait for a worker.
  void PlaceQuotaReservationed(TaskClass last_class,
                               size_t limit,
                               Millis now,
                               std::vector<Placement>& out);
  void PlaceClass(TaskClass task_class,
                  size_t limit,
                  Millis now,
                  std::vector<Placement>& out);
  /// Blocks the task on its quota and holds quota for it if it waited long.
  void WaitForQuota(const PendingEntry& entry, Millis now);
  std::optional<WorkerIndex> ChooseWorker(const PendingEntry& entry,
                                          Millis now);
  std::optional<WorkerIndex> ChooseProbe(const PendingEntry& entry, Millis now);
  void UnblockForProbes(Millis now);
  void ApplyQuarantine();

  /// Lets long-waiting tasks reserve the worker that is expected to have room
  /// first, so that smaller ones cannot overtake them for ever.
  void ReserveForWaiting(Millis now);
  void ReserveForClass(TaskClass task_class, Millis now);
  std::optional<WorkerIndex> FindEarliestWorker(const PendingEntry& entry,
                                                Millis now);
  /// Time until enough batch tasks are expected to have ended.
  Millis EstimateDrain(const Worker& worker,
                       const Resources& need,
                       Millis now) const;

  void EvictForUrgent(Millis now, std::vector<Eviction>& out);
  void EvictForServices(Millis now, std::vector<Eviction>& out);
  void Evict(TaskId task,
             const std::string& reason,
             Millis now,
             std::vector<Eviction>& out);

  void RecordTaskUsage(WorkerIndex worker, const TaskUsage& usage);
  /// The names in a report are the workloads of the jobs they belong to.
  void RecordServices(WorkerIndex worker,
                      const UsageReport& report,
                      Millis now);

  PolicyFactory m_make_policies;
  std::unique_ptr<State> m_state;
};

}  // namespace fulmarrock

#endif  // SOURCE_PLACEMENT_FAIR_SCHEDULER_H_
