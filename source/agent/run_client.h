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

/// Result of a start request to the worker.
enum class StartVerdict : uint8_t {
  kStarted,   ///< The run executes, possibly since an earlier request.
  kNoRoom,    ///< Refused: not enough free capacity.
  kOutdated,  ///< Refused: this run or a later one of the task was started
              ///< before, or the request arrived after its deadline.
  kInvalid,   ///< Refused: the worker cannot parse the request.
  kDeclined,  ///< Not started: the worker currently accepts no runs.
  kUnknown,   ///< No response: the run may execute, now or later.
};

/// A worker's response to a start request, with its clock if it was included.
struct StartAnswer {
  StartVerdict verdict = StartVerdict::kUnknown;
  std::optional<Millis> worker_clock;
};

/// A run as listed in a poll response.
struct RunRow {
  TaskName task;
  RunNumber run = 0;
  std::string checkpoint;
  /// Progress in percent; for a long-running task, progress of its start-up.
  int64_t percent = 0;
  /// Tail latency in milliseconds for a latency-critical task, CPU use in
  /// millicores for any other; negative when not included.
  int64_t figure = -1;
};

/// A run that ended, as listed in poll responses until it is acknowledged.
struct EndRow {
  /// Counts the ended runs of one worker incarnation from 1.
  uint64_t number = 0;
  TaskName task;
  RunNumber run = 0;
  RunEndKind kind = RunEndKind::kDone;
  std::string checkpoint;
};

/// A worker's response to a poll.
struct LookAnswer {
  Millis worker_clock;
  /// Start time of the worker incarnation that responded; zero when not
  /// included.
  int64_t born_unix_ms = 0;
  std::vector<RunRow> running;
  std::vector<EndRow> ended;
};

/// A poll of the worker, which also extends its lease and acknowledges ends.
struct LookRequest {
  /// On the worker's clock: all runs may execute until then.
  std::optional<Millis> run_until;
  /// Ended runs up to this number are stored by control.
  uint64_t stored_ends = 0;
  /// How long the worker may wait for a run to end before it responds.
  Millis wait;
  uint64_t fence = 0;
};

/// A request to start a run.
struct StartRequest {
  TaskName task;
  RunNumber run = 0;
  std::string payload;
  std::string checkpoint;
  /// On the worker's clock.
  Millis run_until;
  uint64_t fence = 0;
};

/// Client of the worker beside the agent. Each call completes once, later. A
/// request without a response may still be executed seconds later.
class RunClient {
 public:
  using StartDone = std::function<void(const StartAnswer&)>;
  using StopDone = std::function<void(bool has_response)>;
  using LookDone = std::function<void(const std::optional<LookAnswer>&)>;

  virtual ~RunClient() = default;

  /// Sets the worker incarnation that later calls are meant for, and its
  /// address.
  virtual void SetWorker(const WorkerLife& life,
                         const std::string& address) = 0;

  virtual void Start(const StartRequest& request, StartDone done) = 0;
  virtual void Stop(const TaskName& task,
                    RunNumber run,
                    uint64_t fence,
                    StopDone done) = 0;
  virtual void Look(const LookRequest& request, LookDone done) = 0;

  /// Limits the speed of a run, in percent of full speed.
  virtual void SetPace(const TaskName& task,
                       RunNumber run,
                       int64_t percent,
                       uint64_t fence,
                       StopDone done) = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_RUN_CLIENT_H_
