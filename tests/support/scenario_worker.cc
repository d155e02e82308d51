#include "tests/support/scenario_worker.h"

#include <cstdlib>
#include <utility>

namespace fulmarrock::test {
namespace {

constexpr Millis kDefaultLength{1000};

}  // namespace

void ScenarioWorker::SetListener(WorkerListener* listener) {
  m_listener = listener;
  if (!listener)
    return;
  for (const UnreportedEnd& end : std::exchange(m_unreported_ends, {}))
    listener->OnPastTaskEnd(end.task, end.epoch, end.kind, end.detail,
                            end.runtime);
}

void ScenarioWorker::StopAll() {
  for (const auto& [id, task] : std::exchange(m_tasks, {}))
    Report(id, task.epoch, TaskEventKind::kStopped, "", task.done);
}

void ScenarioWorker::ExtendLeases(Millis remaining) {
  m_lease_end = m_clock.Now() + remaining;
}

void ScenarioWorker::Start(const TaskGrant& grant) {
  Task task;
  task.epoch = grant.epoch;
  task.resources = grant.resources;
  std::string text = grant.payload;
  task.fails = m_fails_everything || text.rfind("fail", 0) == 0;
  if (text.rfind("fail", 0) == 0)
    text = text.substr(4);
  const int64_t length = std::atoll(text.c_str());
  task.length = length > 0 ? Millis(length) : kDefaultLength;
  if (m_fails_everything)
    task.length = Millis(0);
  task.done = Millis(std::atoll(grant.checkpoint.c_str()));
  task.last_step = m_clock.Now();
  m_tasks[grant.task] = task;
  ++m_starts[grant.task];
  Report(grant.task, grant.epoch, TaskEventKind::kStarted, "", Millis(0));
}

void ScenarioWorker::Checkpoint(TaskId task) {
  const auto it = m_tasks.find(task);
  if (it == m_tasks.end())
    return;
  const Millis done = it->second.done;
  const Epoch epoch = it->second.epoch;
  m_tasks.erase(it);
  Report(task, epoch, TaskEventKind::kCheckpointed,
         std::to_string(done.count()), done);
}

void ScenarioWorker::Stop(TaskId task) {
  const auto it = m_tasks.find(task);
  if (it == m_tasks.end())
    return;
  const Millis done = it->second.done;
  const Epoch epoch = it->second.epoch;
  if (!m_ignores_stops)
    m_tasks.erase(it);
  Report(task, epoch, TaskEventKind::kStopped, "", done);
}

void ScenarioWorker::Suspend(TaskId task) {
  const auto it = m_tasks.find(task);
  if (it != m_tasks.end())
    it->second.is_suspended = true;
}

void ScenarioWorker::Resume(TaskId task) {
  const auto it = m_tasks.find(task);
  if (it == m_tasks.end())
    return;
  it->second.is_suspended = false;
  it->second.last_step = m_clock.Now();
}

void ScenarioWorker::Step() {
  const Millis now = m_clock.Now();
  std::vector<std::pair<TaskId, Task>> ended;
  for (auto& [id, task] : m_tasks) {
    if (IsExecuting(id))
      task.done += now - task.last_step;
    task.last_step = now;
    if (task.done >= task.length)
      ended.emplace_back(id, task);
  }
  for (const auto& [id, task] : ended) {
    m_tasks.erase(id);
    if (!task.fails)
      ++m_completions[id];
    Report(id, task.epoch,
           task.fails ? TaskEventKind::kFailed : TaskEventKind::kCompleted,
           task.fails ? "exit code 1" : "", task.done);
  }
}

void ScenarioWorker::Crash() {
  m_tasks.clear();
  m_unreported_ends.clear();
  m_listener = nullptr;
}

bool ScenarioWorker::IsExecuting(TaskId task) const {
  const auto it = m_tasks.find(task);
  if (it == m_tasks.end() || it->second.is_suspended)
    return false;
  return m_ignores_leases || m_clock.Now() < m_lease_end;
}

std::vector<TaskId> ScenarioWorker::ExecutingTasks() const {
  std::vector<TaskId> ids;
  for (const auto& [id, task] : m_tasks) {
    if (IsExecuting(id))
      ids.push_back(id);
  }
  return ids;
}

Resources ScenarioWorker::Used() const {
  Resources used;
  for (const auto& [id, task] : m_tasks)
    used += task.resources;
  return used;
}

void ScenarioWorker::Report(TaskId task,
                            Epoch epoch,
                            TaskEventKind kind,
                            const std::string& detail,
                            Millis runtime) {
  if (m_listener)
    m_listener->OnTaskEvent(task, kind, detail, runtime);
  else if (kind != TaskEventKind::kStarted)
    m_unreported_ends.push_back({task, epoch, kind, detail, runtime});
}

}  // namespace fulmarrock::test
