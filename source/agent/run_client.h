#ifndef SOURCE_AGENT_RUN_CLIENT_H_
#define SOURCE_AGENT_RUN_CLIENT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "source/base/millis.h"
#include "source/message/workflow.h"

namespace fulmarrock {

/// How a worker answered a start.
enum class StartResult : uint8_t {
  kStarted,     ///< It runs, also if it ran already.
  kNoCapacity,  ///< Refused; it does not fit.
  kStale,       ///< Refused; this run or a later one was there before, or the
                ///< order came too late.
  kInvalid,     ///< Refused; the worker cannot read it.
  kDeclined,    ///< Nothing was done; the worker takes no runs for now.
  kUnknown,     ///< No answer: it may run, now or later.
};

/// A worker's answer, with its clock where it told it.
struct StartResponse {
  StartResult result = StartResult::kUnknown;
  std::optional<Millis> worker_clock;
};

/// A run as the worker lists it.
struct RunStatus {
  TaskName task;
  RunNumber run = 0;
  std::string checkpoint;
  /// Progress of a task that ends, in percent; of a lasting task the share of
  /// its start-up that is over.
  int64_t percent = 0;
  /// Tail latency in milliseconds of a task that serves, processor use in
  /// millicores of any other; negative when not told.
  int64_t measurement = -1;
};

/// An end as the worker lists it, until it is acknowledged.
struct EndedRun {
  /// Counts the ends of one life from 1.
  uint64_t number = 0;
  TaskName task;
  RunNumber run = 0;
  RunOutcome kind = RunOutcome::kDone;
  std::string checkpoint;
};

/// What a worker tells of itself.
struct PollResponse {
  Millis worker_clock;
  /// Start of the life that answered; zero when not told.
  int64_t start_time_unix_ms = 0;
  std::vector<RunStatus> running;
  std::vector<EndedRun> ended;
};

/// What a look carries to the worker.
struct PollRequest {
  /// On the worker's clock: everything may run until then.
  std::optional<Millis> lease_deadline;
  /// Ends up to here are stored for good.
  uint64_t acknowledged_ends = 0;
  /// How long the worker may wait for an end before it answers.
  Millis wait;
  uint64_t fencing_token = 0;
};

/// What a start carries to the worker.
struct StartRequest {
  TaskName task;
  RunNumber run = 0;
  std::string payload;
  std::string checkpoint;
  /// On the worker's clock.
  Millis lease_deadline;
  uint64_t fencing_token = 0;
};

/// Calls to the worker beside the agent. Each is answered once, later; a call
/// that got no answer may still be carried out seconds later.
class RunClient {
 public:
  using StartDone = std::function<void(const StartResponse&)>;
  using StopDone = std::function<void(bool is_answered)>;
  using PollDone = std::function<void(const std::optional<PollResponse>&)>;

  virtual ~RunClient() = default;

  /// Names the life that calls are meant for, and its address.
  virtual void SetWorker(const WorkerIncarnation& worker_incarnation,
                         const std::string& address) = 0;

  virtual void Start(const StartRequest& request, StartDone done) = 0;
  virtual void Stop(const TaskName& task,
                    RunNumber run,
                    uint64_t fencing_token,
                    StopDone done) = 0;
  virtual void Poll(const PollRequest& request, PollDone done) = 0;

  /// Sets the share of its speed at which a task works, in percent.
  virtual void SetSpeedLimit(const TaskName& task,
                             RunNumber run,
                             int64_t percent,
                             uint64_t fencing_token,
                             StopDone done) = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_RUN_CLIENT_H_
