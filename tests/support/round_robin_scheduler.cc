#include "tests/support/round_robin_scheduler.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace fulmarrock::test {

void RoundRobinScheduler::Clear() {
  m_workers.clear();
  m_index.clear();
  m_pending.clear();
  m_running.clear();
  m_unplaceable.clear();
  m_next_worker = 0;
}

void RoundRobinScheduler::UpsertWorker(const WorkerInfo& worker) {
  const auto [it, is_new] = m_index.emplace(worker.node, m_workers.size());
  if (is_new)
    m_workers.emplace_back();
  m_workers[it->second].info = worker;
}

void RoundRobinScheduler::RemoveWorker(const NodeId& worker) {
  const auto it = m_index.find(worker);
  if (it == m_index.end())
    return;
  m_workers[it->second].info.accepts_tasks = false;
  m_workers[it->second].info.capacity = Resources();
}

void RoundRobinScheduler::Enqueue(const PendingTask& task) {
  if (m_running.contains(task.task))
    throw std::logic_error("a running task is enqueued");
  m_pending.push_back(task);
}

void RoundRobinScheduler::RemovePending(TaskId task) {
  std::erase_if(m_pending, [task](const auto& p) { return p.task == task; });
}

void RoundRobinScheduler::AddRunning(const PendingTask& task,
                                     const NodeId& worker,
                                     Millis) {
  const size_t index = m_index.at(worker);
  m_running[task.task] = {index, task.spec->resources};
  m_workers[index].total_allocated += task.spec->resources;
}

void RoundRobinScheduler::Release(TaskId task, AttemptResult, Millis) {
  const auto it = m_running.find(task);
  if (it == m_running.end())
    throw std::logic_error("a task that does not run is released");
  m_workers[it->second.worker].total_allocated -= it->second.resources;
  m_running.erase(it);
}

std::vector<Placement> RoundRobinScheduler::Schedule(size_t limit, Millis) {
  std::vector<Placement> placements;
  while (!m_pending.empty() && placements.size() < limit) {
    if (!Place(m_pending.front(), placements))
      break;
    m_pending.pop_front();
  }
  return placements;
}

bool RoundRobinScheduler::Place(const PendingTask& task,
                                std::vector<Placement>& placements) {
  const Resources& wanted = task.spec->resources;
  bool could_ever_fit = false;
  for (size_t i = 0; i < m_workers.size(); ++i) {
    Worker& worker = m_workers[m_next_worker++ % m_workers.size()];
    could_ever_fit |= wanted.FitsIn(worker.info.capacity);
    if (!worker.info.accepts_tasks ||
        !(worker.total_allocated + wanted).FitsIn(worker.info.capacity))
      continue;
    worker.total_allocated += wanted;
    m_running[task.task] = {m_index.at(worker.info.node), wanted};
    placements.push_back({task.task, worker.info.node});
    return true;
  }
  if (could_ever_fit || m_workers.empty())
    return false;
  m_unplaceable.push_back({task.task, "no worker is large enough"});
  return true;
}

std::vector<Eviction> RoundRobinScheduler::ChooseEvictions(Millis) {
  std::vector<Eviction> evictions;
  for (const TaskId task : std::exchange(to_evict, {})) {
    if (m_running.contains(task))
      evictions.push_back({task, "test"});
  }
  return evictions;
}

std::vector<UnplaceableTask> RoundRobinScheduler::TakeUnplaceable() {
  return std::exchange(m_unplaceable, {});
}

}  // namespace fulmarrock::test
