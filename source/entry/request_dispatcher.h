#ifndef SOURCE_ENTRY_REQUEST_DISPATCHER_H_
#define SOURCE_ENTRY_REQUEST_DISPATCHER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "source/base/clock.h"
#include "source/base/counters.h"
#include "source/entry/caller_sink.h"
#include "source/entry/outlier_detector.h"
#include "source/entry/retry_policy.h"
#include "source/entry/routing_policy.h"
#include "source/entry/target_table.h"
#include "source/message/transport.h"

namespace fulmarrock {

/// Generates the ids of requests and of their further attempts.
class RequestIdSource {
 public:
  explicit RequestIdSource(Incarnation incarnation)
      : m_incarnation(incarnation) {}
  RequestId Next() { return {m_incarnation, ++m_sequence}; }
  Incarnation incarnation() const { return m_incarnation; }

 private:
  Incarnation m_incarnation;
  uint64_t m_sequence = 0;
};

/// A request that is ready to be sent to a target.
struct DispatchRequest {
  RequestId id;
  CallerRequest request;
  /// Last time at which an attempt may be sent and a target may start it.
  Millis deadline;
  /// Last time at which the reply to an attempt is awaited.
  Millis reply_deadline;
  int64_t weight = 1;
};

/// Sends requests to targets and tracks each attempt until its final outcome is
/// known.
///
/// An attempt is one sending of a request to one target: the first, a retry or
/// a hedge. Every attempt has its own id. A non-idempotent request has only one
/// attempt. A request is "not run" only if each of its attempts is known not to
/// have started and cannot start later.
class RequestDispatcher {
 public:
  struct Options {
    NodeId self;
    /// Maximum number of targets of one service that this entry uses.
    size_t subset_size = 32;
    /// The target is queried about an attempt that has no reply after this
    /// time, and again after the interval.
    Millis query_after{150};
    Millis query_interval{100};
    /// Query interval once the target has confirmed that the attempt is queued
    /// or running.
    Millis progress_interval{500};
    /// Number of consecutive unanswered queries after which the target counts
    /// as unresponsive.
    int max_unanswered = 3;
    /// An idempotent request that takes this many times the median service time
    /// is hedged: it is sent to a second target, at the cost of the retry
    /// budget. Earlier hedges cost more capacity than they save.
    int64_t hedge_factor = 25;
    /// Time reserved for the transfer of the reply; subtracted from the
    /// deadline that the target gets.
    Millis reply_margin{20};
  };
  using Done = std::function<void(RequestId, CallerReply)>;

  /// The policies and the table belong to the caller and outlive this object.
  struct Dependencies {
    const Clock& clock;
    Transport& transport;
    Counters& counters;
    RequestIdSource& ids;
    TargetTable& table;
    RoutingPolicy& routing;
    OutlierDetector& outliers;
    RetryPolicy& retries;
  };

  RequestDispatcher(Options options, Dependencies dependencies, Done done);

  /// Starts to dispatch a request; `done` is called once, possibly before this
  /// returns.
  void Start(DispatchRequest dispatch);

  void OnReply(const NodeId& from, const RequestReply& reply);
  void OnQueryReply(const NodeId& from, const RequestQueryReply& reply);

  /// Queries all attempts at a target whose agent restarted.
  void OnTargetRestarted(const NodeId& node);

  void OnTick();

  /// Estimates the number of requests per slot at the targets that this entry
  /// uses.
  double EstimateUtilization(const std::string& service);

  size_t CountDispatches() const { return m_dispatches.size(); }
  size_t CountAttempts() const { return m_attempts.size(); }

 private:
  /// One attempt of a request, at one target.
  struct Attempt {
    RequestId dispatch;
    NodeId node;
    Incarnation incarnation = 0;
    Millis sent;
    Millis next_query;
    int unanswered = 0;
    bool was_retried = false;
  };
  struct Dispatch {
    DispatchRequest dispatch;
    std::vector<RequestId> open_attempts;
    std::vector<NodeId> tried;
    /// Whether an attempt that ended may have run.
    bool may_have_run = false;
    /// The last reply with a server error; returned when no retry succeeds.
    std::optional<CallerReply> failed_reply;
  };
  /// The targets that this entry uses of a service. Choosing them is costly for
  /// services with thousands of targets, so a subset is reused for a second.
  struct Subset {
    std::vector<const Target*> targets;
    uint64_t membership_version = 0;
    Millis expiry;
  };
  struct Timer {
    Millis due;
    RequestId id;
    bool operator>(const Timer& other) const { return due > other.due; }
  };
  using Timers = std::priority_queue<Timer, std::vector<Timer>, std::greater<>>;

  /// Returns the usable targets of this entry's subset of a service.
  std::vector<const Target*> FindTargets(const std::string& service);
  const Target* ChooseTarget(const Dispatch& dispatch,
                             std::string& failure_reason);
  void SendAttempt(Dispatch& dispatch, const Target& target);
  /// Sends another attempt of an idempotent request, if a target is available
  /// and the retry policy allows it.
  bool SendRetry(Dispatch& dispatch);
  void EndAttempt(RequestId attempt_id);
  /// Each of these ends one attempt and may finish its request.
  void OnAttemptAnswered(RequestId attempt_id, const RequestReply& reply);
  void OnAttemptNotRun(RequestId attempt_id, std::string reason);
  void OnAttemptOutcomeUnknown(RequestId attempt_id, std::string reason);
  void EndWithoutReply(Dispatch& dispatch, std::string reason);
  void Finish(Dispatch& dispatch, CallerReply reply);
  void ScheduleQuery(RequestId attempt_id, Attempt& attempt, Millis delay);
  /// Whether an attempt takes so long that a hedge may finish first.
  bool ShouldHedge(const Dispatch& dispatch, const Attempt& attempt);
  void SendQuery(RequestId attempt_id, Attempt& attempt);
  Attempt* FindAttempt(RequestId id, const NodeId& from);

  Options m_options;
  Dependencies m_dependencies;
  Done m_done;
  std::unordered_map<RequestId, Dispatch> m_dispatches;
  std::unordered_map<RequestId, Attempt> m_attempts;
  std::map<std::string, Subset> m_subsets;
  Timers m_query_timers;
  Timers m_deadline_timers;
};

}  // namespace fulmarrock

#endif  // SOURCE_ENTRY_REQUEST_DISPATCHER_H_
