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

/// Handles non-idempotent requests with an idempotency key. Each key is claimed
/// at control before the request is sent to a target. Repeats of a key wait for
/// the request in progress at this entry, or fetch the response from the entry
/// whose request holds the claim.
class KeyedRequests {
 public:
  struct Options {
    NodeId self;
    Incarnation incarnation = 0;
    /// A request whose claim control does not decide within this time is "not
    /// run".
    Millis claim_timeout{2000};
    Millis fetch_interval{200};
    /// Time after the deadline during which a running request is still tracked,
    /// so that a repeat of a slow request gets its response.
    Millis grace_period{30'000};
    /// Limits of the cache of responses for repeats.
    size_t max_cached_responses = 10'000;
    size_t max_cached_response_bytes = 64 << 20;
    Millis retention{600'000};
    /// Maximum number of fetches by other entries that wait for one response.
    size_t max_remote_waiters = 64;
  };
  /// Starts to dispatch a request whose claim was granted; its reply arrives at
  /// OnDispatchDone().
  using StartDispatch = std::function<void(DispatchRequest)>;
  using ReplyCallback = std::function<void(RequestId, CallerReply)>;

  KeyedRequests(Options options,
                const Clock& clock,
                Transport& transport,
                Counters& counters,
                ClaimClient& claims,
                StartDispatch start_dispatch,
                ReplyCallback answer);

  /// Accepts a request; it gets exactly one reply, by its deadline.
  void Submit(RequestId id,
              const CallerRequest& request,
              Millis deadline,
              int64_t weight);

  /// Whether a request is tracked by this object.
  bool Owns(RequestId dispatch) const { return m_keys.contains(dispatch); }
  void OnDispatchDone(RequestId dispatch, const CallerReply& reply);

  void OnClaimReply(const NodeId& from, const ClaimReply& reply);
  void OnFetch(const NodeId& from, const ResponseFetch& fetch);
  void OnFetchReply(const NodeId& from, const ResponseFetchReply& reply);
  void OnTick();

  size_t CountActive() const { return m_active.size(); }
  size_t CountCached() const { return m_cached.size(); }

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
    DispatchRequest dispatch;
    uint64_t fingerprint = 0;
    std::vector<Waiter> waiters;
    std::vector<std::pair<NodeId, RequestId>> remote_waiters;
    Millis claim_deadline;
    /// The reply that named another holder, while its response is fetched.
    ClaimReply claim;
    Millis next_fetch;
    CallerReply reply;
    Millis finish_time;
  };

  Record* FindById(RequestId id);
  void RequestClaim(Record& record);
  void OnClaimHeldByOther(Record& record, const ClaimReply& reply);
  void Fetch(Record& record);
  void AbandonClaim(Record& record, const std::string& reason);
  /// Replies that the response of the request that used the key first is not
  /// available.
  void ReplyWithoutResponse(Record& record);
  void ReplyToAll(Record& record, const CallerReply& reply);
  void ReplyToExpired(Record& record);
  /// Caches the response for repeats.
  void CacheResponse(Record& record, const CallerReply& reply);
  void Remove(Record& record);
  void EvictOldResponses();
  void ReportOutcome(const Record& record, const CallerReply& reply);
  void AddReleased(const Record& record);
  void ReportReleased(RequestId id);

  Options m_options;
  const Clock& m_clock;
  Transport& m_transport;
  Counters& m_counters;
  ClaimClient& m_claims;
  StartDispatch m_start_dispatch;
  ReplyCallback m_send_reply;
  std::map<Key, Record> m_records;
  std::map<RequestId, Key> m_keys;
  std::set<RequestId> m_active;
  std::deque<RequestId> m_cached;
  size_t m_cached_bytes = 0;
  // Claims that ended with "not run". A delayed duplicate of the ClaimRequest
  // may get the claim granted again; the outcome is then reported again, so
  // that control releases it.
  std::map<RequestId, Key> m_released;
};

}  // namespace fulmarrock

#endif  // SOURCE_ENTRY_KEYED_REQUESTS_H_
