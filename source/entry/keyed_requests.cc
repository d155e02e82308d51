#include "source/entry/keyed_requests.h"

#include <algorithm>

#include "source/base/checksum.h"

namespace fulmarrock {
namespace {

constexpr size_t kMaxReleased = 10'000;

uint64_t ComputeFingerprint(const CallerRequest& request) {
  uint64_t hash = Checksum(request.service);
  hash = Checksum(request.affinity, hash);
  hash = Checksum(request.path, hash);
  return Checksum(request.body, hash);
}

RequestReply ToRequestReply(RequestId id, const CallerReply& reply) {
  RequestReply message;
  message.id = id;
  message.outcome = reply.outcome;
  message.status = reply.status;
  message.body = reply.body;
  message.body_length = reply.body.size();
  message.body_checksum = Checksum(reply.body);
  message.reason = reply.reason;
  return message;
}

bool IsIntact(const RequestReply& reply) {
  return reply.body.size() == reply.body_length &&
         Checksum(reply.body) == reply.body_checksum;
}

}  // namespace

KeyedRequests::KeyedRequests(Options options,
                             const Clock& clock,
                             Transport& transport,
                             Counters& counters,
                             ClaimClient& claims,
                             StartDispatch start_dispatch,
                             ReplyCallback answer)
    : m_options(std::move(options)),
      m_clock(clock),
      m_transport(transport),
      m_counters(counters),
      m_claims(claims),
      m_start_dispatch(std::move(start_dispatch)),
      m_send_reply(std::move(answer)) {}

void KeyedRequests::Submit(RequestId id,
                           const CallerRequest& request,
                           Millis deadline,
                           int64_t weight) {
  const Key key(request.customer, request.key);
  const uint64_t fingerprint = ComputeFingerprint(request);
  const auto it = m_records.find(key);
  if (it == m_records.end()) {
    Record& record = m_records[key];
    record.key = key;
    record.dispatch = {id, request, deadline, deadline + m_options.grace_period,
                       weight};
    record.fingerprint = fingerprint;
    record.waiters.push_back({id, deadline});
    m_keys[id] = key;
    m_active.insert(id);
    RequestClaim(record);
    return;
  }
  Record& record = it->second;
  if (record.fingerprint != fingerprint) {
    m_send_reply(id,
                 {Outcome::kRefused,
                  0,
                  {},
                  "the key was used for a different request; use a new key"});
  } else if (record.state == State::kFinished) {
    m_counters.Add("repeats_answered");
    m_send_reply(id, record.reply);
  } else {
    m_counters.Add("repeats_joined");
    record.waiters.push_back({id, deadline});
  }
}

void KeyedRequests::OnDispatchDone(RequestId dispatch,
                                   const CallerReply& reply) {
  Record* record = FindById(dispatch);
  if (!record)
    return;
  ReportOutcome(*record, reply);
  ReplyToAll(*record, reply);
  if (reply.outcome != Outcome::kNotRun) {
    CacheResponse(*record, reply);
    return;
  }
  AddReleased(*record);
  Remove(*record);
}

void KeyedRequests::OnClaimReply(const NodeId& from, const ClaimReply& reply) {
  if (!m_claims.OnReply(from, reply)) {
    if (reply.status == ClaimStatus::kGranted)
      ReportReleased(reply.id);
    return;
  }
  Record* record = FindById(reply.id);
  if (!record || record->state != State::kClaiming)
    return;
  if (reply.status == ClaimStatus::kGranted || reply.holder == reply.id) {
    record->state = State::kRunning;
    m_start_dispatch(record->dispatch);
  } else if (reply.status == ClaimStatus::kMismatch) {
    ReplyToAll(*record,
               {Outcome::kRefused,
                0,
                {},
                "the key was used for a different request; use a new key"});
    Remove(*record);
  } else {
    OnClaimHeldByOther(*record, reply);
  }
}

void KeyedRequests::OnClaimHeldByOther(Record& record,
                                       const ClaimReply& reply) {
  record.claim = reply;
  const bool is_being_released = m_released.contains(reply.holder) ||
                                 (reply.status == ClaimStatus::kFinished &&
                                  reply.outcome == Outcome::kNotRun);
  if (is_being_released) {
    // Control is about to release the claim, so the claim request is repeated
    // until then.
    ReportReleased(reply.holder);
    m_claims.ClaimLater({record.dispatch.id, record.key.first,
                         record.key.second, record.fingerprint});
  } else if (reply.holder_entry == m_options.self) {
    // The holder belongs to an earlier incarnation of this entry, or its record
    // was evicted here.
    ReplyWithoutResponse(record);
  } else {
    record.state = State::kFetching;
    m_counters.Add("responses_fetched");
    Fetch(record);
  }
}

void KeyedRequests::OnFetch(const NodeId& from, const ResponseFetch& fetch) {
  ResponseFetchReply answer;
  answer.id = fetch.id;
  if (m_released.contains(fetch.holder)) {
    ReportReleased(fetch.holder);
    answer.is_known = true;
    answer.reply =
        ToRequestReply(fetch.holder, {Outcome::kNotRun, 0, {}, "not run"});
    m_transport.Send(from, answer);
    return;
  }
  Record* record = FindById(fetch.holder);
  if (!record) {
    m_transport.Send(from, answer);
    return;
  }
  if (record->state == State::kFinished) {
    answer.is_known = true;
    answer.reply = ToRequestReply(fetch.holder, record->reply);
    m_transport.Send(from, answer);
    return;
  }
  // Fetches are repeated by their sender, so one beyond the limit can be
  // ignored.
  const std::pair<NodeId, RequestId> waiter(from, fetch.id);
  auto& waiters = record->remote_waiters;
  if (std::find(waiters.begin(), waiters.end(), waiter) == waiters.end() &&
      waiters.size() < m_options.max_remote_waiters)
    waiters.push_back(waiter);
}

void KeyedRequests::OnFetchReply(const NodeId& from,
                                 const ResponseFetchReply& fetched) {
  Record* record = FindById(fetched.id);
  if (!record || record->state != State::kFetching ||
      from != record->claim.holder_entry ||
      (fetched.is_known && fetched.reply.id != record->claim.holder)) {
    m_counters.Add("fetch_replies_dropped");
    return;
  }
  if (!fetched.is_known) {
    ReplyWithoutResponse(*record);
    return;
  }
  const RequestReply& reply = fetched.reply;
  if (!IsIntact(reply)) {
    m_counters.Add("replies_damaged");
    return;
  }
  if (reply.outcome == Outcome::kNotRun) {
    RequestClaim(*record);
    return;
  }
  const CallerReply answer{reply.outcome, reply.status, reply.body,
                           reply.reason};
  ReplyToAll(*record, answer);
  CacheResponse(*record, answer);
}

void KeyedRequests::OnTick() {
  const Millis now = m_clock.Now();
  for (const RequestId& id :
       std::vector<RequestId>(m_active.begin(), m_active.end())) {
    Record& record = *FindById(id);
    if (record.state == State::kClaiming && now >= record.claim_deadline) {
      AbandonClaim(record,
                   "the key could not be claimed at control; send the request "
                   "again later with the same key");
      continue;
    }
    ReplyToExpired(record);
    if (record.state != State::kFetching)
      continue;
    if (record.waiters.empty())
      Remove(record);
    else if (now >= record.next_fetch)
      Fetch(record);
  }
  EvictOldResponses();
}

KeyedRequests::Record* KeyedRequests::FindById(RequestId id) {
  const auto it = m_keys.find(id);
  return it == m_keys.end() ? nullptr : &m_records.at(it->second);
}

void KeyedRequests::RequestClaim(Record& record) {
  record.state = State::kClaiming;
  record.claim_deadline = std::min(record.dispatch.deadline,
                                   m_clock.Now() + m_options.claim_timeout);
  m_claims.Claim({record.dispatch.id, record.key.first, record.key.second,
                  record.fingerprint});
}

void KeyedRequests::Fetch(Record& record) {
  record.next_fetch = m_clock.Now() + m_options.fetch_interval;
  m_transport.Send(record.claim.holder_entry,
                   ResponseFetch{record.dispatch.id, record.claim.holder});
}

void KeyedRequests::AbandonClaim(Record& record, const std::string& reason) {
  const CallerReply reply{Outcome::kNotRun, 0, {}, reason};
  m_claims.Withdraw(record.dispatch.id);
  ReportOutcome(record, reply);
  AddReleased(record);
  ReplyToAll(record, reply);
  Remove(record);
}

void KeyedRequests::ReplyWithoutResponse(Record& record) {
  CallerReply reply;
  reply.outcome = Outcome::kOutcomeUnknown;
  const ClaimReply& claim = record.claim;
  if (claim.status == ClaimStatus::kFinished &&
      claim.outcome == Outcome::kAnswered)
    reply.reason =
        "already answered with status " +
        std::to_string(claim.response_status) + " as request " +
        ToString(claim.holder) +
        ", which ran once; its response is no longer cached, so read "
        "the result from the service";
  else
    reply.reason = "request " + ToString(claim.holder) +
                   " used this key first and may or may not have run; check "
                   "at the service before using a new key";
  ReplyToAll(record, reply);
  Remove(record);
}

void KeyedRequests::ReplyToAll(Record& record, const CallerReply& reply) {
  const std::vector<Waiter> waiters = std::move(record.waiters);
  record.waiters.clear();
  for (const Waiter& waiter : waiters)
    m_send_reply(waiter.id, reply);
  for (const auto& [node, id] : record.remote_waiters) {
    ResponseFetchReply answer;
    answer.id = id;
    answer.is_known = true;
    answer.reply = ToRequestReply(record.dispatch.id, reply);
    m_transport.Send(node, answer);
  }
  record.remote_waiters.clear();
}

void KeyedRequests::ReplyToExpired(Record& record) {
  const Millis now = m_clock.Now();
  std::vector<Waiter> expired;
  std::erase_if(record.waiters, [&](const Waiter& waiter) {
    if (waiter.deadline > now)
      return false;
    expired.push_back(waiter);
    return true;
  });
  for (const Waiter& waiter : expired)
    m_send_reply(
        waiter.id,
        {Outcome::kOutcomeUnknown,
         0,
         {},
         "the deadline passed while request " + ToString(record.dispatch.id) +
             " was in progress; repeat it with the same key to get its "
             "response"});
}

void KeyedRequests::CacheResponse(Record& record, const CallerReply& reply) {
  record.state = State::kFinished;
  record.reply = reply;
  record.finish_time = m_clock.Now();
  record.dispatch.request = {};
  m_active.erase(record.dispatch.id);
  m_cached.push_back(record.dispatch.id);
  m_cached_bytes += reply.body.size();
}

void KeyedRequests::Remove(Record& record) {
  m_claims.Withdraw(record.dispatch.id);
  m_active.erase(record.dispatch.id);
  m_keys.erase(record.dispatch.id);
  m_records.erase(Key(record.key));
}

void KeyedRequests::EvictOldResponses() {
  while (!m_cached.empty()) {
    Record& oldest = *FindById(m_cached.front());
    if (m_cached.size() <= m_options.max_cached_responses &&
        m_cached_bytes <= m_options.max_cached_response_bytes &&
        oldest.finish_time + m_options.retention > m_clock.Now())
      return;
    m_cached.pop_front();
    m_cached_bytes -= oldest.reply.body.size();
    Remove(oldest);
  }
}

void KeyedRequests::ReportOutcome(const Record& record,
                                  const CallerReply& reply) {
  m_claims.Report({record.dispatch.id, record.key.first, record.key.second,
                   reply.outcome, reply.status});
}

void KeyedRequests::AddReleased(const Record& record) {
  m_released[record.dispatch.id] = record.key;
  if (m_released.size() > kMaxReleased)
    m_released.erase(m_released.begin());
}

void KeyedRequests::ReportReleased(RequestId id) {
  const auto it = m_released.find(id);
  if (it == m_released.end())
    return;
  m_claims.Report(
      {id, it->second.first, it->second.second, Outcome::kNotRun, 0});
}

}  // namespace fulmarrock
