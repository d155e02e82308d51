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
enum class StartVerdict : uint8_t {
  kStarted,   ///< It runs, also if it ran already.
  kNoRoom,    ///< Refused; it does not fit.
  kOutdated,  ///< Refused; this run or a later one was there before, or the
              ///< order came too late.
  kInvalid,   ///< Refused; the worker cannot read it.
  kDeclined,  ///< Nothing was done; the worker takes no runs for now.
  kUnknown,   ///< No answer: it may run, now or later.
};

/// A worker's answer, with its clock where it told it.
struct StartAnswer {
  StartVerdict verdict = StartVerdict::kUnknown;
  std::optional<Millis> worker_clock;
};

/// A run as the worker lists it.
struct RunRow {
  TaskName task;
  RunNumber run = 0;
  std::string checkpoint;
  /// Progress of a task that ends, in percent; of a lasting task the share of
  /// its start-up that is over.
  int64_t percent = 0;
  /// Tail latency in milliseconds of a task that serves, processor use in
  /// millicores of any other; negative when not told.
  int64_t figure = -1;
};

/// An end as the worker lists it, until it is acknowledged.
struct EndRow {
  /// Counts the ends of one life from 1.
  uint64_t number = 0;
  TaskName task;
  RunNumber run = 0;
  RunEndKind kind = RunEndKind::kDone;
  std::string checkpoint;
};

/// What a worker tells of itself.
struct LookAnswer {
  Millis worker_clock;
  /// Start of the life that answered; zero when not told.
  int64_t born_unix_ms = 0;
  std::vector<RunRow> running;
  std::vector<EndRow> ended;
};

/// What a look carries to the worker.
struct LookRequest {
  /// On the worker's clock: everything may run until then.
  std::optional<Millis> run_until;
  /// Ends up to here are stored for good.
  uint64_t stored_ends = 0;
  /// How long the worker may wait for an end before it answers.
  Millis wait;
  uint64_t fence = 0;
};

/// What a start carries to the worker.
struct StartRequest {
  TaskName task;
  RunNumber run = 0;
  std::string payload;
  std::string checkpoint;
  /// On the worker's clock.
  Millis run_until;
  uint64_t fence = 0;
};

/// Calls to the worker beside the agent. Each is answered once, later; a call
/// that got no answer may still be carried out seconds later.
class RunClient {
 public:
  using StartDone = std::function<void(const StartAnswer&)>;
  using StopDone = std::function<void(bool is_answered)>;
  using LookDone = std::function<void(const std::optional<LookAnswer>&)>;

  virtual ~RunClient() = default;

  /// Names the life that calls are meant for, and its address.
  virtual void SetWorker(const WorkerLife& life,
                         const std::string& address) = 0;

  virtual void Start(const StartRequest& request, StartDone done) = 0;
  virtual void Stop(const TaskName& task,
                    RunNumber run,
                    uint64_t fence,
                    StopDone done) = 0;
  virtual void Look(const LookRequest& request, LookDone done) = 0;

  /// Sets the share of its speed at which a task works, in percent.
  virtual void SetPace(const TaskName& task,
                       RunNumber run,
                       int64_t percent,
                       uint64_t fence,
                       StopDone done) = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_RUN_CLIENT_H_
