#include "source/placement/cluster.h"

#include <algorithm>
#include <utility>

namespace fulmarrock {
namespace {

// Separates the indexes of racks from those of data centres in spread keys.
constexpr uint64_t kRackBit = uint64_t{1} << 32;

uint64_t Mix(uint64_t spread_key, uint64_t location) {
  uint64_t mixed = spread_key * 0x9E3779B97F4A7C15u ^ (location + 1);
  mixed = (mixed ^ (mixed >> 29)) * 0xBF58476D1CE4E5B9u;
  return mixed ^ (mixed >> 32);
}

void AddCount(std::unordered_map<uint64_t, uint32_t>& counts,
              uint64_t key,
              int change) {
  const auto it = counts.try_emplace(key, 0).first;
  it->second += static_cast<uint32_t>(change);
  if (it->second == 0)
    counts.erase(it);
}

uint32_t GetCount(const std::unordered_map<uint64_t, uint32_t>& counts,
                  uint64_t key) {
  const auto it = counts.find(key);
  return it == counts.end() ? 0 : it->second;
}

Resources FromKey(const std::tuple<int64_t, int64_t, int64_t>& key) {
  return {std::get<0>(key), std::get<1>(key), std::get<2>(key)};
}

}  // namespace

Resources Worker::UsableCapacity() const {
  const Resources free = FreeCapacity();
  const Resources unreserved = free + evicting - reserved;
  return {std::min(free.cpu_millicores, unreserved.cpu_millicores),
          std::min(free.memory_mib, unreserved.memory_mib),
          std::min(free.accelerators, unreserved.accelerators)};
}

WorkerIndex Cluster::FindOrAdd(const NodeId& node) {
  const auto it = m_by_node.find(node);
  if (it != m_by_node.end())
    return it->second;
  WorkerIndex index = 0;
  if (m_unused.empty()) {
    index = static_cast<WorkerIndex>(m_workers.size());
    m_workers.emplace_back();
  } else {
    index = m_unused.back();
    m_unused.pop_back();
    m_workers[index] = Worker();
  }
  m_workers[index].info.node = node;
  m_workers[index].info.accepts_tasks = false;
  m_by_node.emplace(node, index);
  return index;
}

std::optional<WorkerIndex> Cluster::Find(const NodeId& node) const {
  const auto it = m_by_node.find(node);
  if (it == m_by_node.end())
    return std::nullopt;
  return it->second;
}

WorkerIndex Cluster::Upsert(const WorkerInfo& info) {
  const WorkerIndex index = FindOrAdd(info.node);
  for (const RunningTask* task : m_workers[index].tasks)
    CountSpread(*task, -1);
  if (m_workers[index].is_known) {
    CountCapacity(m_workers[index].info.capacity, -1);
    m_free_by_data_centre[m_workers[index].data_centre].Remove(index);
  }
  Worker& worker = m_workers[index];
  worker.info = info;
  worker.data_centre = Intern(m_data_centres, info.data_centre);
  worker.rack = Intern(m_racks, info.data_centre + "/" + info.rack);
  worker.is_known = true;
  if (worker.data_centre >= m_free_by_data_centre.size())
    m_free_by_data_centre.resize(worker.data_centre + 1);
  CountCapacity(info.capacity, 1);
  for (const RunningTask* task : worker.tasks)
    CountSpread(*task, 1);
  UpdateIndexes(index);
  NotifyCapacityIncrease(index);
  return index;
}

void Cluster::Remove(const NodeId& node) {
  const auto it = m_by_node.find(node);
  if (it == m_by_node.end())
    return;
  const WorkerIndex index = it->second;
  Worker& worker = m_workers[index];
  if (worker.is_known)
    CountCapacity(worker.info.capacity, -1);
  worker.is_known = false;
  for (const WorkloadKey service : std::exchange(worker.reported_services, {}))
    CountLatencySensitive(worker, service, -1);
  UpdateIndexes(index);
  // A worker with running tasks is kept until the last one is released.
  if (!worker.tasks.empty())
    return;
  m_by_node.erase(it);
  m_unused.push_back(index);
}

void Cluster::AddTask(const RunningTask& task) {
  const auto [it, is_new] = m_tasks.emplace(task.task, task);
  if (!is_new)
    return;
  RunningTask& running = it->second;
  Worker& worker = m_workers[running.worker];
  running.offset = worker.tasks.size();
  worker.tasks.push_back(&running);
  worker.total_allocated += running.allocated;
  if (running.IsEvictable()) {
    worker.evictable += running.allocated;
    ++m_batch_tasks;
  }
  if (running.spec->kind != TaskKind::kBatch)
    CountLatencySensitive(worker, running.workload, 1);
  CountSpread(running, 1);
  UpdateIndexes(running.worker);
}

void Cluster::RemoveTask(TaskId task) {
  const auto it = m_tasks.find(task);
  if (it == m_tasks.end())
    return;
  const RunningTask& running = it->second;
  const WorkerIndex index = running.worker;
  Worker& worker = m_workers[index];
  worker.tasks[running.offset] = worker.tasks.back();
  worker.tasks[running.offset]->offset = running.offset;
  worker.tasks.pop_back();
  worker.total_allocated -= running.allocated;
  if (running.IsEvictable()) {
    (running.is_evicting ? worker.evicting : worker.evictable) -=
        running.allocated;
    --m_batch_tasks;
  }
  if (running.spec->kind != TaskKind::kBatch)
    CountLatencySensitive(worker, running.workload, -1);
  CountSpread(running, -1);
  m_tasks.erase(it);
  if (!worker.is_known && worker.tasks.empty()) {
    m_by_node.erase(worker.info.node);
    m_unused.push_back(index);
    return;
  }
  UpdateIndexes(index);
  NotifyCapacityIncrease(index);
}

RunningTask* Cluster::FindTask(TaskId task) {
  const auto it = m_tasks.find(task);
  return it == m_tasks.end() ? nullptr : &it->second;
}

const RunningTask* Cluster::FindTask(TaskId task) const {
  const auto it = m_tasks.find(task);
  return it == m_tasks.end() ? nullptr : &it->second;
}

void Cluster::UpdateAllocation(RunningTask& task, const Resources& allocated) {
  Worker& worker = m_workers[task.worker];
  const bool frees_capacity = !task.allocated.FitsIn(allocated);
  worker.total_allocated += allocated - task.allocated;
  if (task.IsEvictable())
    (task.is_evicting ? worker.evicting : worker.evictable) +=
        allocated - task.allocated;
  task.allocated = allocated;
  UpdateIndexes(task.worker);
  if (frees_capacity)
    NotifyCapacityIncrease(task.worker);
}

void Cluster::MarkEvicting(RunningTask& task) {
  if (task.is_evicting || !task.IsEvictable())
    return;
  task.is_evicting = true;
  Worker& worker = m_workers[task.worker];
  worker.evictable -= task.allocated;
  worker.evicting += task.allocated;
  UpdateIndexes(task.worker);
  NotifyCapacityIncrease(task.worker);
}

void Cluster::AddReservation(WorkerIndex worker, const Resources& need) {
  m_workers[worker].reserved += need;
  UpdateIndexes(worker);
}

void Cluster::RemoveReservation(WorkerIndex worker, const Resources& need) {
  m_workers[worker].reserved -= need;
  UpdateIndexes(worker);
  NotifyCapacityIncrease(worker);
}

void Cluster::SetQuarantined(WorkerIndex worker, bool is_quarantined) {
  m_workers[worker].is_quarantined = is_quarantined;
  UpdateIndexes(worker);
  NotifyCapacityIncrease(worker);
}

uint32_t Cluster::CountInDataCentre(uint64_t spread_key,
                                    uint32_t data_centre) const {
  return GetCount(m_spread, Mix(spread_key, data_centre));
}

uint32_t Cluster::CountInRack(uint64_t spread_key, uint32_t rack) const {
  return GetCount(m_spread, Mix(spread_key, rack | kRackBit));
}

bool Cluster::FitsSomeCapacity(const Resources& size) const {
  return std::any_of(
      m_capacities.begin(), m_capacities.end(),
      [&](const auto& entry) { return size.FitsIn(FromKey(entry.first)); });
}

Resources Cluster::ClampToCapacity(const Resources& size,
                                   const Resources& requested) const {
  if (FitsSomeCapacity(size))
    return size;
  // The keys are ordered by CPU, so the first fit from the end has the most.
  for (auto it = m_capacities.rbegin(); it != m_capacities.rend(); ++it) {
    const Resources capacity = FromKey(it->first);
    if (requested.FitsIn(capacity)) {
      return {std::min(size.cpu_millicores, capacity.cpu_millicores),
              std::min(size.memory_mib, capacity.memory_mib),
              size.accelerators};
    }
  }
  return requested;
}

void Cluster::CountCapacity(const Resources& capacity, int change) {
  const CapacityKey key{capacity.cpu_millicores, capacity.memory_mib,
                        capacity.accelerators};
  size_t& count = m_capacities[key];
  if (change > 0) {
    m_total += capacity;
    ++m_known_workers;
    if (++count == 1)
      ++m_capacity_version;
    return;
  }
  m_total -= capacity;
  --m_known_workers;
  if (--count == 0) {
    m_capacities.erase(key);
    ++m_capacity_version;
  }
}

void Cluster::CountSpread(const RunningTask& task, int change) {
  const uint64_t key = SpreadKey(*task.spec, task.task.job, task.workload);
  const Worker& worker = m_workers[task.worker];
  AddCount(m_spread, Mix(key, worker.data_centre), change);
  AddCount(m_spread, Mix(key, worker.rack | kRackBit), change);
}

void Cluster::AddReportedService(WorkerIndex index, WorkloadKey service) {
  Worker& worker = m_workers[index];
  const auto& counts = worker.latency_sensitive;
  const bool is_known =
      std::any_of(counts.begin(), counts.end(),
                  [&](const auto& item) { return item.first == service; });
  if (is_known || worker.reported_services.size() >= kMaxReportedServices)
    return;
  worker.reported_services.push_back(service);
  CountLatencySensitive(worker, service, 1);
}

void Cluster::CountLatencySensitive(Worker& worker,
                                    WorkloadKey workload,
                                    int change) {
  auto& counts = worker.latency_sensitive;
  auto it = std::find_if(counts.begin(), counts.end(), [&](const auto& item) {
    return item.first == workload;
  });
  if (it == counts.end())
    it = counts.emplace(counts.end(), workload, 0);
  it->second += static_cast<uint32_t>(change);
  if (it->second == 0)
    counts.erase(it);
}

void Cluster::UpdateIndexes(WorkerIndex index) {
  const Worker& worker = m_workers[index];
  if (worker.data_centre >= m_free_by_data_centre.size())
    return;
  if (!worker.IsSchedulable()) {
    m_free_by_data_centre[worker.data_centre].Remove(index);
    m_evictable.Remove(index);
    return;
  }
  const Resources usable = worker.UsableCapacity();
  m_free_by_data_centre[worker.data_centre].Set(index, usable);
  m_evictable.Set(index, usable + worker.evictable);
}

void Cluster::NotifyCapacityIncrease(WorkerIndex index) {
  m_capacity_listener(index, m_workers[index]);
}

uint32_t Cluster::Intern(std::unordered_map<std::string, uint32_t>& names,
                         const std::string& name) {
  return names.emplace(name, static_cast<uint32_t>(names.size())).first->second;
}

}  // namespace fulmarrock
