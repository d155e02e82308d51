#ifndef SOURCE_ENTRY_KEYED_REQUESTS_H_
#define SOURCE_ENTRY_KEYED_REQUESTS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "source/base/clock.h"
#include "source/base/counters.h"
#include "source/entry/caller_sink.h"
#include "source/entry/claim_client.h"
#include "source/entry/request_dispatcher.h"
#include "source/message/transport.h"

namespace fulmarrock {

/// Non-idempotent requests with a key. Each key is claimed at control before
/// anything runs; repeats join the request in progress at this entry, or fetch
/// the first response from the entry that holds the claim.
class KeyedRequests {
 public:
  struct Options {
    NodeId self;
    Incarnation incarnation = 0;
    /// Without an answer from control for this long, a request is "not run".
    Millis claim_timeout{2000};
    Millis fetch_interval{200};
    /// Time after the deadline during which a running request is still
    /// followed, so that a repeat of a slow request gets its response.
    Millis linger{30'000};
    /// Finished responses kept for repeats.
    size_t max_finished = 10'000;
    size_t max_finished_bytes = 64 << 20;
    Millis retention{600'000};
    /// Entries waiting for one response, at most.
    size_t max_remote_waiters = 64;
  };
  /// Starts the job of a granted claim; its end arrives at OnJobDone().
  using Run = std::function<void(DispatchJob)>;
  using Answer = std::function<void(RequestId, CallerReply)>;

  KeyedRequests(Options options,
                const Clock& clock,
                Transport& transport,
                Counters& counters,
                ClaimClient& claims,
                Run run,
                Answer answer);

  /// Takes a request over; it is answered once, by its deadline.
  void Submit(RequestId id,
              const CallerRequest& request,
              Millis deadline,
              int64_t weight);

  /// Tells whether a job was started by this object.
  bool Owns(RequestId job) const { return m_keys.contains(job); }
  void OnJobDone(RequestId job, const CallerReply& reply);

  void OnClaimReply(const NodeId& from, const ClaimReply& reply);
  void OnFetch(const NodeId& from, const ResponseFetch& fetch);
  void OnFetchReply(const NodeId& from, const ResponseFetchReply& reply);
  void OnTick();

  size_t CountActive() const { return m_active.size(); }
  size_t CountFinished() const { return m_finished.size(); }

 private:
  using Key = std::pair<std::string, std::string>;
  enum class State { kClaiming, kRunning, kFetching, kFinished };
  struct Waiter {
    RequestId id;
    Millis deadline;
  };
  struct Record {
    Key key;
    State state = State::kClaiming;
    DispatchJob job;
    uint64_t fingerprint = 0;
    std::vector<Waiter> waiters;
    std::vector<std::pair<NodeId, RequestId>> remote_waiters;
    Millis claim_give_up;
    /// The answer that named another holder, while its response is fetched.
    ClaimReply claim;
    Millis next_fetch;
    CallerReply reply;
    Millis finish_time;
  };

  Record* FindById(RequestId id);
  void AskForClaim(Record& record);
  void OnHeldByOther(Record& record, const ClaimReply& reply);
  void Fetch(Record& record);
  void GiveUpClaim(Record& record, const std::string& reason);
  /// Answers that the first request ended, but its response is gone.
  void SettleWithoutResponse(Record& record);
  void AnswerAll(Record& record, const CallerReply& reply);
  void AnswerExpired(Record& record);
  /// Keeps the response for repeats.
  void Keep(Record& record, const CallerReply& reply);
  void Drop(Record& record);
  void DropOldFinished();
  void ReportOutcome(const Record& record, const CallerReply& reply);
  void RememberReleased(const Record& record);
  void ReportReleased(RequestId id);

  Options m_options;
  const Clock& m_clock;
  Transport& m_transport;
  Counters& m_counters;
  ClaimClient& m_claims;
  Run m_run;
  Answer m_answer;
  std::map<Key, Record> m_records;
  std::map<RequestId, Key> m_keys;
  std::set<RequestId> m_active;
  std::deque<RequestId> m_finished;
  size_t m_finished_bytes = 0;
  // Claims that ended with "not run". A delayed copy of their ClaimRequest may
  // take the claim again, which is then reported again.
  std::map<RequestId, Key> m_released;
};

}  // namespace fulmarrock

#endif  // SOURCE_ENTRY_KEYED_REQUESTS_H_
