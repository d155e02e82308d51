#ifndef TESTS_SUPPORT_FAKE_RUN_WORKER_H_
#define TESTS_SUPPORT_FAKE_RUN_WORKER_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "source/agent/run_client.h"
#include "source/base/clock.h"
#include "source/base/resources.h"

namespace fulmarrock::test {

/// One execution of a run on a worker.
struct Execution {
  TaskName task;
  RunNumber run = 0;
  std::string worker;
  /// Whether the start request was meant for an earlier incarnation.
  bool is_for_earlier_incarnation = false;
  Millis begin;
  Millis end;
  bool has_ended = false;
  RunOutcome kind = RunOutcome::kDone;
  /// Whether a crash of the worker ended the run.
  bool is_crashed = false;
  /// Whether the worker's lease expired between the end and its
  /// acknowledgement. Its agent may have released the run then.
  bool is_lease_expired = false;
  /// Whether a poll acknowledged the end while the lease was valid.
  bool is_acknowledged = false;
};

/// A worker with a slow clock of its own that enforces its lease. Responds to
/// requests in Step(). A test may suppress its responses, delay its starts, or
/// restart it. It has no admission control, but it records starts that exceed
/// its capacity.
class FakeRunWorker : public RunClient {
 public:
  enum class Mode {
    kNormal,
    kNoResponses,   ///< Executes start requests and responds to nothing.
    kDelayedStart,  ///< Starts runs `start_delay` late, without a response.
    kDown,          ///< Receives nothing and runs nothing.
    kEnded,         ///< Its process has ended: connections are refused.
    kFailing,       ///< Fails every run after 20 ms.
    kHanging,       ///< Starts runs that make no progress.
  };

  FakeRunWorker(const Clock& clock, std::string name);

  /// Starts a new incarnation, in which nothing runs. The connections break.
  void Restart();

  /// Records the capacity that the worker announces. Start requests that are
  /// sent from now on have to fit into it. A request that is executed late has
  /// to fit into the capacity of when it was sent, or into the current one.
  void AnnounceCapacity(const Resources& capacity) { m_capacity = capacity; }

  /// Discards the responses that the crashed agent waited for.
  void DisconnectAgent();

  /// A run that another program started has ended. Its row is listed until it
  /// is acknowledged, and names no task.
  void EndForeignRun() { m_foreign_ends.push_back(++m_end_count); }
  bool HasForeignEnds() const { return !m_foreign_ends.empty(); }

  /// The worker's process ends, as after a deregistration.
  void EndProcess();

  /// Ends everything that runs, and the worker until it is back.
  void Crash();

  /// The instance is suspended: nothing happens here, and the worker's clock
  /// stands still, until Resume().
  void Suspend() { m_suspended_at = m_clock.Now(); }
  void Resume();

  /// Ends runs that are due to end and responds to requests.
  void Step();

  // RunClient:
  void SetWorker(const WorkerIncarnation& worker_incarnation,
                 const std::string& address) override;
  void Identify(const WorkerIncarnation& expected,
                const std::string& address,
                uint64_t fencing_token,
                IdentifyDone done) override;
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

  /// Address of each worker of the tests.
  static constexpr const char* kAddress = "127.0.0.1:1";

  Mode mode = Mode::kNormal;
  Millis start_delay{3'000};
  /// Whether delayed starts execute in the next incarnation too. It has the
  /// same id, so that it takes them for its own.
  bool delays_outlive_restart = false;
  /// Recipient of requests without a response.
  Recipient recipient = Recipient::kAny;
  WorkerIncarnation worker_incarnation;
  /// Executions in all incarnations.
  std::vector<Execution> executions;
  /// Duration of each run, unless runs never complete.
  Millis duration{300};
  bool never_completes = false;
  /// Time from a stop request, which is confirmed at once, to the end of the
  /// run.
  Millis stop_time{200};
  /// Number of stop requests that are confirmed and then have no effect.
  size_t lost_stops = 0;
  /// Tasks whose runs crash the worker `crash_delay` after their start. It is
  /// back as a new worker `restart_delay` later.
  std::set<TaskName> crashing_tasks;
  Millis crash_delay{10};
  Millis restart_delay{3'000};
  size_t crash_count = 0;
  /// Most ends in one poll response.
  size_t max_listed_ends = 500;
  uint64_t acknowledged_ends = 0;
  std::map<TaskName, int64_t> speed_limits;
  /// Returns the resources that count against the capacity for a task. Without
  /// it starts that exceed the capacity are not recorded.
  std::function<Resources(const TaskName&)> resources_of;
  /// Tasks whose start brought the worker over its capacity. Runs that are
  /// being stopped count until they have ended.
  std::vector<TaskName> over_capacity_starts;

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
  struct PendingPoll {
    Millis respond_at;
    uint64_t incarnation_number = 0;
    PollDone done;
  };

  /// `capacity` is the one announced when the request was sent.
  StartResponse Begin(const StartRequest& request, const Resources& capacity);
  bool Fits(const TaskName& task, const Resources& capacity) const;
  void End(const TaskName& task, RunOutcome kind);
  void EndAll(RunOutcome kind, bool is_listed);
  void Acknowledge(uint64_t number);
  void Respond(Millis delay, std::function<void()> response);
  void BreakConnections();
  PollResponse MakeResponse() const;

  const Clock& m_clock;
  const std::string m_name;
  Resources m_capacity;
  std::map<TaskName, Running> m_running;
  std::map<TaskName, RunNumber> m_highest_ended;
  std::vector<EndedRun> m_ended;
  std::vector<uint64_t> m_foreign_ends;
  // Position in `executions` of each run in m_ended.
  std::vector<size_t> m_ended_executions;
  // Start requests that are executed later, and responses that are not
  // delivered yet.
  std::vector<Delayed> m_delayed_starts;
  std::vector<Delayed> m_responses;
  std::vector<PendingPoll> m_polls;
  std::optional<Millis> m_suspended_at;
  std::optional<Millis> m_crash_at;
  std::optional<Millis> m_restart_at;
  uint64_t m_end_count = 0;
  uint64_t m_incarnation_number = 0;
  Millis m_lease_deadline;
  Millis m_started_at;
  size_t m_start_calls = 0;
  // The incarnation that the agent believes to call.
  WorkerIncarnation m_expected_incarnation;
};

}  // namespace fulmarrock::test

#endif  // TESTS_SUPPORT_FAKE_RUN_WORKER_H_
