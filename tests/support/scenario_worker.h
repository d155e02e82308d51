#ifndef TESTS_SUPPORT_SCENARIO_WORKER_H_
#define TESTS_SUPPORT_SCENARIO_WORKER_H_

#include <map>
#include <string>
#include <vector>

#include "source/agent/worker_client.h"
#include "tests/support/manual_clock.h"

namespace fulmarrock::test {

/// Worker whose tasks take the time that their payload names, in milliseconds;
/// a payload that starts with "fail" fails after it. Keeps running when its
/// agent dies, within the leases that it was given.
class ScenarioWorker : public WorkerClient {
 public:
  explicit ScenarioWorker(ManualClock& clock) : m_clock(clock) {}

  /// Sets who hears of events; null after the agent died.
  void SetListener(WorkerListener* listener);

  void StopAll() override;
  void ExtendLeases(Millis remaining) override;
  void Start(const TaskGrant& grant) override;
  void Checkpoint(TaskId task) override;
  void Stop(TaskId task) override;
  void Suspend(TaskId task) override;
  void Resume(TaskId task) override;
  void ThrottleBatch(int percent) override { m_throttle = percent; }

  /// Lets time pass at the worker.
  void Step();

  /// The whole instance fails: all tasks are gone without a word.
  void Crash();

  /// Makes every task that starts from now on fail at once.
  void FailEverything(bool fails) { m_fails_everything = fails; }

  /// Break rules on purpose, to prove that the oracle notices: tasks run on
  /// after their leases, or hold their resources after they were stopped.
  void IgnoreLeases() { m_ignores_leases = true; }
  void IgnoreStops() { m_ignores_stops = true; }

  /// Whether the task makes progress here now.
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

  /// End of a task while there was no agent.
  struct MissedEnd {
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
  std::vector<MissedEnd> m_missed;
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
