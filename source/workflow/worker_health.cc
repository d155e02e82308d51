#include "source/workflow/worker_health.h"

#include <algorithm>

namespace fulmarrock {
namespace {

/// Number of workflows with failures, without a success between them, at which
/// a worker is quarantined.
constexpr size_t kFailedWorkflowsForQuarantine = 2;

/// Number of workers with failures of a workflow at which the workflow itself
/// counts as faulty.
constexpr size_t kFailingWorkersForFaultyWorkflow = 2;

constexpr Millis kInitialQuarantineTime{1'500};
constexpr Millis kMaxQuarantineTime{12'000};

/// Time for which a long-running task has to run as a probe.
constexpr Millis kLongProbeTime{2'000};

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
    Quarantine(record, now);
    return;
  }
  if (workers.size() >= kFailingWorkersForFaultyWorkflow)
    return;
  record.failed.insert(task.workflow);
  if (!record.is_quarantined &&
      record.failed.size() >= kFailedWorkflowsForQuarantine)
    Quarantine(record, now);
}

void WorkerHealth::Quarantine(Record& record, Millis now) {
  record.is_quarantined = true;
  record.quarantine_time =
      record.quarantine_time == Millis(0)
          ? kInitialQuarantineTime
          : std::min(record.quarantine_time * 2, kMaxQuarantineTime);
  record.quarantined_until = now + record.quarantine_time;
}

void WorkerHealth::OnAssigned(WorkerNumber worker,
                              const TaskName& task,
                              bool is_long_running,
                              Millis now) {
  const auto it = m_records.find(worker);
  if (it == m_records.end() || !it->second.is_quarantined)
    return;
  it->second.is_probing = true;
  it->second.probe = task;
  it->second.probe_ends_at.reset();
  if (is_long_running)
    it->second.probe_ends_at = now + kLongProbeTime;
}

void WorkerHealth::OnNeutralEnd(WorkerNumber worker, const TaskName& task) {
  const auto it = m_records.find(worker);
  if (it != m_records.end() && it->second.probe == task)
    it->second.is_probing = false;
}

void WorkerHealth::EndLongProbes(Millis now) {
  std::erase_if(m_records, [now](const auto& item) {
    const Record& record = item.second;
    return record.is_quarantined && record.is_probing && record.probe_ends_at &&
           now >= *record.probe_ends_at;
  });
}

void WorkerHealth::OnWorkflowEnded(WorkflowKey workflow) {
  m_failures.erase(workflow);
}

bool WorkerHealth::IsUsable(WorkerNumber worker, Millis now) const {
  const auto it = m_records.find(worker);
  if (it == m_records.end() || !it->second.is_quarantined)
    return true;
  return !it->second.is_probing && now >= it->second.quarantined_until;
}

bool WorkerHealth::IsQuarantined(WorkerNumber worker) const {
  const auto it = m_records.find(worker);
  return it != m_records.end() && it->second.is_quarantined;
}

bool WorkerHealth::IsHealthy(WorkerNumber worker) const {
  const auto it = m_records.find(worker);
  return it == m_records.end() ||
         (!it->second.is_quarantined && it->second.failed.empty());
}

bool WorkerHealth::HasFailed(const TaskName& task) const {
  const auto workflow = m_failures.find(task.workflow);
  return workflow != m_failures.end() && workflow->second.contains(task);
}

bool WorkerHealth::HasFailedOn(const TaskName& task,
                               WorkerNumber worker) const {
  const auto workflow = m_failures.find(task.workflow);
  if (workflow == m_failures.end())
    return false;
  const auto it = workflow->second.find(task);
  return it != workflow->second.end() && it->second.contains(worker);
}

int64_t WorkerHealth::CountQuarantined() const {
  return std::count_if(
      m_records.begin(), m_records.end(),
      [](const auto& item) { return item.second.is_quarantined; });
}

}  // namespace fulmarrock
