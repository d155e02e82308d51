#ifndef SOURCE_PLACEMENT_CLUSTER_H_
#define SOURCE_PLACEMENT_CLUSTER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "source/placement/free_capacity_index.h"
#include "source/placement/scheduler.h"
#include "source/placement/task_class.h"
#include "source/placement/workload_key.h"

namespace fulmarrock {

/// A task to which capacity of a worker is allocated.
struct RunningTask {
  TaskId task;
  const JobSpec* spec = nullptr;
  WorkerIndex worker = 0;
  /// Position in the worker's task list.
  size_t offset = 0;
  /// Per resource, the larger of the requested and the measured amount.
  Resources allocated;
  WorkloadKey workload = 0;
  Millis pending_since;
  Millis started;
  CustomerIndex customer = 0;
  TaskClass task_class = TaskClass::kBatch;
  bool is_evicting = false;

  /// Only tasks of the batch class may be evicted.
  bool IsEvictable() const { return task_class == TaskClass::kBatch; }
};

/// A worker with the tasks and reservations on it.
struct Worker {
  WorkerInfo info;
  uint32_t data_centre = 0;
  uint32_t rack = 0;
  Resources total_allocated;
  /// Part of `total_allocated` that evictions could free.
  Resources evictable;
  /// Part of `total_allocated` that belongs to tasks being evicted.
  Resources evicting;
  /// Capacity reserved on this worker for pending tasks, and after evictions
  /// for an overloaded service.
  Resources reserved;
  std::vector<RunningTask*> tasks;
  /// Workloads of the kernels and services on the worker, each with their
  /// number.
  std::vector<std::pair<WorkloadKey, uint32_t>> latency_sensitive;
  /// Services known only from usage reports; counted in `latency_sensitive`
  /// too.
  std::vector<WorkloadKey> reported_services;
  bool is_quarantined = false;
  /// False for a worker known only from a task that runs there, or removed
  /// while tasks were still running.
  bool is_known = false;

  Resources FreeCapacity() const { return info.capacity - total_allocated; }

  /// Free capacity less the part of the reservations that the tasks being
  /// evicted will not cover.
  Resources UsableCapacity() const;

  bool IsSchedulable() const {
    return is_known && info.accepts_tasks && !is_quarantined;
  }
};

/// The workers and the tasks running on them, with indexes over both.
class Cluster {
 public:
  /// Called with a worker whose usable capacity may have increased.
  using CapacityListener =
      std::function<void(WorkerIndex, const Worker& worker)>;

  explicit Cluster(CapacityListener listener)
      : m_capacity_listener(std::move(listener)) {}

  WorkerIndex Upsert(const WorkerInfo& info);
  void Remove(const NodeId& node);
  std::optional<WorkerIndex> Find(const NodeId& node) const;

  /// Returns the worker's index, adding an unknown worker without capacity.
  WorkerIndex FindOrAdd(const NodeId& node);

  const Worker& worker(WorkerIndex index) const { return m_workers[index]; }

  /// Size of the worker table, including unused entries (`is_known` is false).
  size_t worker_slots() const { return m_workers.size(); }

  /// Allocates `task.allocated` on the worker `task.worker`.
  void AddTask(const RunningTask& task);
  void RemoveTask(TaskId task);
  RunningTask* FindTask(TaskId task);
  const RunningTask* FindTask(TaskId task) const;
  size_t task_count() const { return m_tasks.size(); }
  size_t batch_task_count() const { return m_batch_tasks; }

  /// Replaces the allocated size of a running task.
  void UpdateAllocation(RunningTask& task, const Resources& allocated);

  /// Marks a running task as being evicted.
  void MarkEvicting(RunningTask& task);

  /// Reserves capacity of a worker, or removes the reservation.
  void AddReservation(WorkerIndex worker, const Resources& need);
  void RemoveReservation(WorkerIndex worker, const Resources& need);

  void SetQuarantined(WorkerIndex worker, bool is_quarantined);

  /// Counts a service that runs on the worker but is not a scheduled task.
  void AddReportedService(WorkerIndex worker, WorkloadKey service);

  /// Usable capacity of the schedulable workers of a data centre.
  const FreeCapacityIndex& free_capacity_index(uint32_t data_centre) const {
    return m_free_by_data_centre[data_centre];
  }
  /// Sum of usable and evictable capacity of the schedulable workers.
  const FreeCapacityIndex& evictable_index() const { return m_evictable; }
  uint32_t data_centre_count() const {
    return static_cast<uint32_t>(m_free_by_data_centre.size());
  }

  /// Number of tasks with this spread key in a data centre or rack.
  uint32_t CountInDataCentre(uint64_t spread_key, uint32_t data_centre) const;
  uint32_t CountInRack(uint64_t spread_key, uint32_t rack) const;

  /// Tasks with the same key are spread over racks and data centres: those of
  /// one kernel or service workload, and those of one batch job.
  static uint64_t SpreadKey(const JobSpec& spec,
                            JobId job,
                            WorkloadKey workload) {
    return spec.kind == TaskKind::kBatch ? job : workload;
  }

  /// Whether the size fits the total capacity of some known worker.
  bool FitsSomeCapacity(const Resources& size) const;

  /// Reduces `size` to the capacity of a worker that fits `requested`, so that
  /// an estimate never makes a task unplaceable.
  Resources ClampToCapacity(const Resources& size,
                            const Resources& requested) const;

  const Resources& total_capacity() const { return m_total; }

  /// Incremented whenever the set of distinct worker capacities changes.
  uint64_t capacity_version() const { return m_capacity_version; }
  size_t known_worker_count() const { return m_known_workers; }

 private:
  using CapacityKey = std::tuple<int64_t, int64_t, int64_t>;

  void CountCapacity(const Resources& capacity, int change);
  void CountSpread(const RunningTask& task, int change);
  /// Limit of the services of one worker that are known from reports alone.
  static constexpr size_t kMaxReportedServices = 16;

  void CountLatencySensitive(Worker& worker, WorkloadKey workload, int change);
  void UpdateIndexes(WorkerIndex index);
  void NotifyCapacityIncrease(WorkerIndex index);
  uint32_t Intern(std::unordered_map<std::string, uint32_t>& names,
                  const std::string& name);

  CapacityListener m_capacity_listener;
  std::vector<Worker> m_workers;
  std::vector<WorkerIndex> m_unused;
  std::unordered_map<NodeId, WorkerIndex> m_by_node;
  std::unordered_map<std::string, uint32_t> m_data_centres;
  std::unordered_map<std::string, uint32_t> m_racks;
  std::vector<FreeCapacityIndex> m_free_by_data_centre;
  FreeCapacityIndex m_evictable;
  std::unordered_map<TaskId, RunningTask> m_tasks;
  size_t m_batch_tasks = 0;
  std::unordered_map<uint64_t, uint32_t> m_spread;
  // Number of workers of each distinct capacity.
  std::map<CapacityKey, size_t> m_capacities;
  Resources m_total;
  uint64_t m_capacity_version = 0;
  size_t m_known_workers = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_PLACEMENT_CLUSTER_H_
