#ifndef SOURCE_PLACEMENT_FAIR_SCHEDULER_H_
#define SOURCE_PLACEMENT_FAIR_SCHEDULER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "source/placement/bounded_map.h"
#include "source/placement/cluster.h"
#include "source/placement/evictable_worker_search.h"
#include "source/placement/eviction_coordinator.h"
#include "source/placement/overload_tracker.h"
#include "source/placement/pending_queue.h"
#include "source/placement/reservation_planner.h"
#include "source/placement/reservation_table.h"
#include "source/placement/scheduler.h"
#include "source/placement/scheduler_policies.h"
#include "source/placement/task_admission.h"
#include "source/placement/usage_recorder.h"

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
    TaskAdmission admission;
    UsageRecorder usage;
    EvictableWorkerSearch evictable_workers;
    ReservationPlanner reservation_planner;
    EvictionCoordinator evictions;
    /// Run time of the earlier attempts that is preserved in a checkpoint.
    BoundedMap<TaskId, Millis> checkpointed_runtime{20'000};
    Millis now;
  };

  /// Removes the reservations that cannot be satisfied or have expired, also
  /// those for overloaded services.
  void RemoveStaleReservations(Millis now);
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
  std::optional<WorkerIndex> ChooseWorker(const PendingEntry& entry,
                                          Millis now);
  std::optional<WorkerIndex> ChooseProbe(const PendingEntry& entry, Millis now);
  void UnblockForProbes(Millis now);
  void ApplyQuarantine();

  PolicyFactory m_make_policies;
  std::unique_ptr<State> m_state;
};

}  // namespace fulmarrock

#endif  // SOURCE_PLACEMENT_FAIR_SCHEDULER_H_
