#include "tests/support/fake_worker.h"

#include <utility>
#include <vector>

namespace fulmarrock::test {

void FakeWorker::ExtendLeases(Millis remaining) {
  m_lease_end = m_clock.Now() + remaining;
}

void FakeWorker::Start(const TaskGrant& grant) {
  if (m_tasks.contains(grant.task))
    ++duplicate_starts;
  Task& task = m_tasks[grant.task];
  task = Task();
  task.grant = grant;
  task.started = m_clock.Now();
  m_listener->OnTaskEvent(grant.task, TaskEventKind::kStarted, "", Millis(0));
}

void FakeWorker::Checkpoint(TaskId task) {
  const auto it = m_tasks.find(task);
  if (it == m_tasks.end())
    return;
  it->second.ending = TaskEventKind::kCheckpointed;
  it->second.ends_at = m_clock.Now() + m_stop_time;
}

void FakeWorker::Stop(TaskId task) {
  const auto it = m_tasks.find(task);
  if (it == m_tasks.end())
    return;
  it->second.ending = TaskEventKind::kStopped;
  it->second.ends_at = m_clock.Now() + m_stop_time;
}

void FakeWorker::Suspend(TaskId task) {
  if (const auto it = m_tasks.find(task); it != m_tasks.end())
    it->second.is_suspended = true;
}

void FakeWorker::Resume(TaskId task) {
  if (const auto it = m_tasks.find(task); it != m_tasks.end())
    it->second.is_suspended = false;
}

bool FakeWorker::Finish(TaskId task,
                        TaskEventKind kind,
                        const std::string& detail) {
  const auto it = m_tasks.find(task);
  if (it == m_tasks.end() || it->second.is_suspended || !m_listener)
    return false;
  End(task, kind, detail);
  return true;
}

void FakeWorker::Step() {
  const Millis now = m_clock.Now();
  if (!m_listener) {
    for (auto& [id, task] : m_tasks)
      task.is_suspended |= now >= m_lease_end;
    return;
  }
  std::vector<std::pair<TaskId, TaskEventKind>> due;
  for (const auto& [id, task] : m_tasks) {
    if (task.ends_at <= now)
      due.emplace_back(id, task.ending);
  }
  for (const auto& [id, kind] : due) {
    const bool is_saved = kind == TaskEventKind::kCheckpointed;
    const Epoch epoch = m_tasks.at(id).grant.epoch;
    End(id, kind,
        is_saved ? ToString(id) + "@" + std::to_string(epoch) : std::string());
  }
}

Resources FakeWorker::Used() const {
  Resources used;
  for (const auto& [id, task] : m_tasks)
    used += task.grant.resources;
  return used;
}

void FakeWorker::End(TaskId task,
                     TaskEventKind kind,
                     const std::string& detail) {
  const Millis runtime = m_clock.Now() - m_tasks.at(task).started;
  m_tasks.erase(task);
  m_listener->OnTaskEvent(task, kind, detail, runtime);
}

}  // namespace fulmarrock::test
