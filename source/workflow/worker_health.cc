#include "source/workflow/worker_health.h"

#include <algorithm>

namespace fulmarrock {
namespace {

/// Workflows whose runs fail in a row before the worker is set aside.
constexpr size_t kFailuresInARow = 2;

/// Workers on which a workflow fails before it counts as broken itself.
constexpr size_t kWorkersOfBrokenWorkflow = 2;

constexpr Millis kFirstPause{1'500};
constexpr Millis kLongestPause{12'000};

}  // namespace

void WorkerHealth::Clear() {
  m_records.clear();
  m_failures.clear();
}

void WorkerHealth::Remove(WorkerNumber worker) {
  m_records.erase(worker);
}

void WorkerHealth::OnSuccess(WorkerNumber worker, Millis) {
  m_records.erase(worker);
}

void WorkerHealth::OnFailure(WorkerNumber worker,
                             const TaskName& task,
                             Millis now) {
  auto& by_task = m_failures[task.workflow];
  by_task[task].insert(worker);
  std::set<WorkerNumber> workers;
  for (const auto& [name, failed_on] : by_task)
    workers.insert(failed_on.begin(), failed_on.end());
  Record& record = m_records[worker];
  const bool was_probe = record.is_probing && record.probe == task;
  if (was_probe) {
    record.is_probing = false;
    SetAside(record, now);
    return;
  }
  if (workers.size() >= kWorkersOfBrokenWorkflow)
    return;
  record.failed.insert(task.workflow);
  if (!record.is_aside && record.failed.size() >= kFailuresInARow)
    SetAside(record, now);
}

void WorkerHealth::SetAside(Record& record, Millis now) {
  record.is_aside = true;
  record.pause = record.pause == Millis(0)
                     ? kFirstPause
                     : std::min(record.pause * 2, kLongestPause);
  record.aside_until = now + record.pause;
}

void WorkerHealth::OnAssigned(WorkerNumber worker, const TaskName& task) {
  const auto it = m_records.find(worker);
  if (it == m_records.end() || !it->second.is_aside)
    return;
  it->second.is_probing = true;
  it->second.probe = task;
}

void WorkerHealth::OnNeutralEnd(WorkerNumber worker, const TaskName& task) {
  const auto it = m_records.find(worker);
  if (it != m_records.end() && it->second.probe == task)
    it->second.is_probing = false;
}

void WorkerHealth::OnWorkflowEnded(WorkflowKey workflow) {
  m_failures.erase(workflow);
}

bool WorkerHealth::IsUsable(WorkerNumber worker, Millis now) const {
  const auto it = m_records.find(worker);
  if (it == m_records.end() || !it->second.is_aside)
    return true;
  return !it->second.is_probing && now >= it->second.aside_until;
}

bool WorkerHealth::IsAside(WorkerNumber worker) const {
  const auto it = m_records.find(worker);
  return it != m_records.end() && it->second.is_aside;
}

bool WorkerHealth::IsTrusted(WorkerNumber worker) const {
  const auto it = m_records.find(worker);
  return it == m_records.end() ||
         (!it->second.is_aside && it->second.failed.empty());
}

bool WorkerHealth::HasFailedOn(const TaskName& task,
                               WorkerNumber worker) const {
  const auto workflow = m_failures.find(task.workflow);
  if (workflow == m_failures.end())
    return false;
  const auto it = workflow->second.find(task);
  return it != workflow->second.end() && it->second.contains(worker);
}

}  // namespace fulmarrock
