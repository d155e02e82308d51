#ifndef SOURCE_AGENT_RUN_CLIENT_H_
#define SOURCE_AGENT_RUN_CLIENT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "source/base/millis.h"
#include "source/message/workflow.h"

namespace fulmarrock {

/// Result of a start request to the worker.
enum class StartResult : uint8_t {
  kStarted,     ///< The run executes, possibly since an earlier request.
  kNoCapacity,  ///< Refused: not enough free capacity.
  kStale,       ///< Refused: this run or a later one of the task was started
                ///< before, or the request arrived after its deadline.
  kInvalid,     ///< Refused: the worker cannot parse the request.
  kDeclined,    ///< Not started: the worker currently accepts no runs.
  kUnknown,     ///< No response: the run may execute, now or later.
};

/// Which worker process may have received a request.
enum class Recipient : uint8_t {
  kNone,   ///< Nothing was sent.
  kKnown,  ///< The one that responded over the same connection before.
  kAny,    ///< Whichever had the worker's address when the request arrived.
};

/// A worker's response to a start request, with its clock if it was included.
struct StartResponse {
  StartResult result = StartResult::kUnknown;
  Recipient recipient = Recipient::kAny;
  std::optional<Millis> worker_clock;
  /// Start time of the worker incarnation that responded; zero when not
  /// included.
  int64_t start_time_unix_ms = 0;
};

/// A run as listed in a poll response.
struct RunStatus {
  TaskName task;
  RunNumber run = 0;
  std::string checkpoint;
  /// Progress in percent; for a long-running task, progress of its start-up.
  int64_t percent = 0;
  /// Tail latency in milliseconds for a latency-critical task, CPU use in
  /// millicores for any other; negative when not included.
  int64_t measurement = -1;
};

/// A run that ended, as listed in poll responses until it is acknowledged.
struct EndedRun {
  /// Counts the ended runs of one worker incarnation from 1.
  uint64_t number = 0;
  TaskName task;
  RunNumber run = 0;
  RunOutcome kind = RunOutcome::kDone;
  std::string checkpoint;
};

/// A worker's response to a poll.
struct PollResponse {
  Millis worker_clock;
  /// Start time of the worker incarnation that responded; zero when not
  /// included.
  int64_t start_time_unix_ms = 0;
  std::vector<RunStatus> running;
  std::vector<EndedRun> ended;
  /// Highest number of a listed end, also of a run that `ended` leaves out
  /// because another program started it; zero for none.
  uint64_t last_listed_end = 0;
  /// Whether `ended` holds all ends that are not acknowledged. A worker lists a
  /// limited number at a time, so that only in a complete list the absence of a
  /// run means that it has not ended.
  bool has_all_ends = true;
};

/// A poll of the worker, which also extends its lease and acknowledges ends.
struct PollRequest {
  /// On the worker's clock: all runs may execute until then.
  std::optional<Millis> lease_deadline;
  /// Ended runs up to this number are stored by control.
  uint64_t acknowledged_ends = 0;
  /// How long the worker may wait for a run to end before it responds.
  Millis wait;
  uint64_t fencing_token = 0;
};

/// Why a poll got no usable response.
enum class PollFailure : uint8_t {
  kNoResponse,      ///< None arrived in time, or it is malformed.
  kConnectionLost,  ///< The connection broke, or none can be opened.
};

/// A poll without a usable response.
struct PollError {
  PollFailure failure = PollFailure::kNoResponse;
  Recipient recipient = Recipient::kAny;
};

/// What a response to an identity request says about the worker that sent it.
enum class WorkerIdentity : uint8_t {
  kConfirmed,   ///< It is the incarnation that was asked for.
  kIdOnly,      ///< It has the right id, and did not include its start time.
  kOther,       ///< It is another incarnation.
  kNoResponse,  ///< None arrived, or it does not tell.
};

/// A request to start a run.
struct StartRequest {
  TaskName task;
  RunNumber run = 0;
  std::string payload;
  std::string checkpoint;
  /// On the worker's clock.
  Millis lease_deadline;
  uint64_t fencing_token = 0;
};

/// Client of the worker beside the agent. Each call completes once, later. A
/// request without a response may still be executed seconds later.
class RunClient {
 public:
  using StartDone = std::function<void(const StartResponse&)>;
  using IdentifyDone = std::function<void(WorkerIdentity)>;
  using StopDone = std::function<void(bool has_response)>;
  using PollDone =
      std::function<void(const tl::expected<PollResponse, PollError>&)>;

  virtual ~RunClient() = default;

  /// Sets the worker incarnation that later calls are meant for, and its
  /// address.
  virtual void SetWorker(const WorkerIncarnation& worker_incarnation,
                         const std::string& address) = 0;

  /// Asks the worker at an address whether it is this incarnation. Does not
  /// depend on SetWorker and changes nothing at the worker.
  virtual void Identify(const WorkerIncarnation& worker_incarnation,
                        const std::string& address,
                        uint64_t fencing_token,
                        IdentifyDone done) = 0;

  virtual void Start(const StartRequest& request, StartDone done) = 0;
  virtual void Stop(const TaskName& task,
                    RunNumber run,
                    uint64_t fencing_token,
                    StopDone done) = 0;
  virtual void Poll(const PollRequest& request, PollDone done) = 0;

  /// Limits the speed of a run, in percent of full speed.
  virtual void SetSpeedLimit(const TaskName& task,
                             RunNumber run,
                             int64_t percent,
                             uint64_t fencing_token,
                             StopDone done) = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_RUN_CLIENT_H_
