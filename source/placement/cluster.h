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

#include "source/placement/free_index.h"
#include "source/placement/scheduler.h"
#include "source/placement/task_class.h"
#include "source/placement/workload_key.h"

namespace fulmarrock {

/// A task accounted on a worker.
struct RunningTask {
  TaskId task;
  const JobSpec* spec = nullptr;
  WorkerIndex worker = 0;
  /// Position in the worker's task list.
  size_t offset = 0;
  /// The larger of the declared and the measured size.
  Resources charged;
  WorkloadKey workload = 0;
  Millis since;
  Millis started;
  CustomerIndex customer = 0;
  TaskClass task_class = TaskClass::kBatch;
  bool is_evicting = false;

  /// Whether eviction may choose the task at all.
  bool IsEvictable() const { return task_class == TaskClass::kBatch; }
};

/// A worker with everything accounted on it.
struct Worker {
  WorkerInfo info;
  uint32_t data_centre = 0;
  uint32_t rack = 0;
  Resources used;
  /// Part of `used` that eviction could free.
  Resources evictable;
  /// Part of `used` that is being evicted.
  Resources evicting;
  /// Sum of the sizes of pending tasks that wait for this very worker.
  Resources reserved;
  std::vector<RunningTask*> tasks;
  /// Workloads of the kernels and services here, with their numbers.
  std::vector<std::pair<WorkloadKey, uint32_t>> sensitive;
  /// Services that only reports have shown here, counted in `sensitive` too.
  std::vector<WorkloadKey> reported_services;
  bool is_quarantined = false;
  /// False for a worker known only from a task that runs there, or removed
  /// while tasks still ran.
  bool is_known = false;

  Resources Free() const { return info.capacity - used; }

  /// Free capacity less what the reservations need beyond the tasks being
  /// evicted.
  Resources Usable() const;

  bool IsOpen() const {
    return is_known && info.accepts_tasks && !is_quarantined;
  }
};

/// The workers and the tasks accounted on them, with the indexes over both.
class Cluster {
 public:
  /// Called with a worker whose usable capacity may have grown.
  using GrowthListener = std::function<void(WorkerIndex, const Worker& worker)>;

  explicit Cluster(GrowthListener listener)
      : m_growth_listener(std::move(listener)) {}

  WorkerIndex Upsert(const WorkerInfo& info);
  void Remove(const NodeId& node);
  std::optional<WorkerIndex> Find(const NodeId& node) const;

  /// Returns the worker's index, adding an unknown worker without capacity.
  WorkerIndex FindOrAdd(const NodeId& node);

  const Worker& worker(WorkerIndex index) const { return m_workers[index]; }

  /// Size of the worker table; entries that are not known are to be skipped.
  size_t worker_slots() const { return m_workers.size(); }

  /// Adds a task; `task.worker` names its place.
  void AddTask(const RunningTask& task);
  void RemoveTask(TaskId task);
  RunningTask* FindTask(TaskId task);
  const RunningTask* FindTask(TaskId task) const;
  size_t task_count() const { return m_tasks.size(); }
  size_t batch_task_count() const { return m_batch_tasks; }

  /// Replaces the charged size of a running task.
  void Recharge(RunningTask& task, const Resources& charged);

  /// Marks a running task as being evicted.
  void MarkEvicting(RunningTask& task);

  /// Holds capacity of a worker for a pending task, or stops holding it.
  void AddReservation(WorkerIndex worker, const Resources& need);
  void RemoveReservation(WorkerIndex worker, const Resources& need);

  void SetQuarantined(WorkerIndex worker, bool is_quarantined);

  /// Counts a service that runs on the worker without being a task.
  void AddReportedService(WorkerIndex worker, WorkloadKey service);

  /// Usable capacity of the open workers of a data centre.
  const FreeIndex& free_index(uint32_t data_centre) const {
    return m_free[data_centre];
  }
  /// Usable and evictable capacity together, of the open workers.
  const FreeIndex& evictable_index() const { return m_evictable; }
  uint32_t data_centre_count() const {
    return static_cast<uint32_t>(m_free.size());
  }

  /// Number of tasks with this spread key in a data centre or rack.
  uint32_t CountInDataCentre(uint64_t spread_key, uint32_t data_centre) const;
  uint32_t CountInRack(uint64_t spread_key, uint32_t rack) const;

  /// Tasks with the same key are spread: those of one kernel or service
  /// workload, and those of one batch job.
  static uint64_t SpreadKey(const JobSpec& spec,
                            JobId job,
                            WorkloadKey workload) {
    return spec.kind == TaskKind::kBatch ? job : workload;
  }

  /// Whether the size fits a known worker that runs nothing else.
  bool FitsSomeCapacity(const Resources& size) const;

  /// Cuts `size` down to a worker that holds `declared`, so that an estimate
  /// never makes a task unplaceable.
  Resources ClampToCapacity(const Resources& size,
                            const Resources& declared) const;

  const Resources& total_capacity() const { return m_total; }

  /// Grows whenever the set of distinct worker capacities changes.
  uint64_t capacity_version() const { return m_capacity_version; }
  size_t known_worker_count() const { return m_known_workers; }

 private:
  using CapacityKey = std::tuple<int64_t, int64_t, int64_t>;

  void CountCapacity(const Resources& capacity, int change);
  void CountSpread(const RunningTask& task, int change);
  /// Services of one worker that are known from reports alone.
  static constexpr size_t kMaxReportedServices = 16;

  void CountSensitive(Worker& worker, WorkloadKey workload, int change);
  void UpdateIndexes(WorkerIndex index);
  void NotifyGrowth(WorkerIndex index);
  uint32_t Intern(std::unordered_map<std::string, uint32_t>& names,
                  const std::string& name);

  GrowthListener m_growth_listener;
  std::vector<Worker> m_workers;
  std::vector<WorkerIndex> m_unused;
  std::unordered_map<NodeId, WorkerIndex> m_by_node;
  std::unordered_map<std::string, uint32_t> m_data_centres;
  std::unordered_map<std::string, uint32_t> m_racks;
  std::vector<FreeIndex> m_free;
  FreeIndex m_evictable;
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
