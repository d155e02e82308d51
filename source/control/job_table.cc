#include "source/control/job_table.h"

#include <utility>

namespace fulmarrock {
namespace {

bool IsFinal(TaskState state) {
  return state == TaskState::kCompleted || state == TaskState::kFailed ||
         state == TaskState::kCancelled;
}

}  // namespace

std::string_view ToString(TaskState state) {
  switch (state) {
    case TaskState::kPending:
      return "pending";
    case TaskState::kRunning:
      return "running";
    case TaskState::kEvicting:
      return "evicting";
    case TaskState::kCancelling:
      return "cancelling";
    case TaskState::kCompleted:
      return "completed";
    case TaskState::kFailed:
      return "failed";
    case TaskState::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

uint32_t JobRecord::OpenCount() const {
  return Count(TaskState::kPending) + Count(TaskState::kRunning) +
         Count(TaskState::kEvicting) + Count(TaskState::kCancelling);
}

const std::string& JobRecord::Checkpoint(uint32_t index) const {
  static const std::string kNone;
  const auto it = task_details.find(index);
  return it == task_details.end() ? kNone : it->second.checkpoint;
}

JobRecord& JobTable::Add(const JobSpec& spec, Millis now) {
  JobRecord& job = m_jobs[++m_last_id];
  job.id = m_last_id;
  job.spec = spec;
  TaskRecord task;
  task.since = now;
  job.tasks.assign(spec.task_count, task);
  Count(job, TaskState::kPending, static_cast<int>(spec.task_count));
  return job;
}

JobRecord* JobTable::Find(JobId id) {
  const auto it = m_jobs.find(id);
  return it == m_jobs.end() ? nullptr : &it->second;
}

const JobRecord* JobTable::Find(JobId id) const {
  const auto it = m_jobs.find(id);
  return it == m_jobs.end() ? nullptr : &it->second;
}

TaskRecord* JobTable::FindTask(TaskId id) {
  return const_cast<TaskRecord*>(std::as_const(*this).FindTask(id));
}

const TaskRecord* JobTable::FindTask(TaskId id) const {
  const JobRecord* job = Find(id.job);
  return job && id.index < job->tasks.size() ? &job->tasks[id.index] : nullptr;
}

void JobTable::SetState(JobRecord& job,
                        uint32_t index,
                        TaskState state,
                        Millis now) {
  TaskRecord& task = job.tasks[index];
  Count(job, task.state, -1);
  Count(job, state, 1);
  task.state = state;
  task.since = now;
  if (IsFinal(state) && job.OpenCount() == 0) {
    m_finished.push_back({job.id, now});
    m_finished_tasks += job.tasks.size();
  }
}

void JobTable::Prune(Millis now) {
  while (!m_finished.empty()) {
    const FinishedJob& oldest = m_finished.front();
    if (m_finished_tasks <= kMaxFinishedTasks && oldest.time + kRetention > now)
      return;
    JobRecord& job = m_jobs.at(oldest.id);
    m_finished_tasks -= job.tasks.size();
    for (size_t i = 0; i < std::size(m_counts); ++i)
      m_counts[i] -= job.counts[i];
    m_jobs.erase(oldest.id);
    m_finished.pop_front();
  }
}

size_t JobTable::CountPendingTasks(std::string_view customer) const {
  const auto it = m_pending_by_customer.find(customer);
  return it == m_pending_by_customer.end() ? 0 : it->second;
}

JobTable::Snapshot JobTable::Save() const {
  Snapshot snapshot;
  snapshot.last_id = m_last_id;
  snapshot.finished.assign(m_finished.begin(), m_finished.end());
  snapshot.jobs.reserve(m_jobs.size());
  for (const auto& [id, job] : m_jobs) {
    JobSnapshot& saved = snapshot.jobs.emplace_back();
    saved.id = id;
    saved.spec = job.spec;
    saved.tasks = job.tasks;
    saved.reason = job.reason;
    for (const auto& [index, details] : job.task_details)
      saved.task_details.push_back(details);
  }
  return snapshot;
}

void JobTable::Restore(Snapshot snapshot) {
  *this = JobTable();
  m_last_id = snapshot.last_id;
  for (JobSnapshot& saved : snapshot.jobs) {
    JobRecord& job = m_jobs[saved.id];
    job.id = saved.id;
    job.spec = std::move(saved.spec);
    job.tasks = std::move(saved.tasks);
    job.reason = std::move(saved.reason);
    for (TaskDetails& details : saved.task_details)
      job.task_details.emplace(details.index, std::move(details));
    for (const TaskRecord& task : job.tasks)
      Count(job, task.state, 1);
  }
  for (const FinishedJob& finished : snapshot.finished) {
    const JobRecord* job = Find(finished.id);
    if (!job)
      continue;
    m_finished.push_back(finished);
    m_finished_tasks += job->tasks.size();
  }
}

void JobTable::Count(JobRecord& job, TaskState state, int amount) {
  const auto index = static_cast<size_t>(state);
  job.counts[index] += static_cast<uint32_t>(amount);
  m_counts[index] += static_cast<size_t>(amount);
  if (!IsFinal(state))
    m_open_count += static_cast<size_t>(amount);
  if (state != TaskState::kPending)
    return;
  const auto it = m_pending_by_customer.try_emplace(job.spec.customer, 0).first;
  it->second += static_cast<size_t>(amount);
  if (it->second == 0)
    m_pending_by_customer.erase(it);
}

}  // namespace fulmarrock
