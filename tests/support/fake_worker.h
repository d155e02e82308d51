#ifndef TESTS_SUPPORT_FAKE_WORKER_H_
#define TESTS_SUPPORT_FAKE_WORKER_H_

#include <map>
#include <string>

#include "source/agent/worker_client.h"
#include "source/base/clock.h"

namespace fulmarrock::test {

/// Worker whose tasks run until the test completes or fails them. Stops and
/// checkpoints take some time, during which a task that is not suspended counts
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
  };

  explicit FakeWorker(const Clock& clock) : m_clock(clock) {}

  void SetListener(WorkerListener* listener) { m_listener = listener; }
  void SetStopTime(Millis stop_time) { m_stop_time = stop_time; }

  void StopAll() override { m_tasks.clear(); }
  void ExtendLeases(Millis remaining) override;
  void Start(const TaskGrant& grant) override;
  void Checkpoint(TaskId task) override;
  void Stop(TaskId task) override;
  void Suspend(TaskId task) override;
  void Resume(TaskId task) override;
  void ThrottleBatch(int) override {}

  /// Ends a task as if it had ended by itself; false when it is suspended or
  /// unknown, or when the agent is disconnected.
  bool Finish(TaskId task, TaskEventKind kind, const std::string& detail = "");

  /// Simulates a crash of the agent: its tasks run until their leases expire.
  void DisconnectAgent() { m_listener = nullptr; }
  /// Reports the stops and checkpoints that are due.
  void Step();

  const std::map<TaskId, Task>& tasks() const { return m_tasks; }
  Resources Used() const;
  /// Number of starts of tasks that were held already; must stay zero.
  int duplicate_starts = 0;

 private:
  void End(TaskId task, TaskEventKind kind, const std::string& detail);

  const Clock& m_clock;
  WorkerListener* m_listener = nullptr;
  Millis m_stop_time{20};
  Millis m_lease_end;
  std::map<TaskId, Task> m_tasks;
};

}  // namespace fulmarrock::test

#endif  // TESTS_SUPPORT_FAKE_WORKER_H_
