#ifndef TESTS_SUPPORT_FAKE_RUN_WORKER_H_
#define TESTS_SUPPORT_FAKE_RUN_WORKER_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "source/agent/run_client.h"
#include "source/base/clock.h"

namespace fulmarrock::test {

/// One stay of a task on a worker, as the worker saw it.
struct Execution {
  TaskName task;
  RunNumber run = 0;
  std::string worker;
  Millis begin;
  Millis end;
  bool is_over = false;
  RunOutcome kind = RunOutcome::kDone;
};

/// A worker with a slow clock of its own that enforces its lease. Answers calls
/// in Step(). A test may take its answers away, delay what it does, or start it
/// again.
class FakeRunWorker : public RunClient {
 public:
  enum class Mode {
    kNormal,
    kMute,     ///< Carries everything out and answers nothing.
    kLate,     ///< Answers no start; carries it out `late_by` later.
    kDown,     ///< Nothing reaches it, and nothing runs.
    kFailing,  ///< Fails what it starts after 20 ms.
    kHanging,  ///< Starts and never makes progress.
  };

  FakeRunWorker(const Clock& clock, std::string name);

  /// Begins a new life, in which nothing runs.
  void Restart();

  /// Drops the answers that the agent waits for; it is gone.
  void DisconnectAgent();

  /// Ends what is over and answers calls.
  void Step();

  // RunClient:
  void SetWorker(const WorkerIncarnation& worker_incarnation,
                 const std::string& address) override;
  void Start(const StartRequest& request, StartDone done) override;
  void Stop(const TaskName& task,
            RunNumber run,
            uint64_t fencing_token,
            StopDone done) override;
  void Poll(const PollRequest& request, PollDone done) override;
  void SetSpeedLimit(const TaskName& task,
                     RunNumber run,
                     int64_t percent,
                     uint64_t fencing_token,
                     StopDone done) override;

  Mode mode = Mode::kNormal;
  Millis late_by{3'000};
  /// Tasks of this life, and what happened on all lives.
  WorkerIncarnation worker_incarnation;
  std::vector<Execution> executions;
  /// Duration of each task; lasting ones never end by themselves.
  Millis duration{300};
  bool runs_for_ever = false;
  /// Time from a stop, which is answered at once, to the end of the run.
  Millis stop_time{200};
  uint64_t acknowledged_ends = 0;
  std::map<TaskName, int64_t> paces;

  Millis WorkerClock() const;
  size_t running_count() const { return m_running.size(); }
  bool IsRunning(const TaskName& task) const {
    return m_running.contains(task);
  }
  size_t start_calls() const { return m_start_calls; }

 private:
  struct Running {
    RunNumber run = 0;
    Millis since;
    size_t execution = 0;
    /// When a stop takes effect.
    std::optional<Millis> stop_at;
  };
  struct Delayed {
    Millis due;
    std::function<void()> action;
  };
  struct WaitingLook {
    Millis answer_at;
    uint64_t life_number = 0;
    PollDone done;
  };

  StartResponse Begin(const StartRequest& request);
  void End(const TaskName& task, RunOutcome kind);
  void EndAll(RunOutcome kind, bool is_listed);
  void Answer(Millis delay, std::function<void()> answer);
  PollResponse MakeAnswer() const;

  const Clock& m_clock;
  const std::string m_name;
  std::map<TaskName, Running> m_running;
  std::map<TaskName, RunNumber> m_highest_ended;
  std::vector<EndedRun> m_ended;
  // Orders that are carried out late, and answers on their way.
  std::vector<Delayed> m_late_orders;
  std::vector<Delayed> m_answers;
  std::vector<WaitingLook> m_looks;
  uint64_t m_end_count = 0;
  uint64_t m_life_number = 0;
  Millis m_run_until;
  Millis m_born_at;
  size_t m_start_calls = 0;
};

}  // namespace fulmarrock::test

#endif  // TESTS_SUPPORT_FAKE_RUN_WORKER_H_
