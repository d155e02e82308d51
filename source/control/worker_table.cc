#include "source/control/worker_table.h"

#include <algorithm>
#include <utility>

#include "source/message/lease.h"

namespace fulmarrock {
namespace {

// An announcement that is delayed by more restarts than this is not expected.
constexpr size_t kPastIncarnations = 8;

bool Remove(std::vector<TaskId>& tasks, TaskId task) {
  const auto it = std::find(tasks.begin(), tasks.end(), task);
  if (it == tasks.end())
    return false;
  *it = tasks.back();
  tasks.pop_back();
  return true;
}

bool SetIfChanged(auto& field, const auto& value) {
  if (field == value)
    return false;
  field = value;
  return true;
}

}  // namespace

bool WorkerRecord::IsQuarantined() const {
  return failed_jobs.size() >= WorkerTable::kQuarantineJobs;
}

bool WorkerRecord::IsPastIncarnation(Incarnation other) const {
  return std::find(past_incarnations.begin(), past_incarnations.end(), other) !=
         past_incarnations.end();
}

WorkerTable::AnnounceResult WorkerTable::Announce(
    const AnnounceCommand& command) {
  const WorkerAnnounce& announce = command.announce;
  WorkerIndex index = Find(command.node);
  if (index == kNoWorker && m_by_node.size() >= kMaxWorkers)
    return AnnounceResult::kRefused;
  if (index == kNoWorker)
    index = Add(command.node);
  WorkerRecord& worker = m_workers[index];
  if (worker.IsPastIncarnation(announce.incarnation) &&
      !command.accepts_past_incarnation)
    return AnnounceResult::kRefused;
  const bool is_restart = worker.incarnation != announce.incarnation;
  if (is_restart && worker.incarnation != 0) {
    auto& past = worker.past_incarnations;
    std::erase(past, announce.incarnation);
    past.push_back(worker.incarnation);
    if (past.size() > kPastIncarnations)
      past.erase(past.begin());
    worker.orphans.insert(worker.orphans.end(), worker.tasks.begin(),
                          worker.tasks.end());
    worker.tasks.clear();
    worker.digest = 0;
    worker.last_event_sequence = 0;
  }
  worker.incarnation = announce.incarnation;
  bool is_changed = SetIfChanged(worker.data_centre, announce.data_centre);
  is_changed |= SetIfChanged(worker.rack, announce.rack);
  is_changed |= SetIfChanged(worker.address, announce.address);
  is_changed |= SetIfChanged(worker.capacity, announce.capacity);
  is_changed |= SetIfChanged(worker.is_draining_by_agent, announce.is_draining);
  if (is_restart)
    return AnnounceResult::kRestarted;
  return is_changed ? AnnounceResult::kUpdated : AnnounceResult::kUnchanged;
}

bool WorkerTable::RemoveWorker(WorkerIndex index, Incarnation incarnation) {
  const WorkerRecord* worker = Get(index);
  if (!worker || worker->incarnation != incarnation || worker->HasTasks())
    return false;
  m_by_node.erase(worker->node);
  m_workers[index] = WorkerRecord();
  return true;
}

void WorkerTable::Assign(WorkerIndex index,
                         TaskId task,
                         Epoch epoch,
                         const Resources& resources,
                         bool is_orphan) {
  WorkerRecord* worker = GetMutable(index);
  if (!worker)
    return;
  worker->used += resources;
  if (is_orphan) {
    worker->orphans.push_back(task);
    return;
  }
  worker->tasks.push_back(task);
  worker->digest += LeaseDigest(task, epoch);
}

void WorkerTable::Unassign(WorkerIndex index,
                           TaskId task,
                           Epoch epoch,
                           const Resources& resources) {
  WorkerRecord* worker = GetMutable(index);
  if (!worker)
    return;
  if (Remove(worker->tasks, task))
    worker->digest -= LeaseDigest(task, epoch);
  else if (!Remove(worker->orphans, task))
    return;
  worker->used -= resources;
}

bool WorkerTable::CountAttempt(WorkerIndex index, JobId job, bool has_failed) {
  WorkerRecord* worker = GetMutable(index);
  if (!worker)
    return false;
  const bool was_quarantined = worker->IsQuarantined();
  std::vector<JobId>& jobs = worker->failed_jobs;
  if (!has_failed)
    jobs.clear();
  else if (jobs.size() < kQuarantineJobs &&
           std::find(jobs.begin(), jobs.end(), job) == jobs.end())
    jobs.push_back(job);
  return worker->IsQuarantined() != was_quarantined;
}

const WorkerRecord* WorkerTable::Get(WorkerIndex index) const {
  if (index >= m_workers.size() || m_workers[index].node.empty())
    return nullptr;
  return &m_workers[index];
}

WorkerRecord* WorkerTable::GetMutable(WorkerIndex index) {
  return const_cast<WorkerRecord*>(std::as_const(*this).Get(index));
}

WorkerIndex WorkerTable::Find(std::string_view node) const {
  const auto it = m_by_node.find(NodeId(node));
  return it == m_by_node.end() ? kNoWorker : it->second;
}

void WorkerTable::Restore(std::vector<WorkerRecord> workers) {
  m_workers = std::move(workers);
  m_by_node.clear();
  for (WorkerIndex i = 0; i < index_count(); ++i) {
    if (!m_workers[i].node.empty())
      m_by_node.emplace(m_workers[i].node, i);
  }
}

WorkerIndex WorkerTable::Add(const NodeId& node) {
  const bool has_free = m_by_node.size() < m_workers.size();
  auto it = m_workers.end();
  if (has_free) {
    it = std::find_if(m_workers.begin(), m_workers.end(),
                      [](const auto& worker) { return worker.node.empty(); });
  }
  const auto index = static_cast<WorkerIndex>(it - m_workers.begin());
  if (it == m_workers.end())
    m_workers.emplace_back();
  m_workers[index].node = node;
  m_by_node.emplace(node, index);
  return index;
}

}  // namespace fulmarrock
