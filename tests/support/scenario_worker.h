#ifndef TESTS_SUPPORT_SCENARIO_WORKER_H_
#define TESTS_SUPPORT_SCENARIO_WORKER_H_

#include <map>
#include <string>
#include <vector>

#include "source/agent/worker_client.h"
#include "tests/support/manual_clock.h"

namespace fulmarrock::test {

/// Simulated worker. The payload of a task is its run time in milliseconds;
/// after the prefix "fail" the task fails at the end of that time. When the
/// agent is killed, tasks keep running until the last lease extension expires.
class ScenarioWorker : public WorkerClient {
 public:
  explicit ScenarioWorker(ManualClock& clock) : m_clock(clock) {}

  /// Sets the listener for events; null while there is no agent.
  void SetListener(WorkerListener* listener);

  void StopAll() override;
  void ExtendLeases(Millis remaining) override;
  void Start(const TaskGrant& grant) override;
  void Checkpoint(TaskId task) override;
  void Stop(TaskId task) override;
  void Suspend(TaskId task) override;
  void Resume(TaskId task) override;
  void ThrottleBatch(int percent) override { m_throttle = percent; }

  /// Advances the running tasks to the current time.
  void Step();

  /// Fails the whole instance: all tasks are lost without an event.
  void Crash();

  /// Sets whether every task that starts from now on fails at once.
  void FailEverything(bool fails) { m_fails_everything = fails; }

  /// Break invariants on purpose, to prove that their checks fail: tasks keep
  /// running after their leases expire, or keep their resources after they were
  /// stopped.
  void IgnoreLeases() { m_ignores_leases = true; }
  void IgnoreStops() { m_ignores_stops = true; }

  /// Whether the task executes here now, that is, is neither suspended nor
  /// without a lease.
  bool IsExecuting(TaskId task) const;
  std::vector<TaskId> ExecutingTasks() const;
  Resources Used() const;
  const std::map<TaskId, int>& completions() const { return m_completions; }
  const std::map<TaskId, int>& starts() const { return m_starts; }

 private:
  struct Task {
    Epoch epoch = 0;
    Resources resources;
    Millis done;
    Millis length;
    Millis last_step;
    bool fails = false;
    bool is_suspended = false;
  };

  /// End of a task that happened while there was no agent.
  struct UnreportedEnd {
    TaskId task;
    Epoch epoch = 0;
    TaskEventKind kind = TaskEventKind::kStopped;
    std::string detail;
    Millis runtime;
  };

  void Report(TaskId task,
              Epoch epoch,
              TaskEventKind kind,
              const std::string& detail,
              Millis runtime);

  ManualClock& m_clock;
  WorkerListener* m_listener = nullptr;
  std::map<TaskId, Task> m_tasks;
  std::vector<UnreportedEnd> m_unreported_ends;
  std::map<TaskId, int> m_completions;
  std::map<TaskId, int> m_starts;
  Millis m_lease_end;
  int m_throttle = 100;
  bool m_fails_everything = false;
  bool m_ignores_leases = false;
  bool m_ignores_stops = false;
};

}  // namespace fulmarrock::test

#endif  // TESTS_SUPPORT_SCENARIO_WORKER_H_
