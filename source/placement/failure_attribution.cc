#include "source/placement/failure_attribution.h"

#include <algorithm>
#include <utility>

namespace fulmarrock {
namespace {

// A worker is quarantined when this many distinct jobs have failed on it
// without a success in between.
constexpr size_t kMinFailingJobs = 3;

// A job is at fault itself when it has failed on this many distinct workers.
// Equal to the default number of attempts of a task.
constexpr size_t kMinFailingWorkers = 3;

constexpr Millis kFirstProbeDelay = Millis::FromSeconds(30);
constexpr Millis kMaxProbeDelay = Millis::FromSeconds(600);

// Limit of the failing jobs that are tracked.
constexpr size_t kMaxJobs = 10'000;

}  // namespace

void DistinctFailureAttribution::RecordFailure(WorkerIndex worker,
                                               JobId job,
                                               Millis now) {
  JobRecord& job_record = m_jobs[job];
  job_record.failing_workers.insert(worker);
  job_record.last_failure = now;
  if (job_record.failing_workers.size() >= kMinFailingWorkers)
    AttributeToJob(job, job_record);
  if (m_jobs.size() > kMaxJobs)
    DropOldestJob();

  WorkerRecord& record = m_workers[worker];
  if (record.is_quarantined) {
    record.probe_delay = std::min(record.probe_delay * 2, kMaxProbeDelay);
    record.next_probe = now + record.probe_delay;
    return;
  }
  if (IsJobAtFault(job))
    return;
  record.failing_jobs.insert(job);
  if (record.failing_jobs.size() < kMinFailingJobs)
    return;
  record.is_quarantined = true;
  record.probe_delay = kFirstProbeDelay;
  record.next_probe = now + kFirstProbeDelay;
  m_quarantined.insert(worker);
  m_changes.push_back(worker);
}

void DistinctFailureAttribution::RecordSuccess(WorkerIndex worker, JobId job) {
  m_jobs.erase(job);
  const auto it = m_workers.find(worker);
  if (it == m_workers.end())
    return;
  EndQuarantine(worker, it->second);
  m_workers.erase(it);
}

std::vector<WorkerIndex> DistinctFailureAttribution::TakeChanges() {
  return std::exchange(m_changes, {});
}

bool DistinctFailureAttribution::IsQuarantined(WorkerIndex worker) const {
  return m_quarantined.contains(worker);
}

bool DistinctFailureAttribution::IsJobAtFault(JobId job) const {
  const auto it = m_jobs.find(job);
  return it != m_jobs.end() &&
         it->second.failing_workers.size() >= kMinFailingWorkers;
}

bool DistinctFailureAttribution::HasFailed(WorkerIndex worker,
                                           JobId job) const {
  const auto it = m_jobs.find(job);
  return it != m_jobs.end() && it->second.failing_workers.contains(worker);
}

std::vector<WorkerIndex> DistinctFailureAttribution::DueProbes(
    Millis now) const {
  std::vector<WorkerIndex> due;
  for (const WorkerIndex worker : m_quarantined) {
    if (m_workers.find(worker)->second.next_probe <= now)
      due.push_back(worker);
  }
  return due;
}

void DistinctFailureAttribution::OnProbeStarted(WorkerIndex worker,
                                                Millis now) {
  const auto it = m_workers.find(worker);
  if (it != m_workers.end())
    it->second.next_probe = now + kMaxProbeDelay;
}

void DistinctFailureAttribution::RemoveWorkerRecord(WorkerIndex worker) {
  m_workers.erase(worker);
  m_quarantined.erase(worker);
  for (auto& [job, record] : m_jobs)
    record.failing_workers.erase(worker);
  std::erase(m_changes, worker);
}

void DistinctFailureAttribution::AttributeToJob(JobId job,
                                                const JobRecord& record) {
  for (const WorkerIndex worker : record.failing_workers) {
    const auto it = m_workers.find(worker);
    if (it == m_workers.end() || it->second.failing_jobs.erase(job) == 0)
      continue;
    if (it->second.failing_jobs.size() < kMinFailingJobs)
      EndQuarantine(worker, it->second);
  }
}

void DistinctFailureAttribution::EndQuarantine(WorkerIndex worker,
                                               WorkerRecord& record) {
  if (!record.is_quarantined)
    return;
  record.is_quarantined = false;
  m_quarantined.erase(worker);
  m_changes.push_back(worker);
}

void DistinctFailureAttribution::DropOldestJob() {
  const auto oldest = std::min_element(
      m_jobs.begin(), m_jobs.end(), [](const auto& left, const auto& right) {
        return left.second.last_failure < right.second.last_failure;
      });
  m_jobs.erase(oldest);
}

}  // namespace fulmarrock
