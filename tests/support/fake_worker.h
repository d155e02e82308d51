#ifndef TESTS_SUPPORT_FAKE_WORKER_H_
#define TESTS_SUPPORT_FAKE_WORKER_H_

#include <map>
#include <string>

#include "source/agent/worker_client.h"
#include "source/base/clock.h"

namespace fulmarrock::test {

/// Worker whose tasks run until the test finishes or fails them. Stops and
/// checkpoints take a while, during which a task that is not suspended counts
/// as executing.
class FakeWorker : public WorkerClient {
 public:
  struct Task {
    TaskGrant grant;
    bool is_suspended = false;
    Millis started;
    // Set while the task is being stopped.
    TaskEventKind ending = TaskEventKind::kStarted;
    Millis ends_at = Millis::Max();
    // Belongs to an agent that is gone; ends without a report.
    bool is_lost = false;
  };

  explicit FakeWorker(const Clock& clock) : m_clock(clock) {}

  /// Connects an agent; what a lost one left behind ends first.
  void SetListener(WorkerListener* listener);
  void SetStopTime(Millis stop_time) { m_stop_time = stop_time; }

  void StopAll() override { m_tasks.clear(); }
  /// The end of leases after the loss of an agent is set by LoseAgent().
  void ExtendLeases(Millis) override {}
  void Start(const TaskGrant& grant) override;
  void Checkpoint(TaskId task) override;
  void Stop(TaskId task) override;
  void Suspend(TaskId task) override;
  void Resume(TaskId task) override;
  void ThrottleBatch(int) override {}

  /// Ends a running task by itself, unless it is suspended.
  bool Finish(TaskId task, TaskEventKind kind, const std::string& detail = "");

  /// The agent is gone: its tasks end at the given time, without a report.
  void LoseAgent(Millis end);

  /// Reports what is due.
  void Step();

  const std::map<TaskId, Task>& tasks() const { return m_tasks; }
  Resources Used() const;
  /// Starts of tasks that were already there; must stay zero.
  int double_starts = 0;

 private:
  void End(TaskId task, TaskEventKind kind, const std::string& detail);

  const Clock& m_clock;
  WorkerListener* m_listener = nullptr;
  Millis m_stop_time{20};
  std::map<TaskId, Task> m_tasks;
};

}  // namespace fulmarrock::test

#endif  // TESTS_SUPPORT_FAKE_WORKER_H_
