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

/// Draws the ids of requests and of their further copies.
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
struct DispatchJob {
  RequestId id;
  CallerRequest request;
  /// Until then a copy may be sent, and the target may start it.
  Millis deadline;
  /// Until then the answer of a copy that was sent is awaited.
  Millis give_up;
  int64_t weight = 1;
};

/// Sends requests to targets and follows each copy until its fate is known.
///
/// Every copy has an id of its own, and a non-idempotent request has one copy.
/// A job is "not run" only if each of its copies is known not to have started
/// and cannot start later.
class RequestDispatcher {
 public:
  struct Options {
    NodeId self;
    /// Targets of one service that this entry uses.
    size_t subset_size = 32;
    /// A copy without an answer is queried after this time, and again after
    /// the interval.
    Millis query_after{150};
    Millis query_interval{100};
    /// Interval of queries once the target has confirmed that it works on it.
    Millis progress_interval{500};
    /// Unanswered queries in a row after which the target is suspected.
    int max_unanswered = 3;
    /// An idempotent request that takes this many times the median service time
    /// is sent to a second target, from the retry budget. Earlier hedges cost
    /// more capacity than they save.
    int64_t hedge_factor = 25;
    /// Time reserved for the way of the answer, taken off the deadline.
    Millis reply_margin{20};
  };
  using Done = std::function<void(RequestId, CallerReply)>;

  /// The policies and the table belong to the caller and outlive this object.
  struct Parts {
    const Clock& clock;
    Transport& transport;
    Counters& counters;
    RequestIdSource& ids;
    TargetTable& table;
    RoutingPolicy& routing;
    OutlierDetector& outliers;
    RetryPolicy& retries;
  };

  RequestDispatcher(Options options, Parts parts, Done done);

  /// Takes a job over; `done` is called once, possibly before this returns.
  void Start(DispatchJob job);

  void OnReply(const NodeId& from, const RequestReply& reply);
  void OnQueryReply(const NodeId& from, const RequestQueryReply& reply);

  /// Queries all copies at a target whose agent restarted.
  void OnTargetRestarted(const NodeId& node);

  void OnTick();

  /// Estimates the requests per slot at the targets this entry uses.
  double EstimateUtilization(const std::string& service);

  size_t CountJobs() const { return m_jobs.size(); }
  size_t CountCopies() const { return m_copies.size(); }

 private:
  /// One copy of a request at one target.
  struct Copy {
    RequestId job;
    NodeId node;
    Incarnation incarnation = 0;
    Millis sent;
    Millis next_query;
    int unanswered = 0;
    bool was_replaced = false;
  };
  struct Job {
    DispatchJob job;
    std::vector<RequestId> open_copies;
    std::vector<NodeId> tried;
    /// Whether a copy that ended may have run.
    bool may_have_run = false;
    /// Answer to fall back on when a retry of a failed request fails too.
    std::optional<CallerReply> failed_answer;
  };
  /// Chosen from all targets of a service, which may be thousands, and reused
  /// for the requests of a second.
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
  const Target* ChooseTarget(const Job& job, std::string& obstacle);
  void SendCopy(Job& job, const Target& target);
  /// Sends another copy of an idempotent request, if the budget allows it.
  bool TryAgain(Job& job);
  void EndCopy(RequestId copy_id);
  /// Each of these ends one copy and may end its job.
  void OnCopyAnswered(RequestId copy_id, const RequestReply& reply);
  void OnCopyNotRun(RequestId copy_id, std::string reason);
  void OnCopyLost(RequestId copy_id, std::string reason);
  void EndWithoutAnswer(Job& job, std::string reason);
  void Finish(Job& job, CallerReply reply);
  void ScheduleQuery(RequestId copy_id, Copy& copy, Millis delay);
  /// Tells whether a copy takes so long that a hedge may come first.
  bool IsFarBehind(const Job& job, const Copy& copy);
  void RunQuery(RequestId copy_id, Copy& copy);
  Copy* FindCopy(RequestId id, const NodeId& from);

  Options m_options;
  Parts m_parts;
  Done m_done;
  std::unordered_map<RequestId, Job> m_jobs;
  std::unordered_map<RequestId, Copy> m_copies;
  std::map<std::string, Subset> m_subsets;
  Timers m_query_timers;
  Timers m_job_timers;
};

}  // namespace fulmarrock

#endif  // SOURCE_ENTRY_REQUEST_DISPATCHER_H_
