#include "source/entry/request_dispatcher.h"

#include <algorithm>
#include <utility>

#include "source/base/checksum.h"
#include "source/base/median.h"
#include "source/entry/target_subset.h"

namespace fulmarrock {
namespace {

// Lowest HTTP status that counts as a failure of the target.
constexpr int32_t kServerError = 500;

// Time after which a subset is selected again.
constexpr Millis kSubsetLifetime{1000};

}  // namespace

RequestDispatcher::RequestDispatcher(Options options,
                                     Dependencies dependencies,
                                     Done done)
    : m_options(std::move(options)),
      m_dependencies(dependencies),
      m_done(std::move(done)) {}

void RequestDispatcher::Start(DispatchRequest dispatch_request) {
  const RequestId id = dispatch_request.id;
  m_dependencies.retries.OnOriginalRequest(dispatch_request.request.customer);
  Dispatch& dispatch = m_dispatches[id];
  dispatch.dispatch = std::move(dispatch_request);
  std::string failure_reason;
  const Target* target = ChooseTarget(dispatch, failure_reason);
  if (!target) {
    EndWithoutReply(dispatch, std::move(failure_reason));
    return;
  }
  m_deadline_timers.push({dispatch.dispatch.reply_deadline, id});
  SendAttempt(dispatch, *target);
}

std::vector<const Target*> RequestDispatcher::FindTargets(
    const std::string& service) {
  const Millis now = m_dependencies.clock.Now();
  const uint64_t version = m_dependencies.table.membership_version();
  Subset& subset = m_subsets[service];
  if (subset.membership_version != version || now >= subset.expiry) {
    // Service names come from callers, so expired subsets are removed to bound
    // the memory.
    std::erase_if(m_subsets, [&](const auto& item) {
      return item.first != service && now >= item.second.expiry;
    });
    subset = {SelectSubset(m_dependencies.table.FindUsable(service, now),
                           m_options.self, m_options.subset_size),
              version, now + kSubsetLifetime};
  }
  std::vector<const Target*> usable;
  for (const Target* target : subset.targets) {
    if (m_dependencies.table.IsUsable(*target, now))
      usable.push_back(target);
  }
  // Select again at the next request, so that targets that become usable again
  // are found without delay.
  if (usable.empty())
    subset.expiry = now;
  return usable;
}

double RequestDispatcher::EstimateUtilization(const std::string& service) {
  double requests = 0;
  double slots = 0;
  for (const Target* target : FindTargets(service)) {
    requests += target->own_in_flight + target->OthersInFlight();
    slots += target->load.slots;
  }
  return slots > 0 ? requests / slots : 0;
}

const Target* RequestDispatcher::ChooseTarget(const Dispatch& dispatch,
                                              std::string& failure_reason) {
  const CallerRequest& request = dispatch.dispatch.request;
  const Millis now = m_dependencies.clock.Now();
  if (dispatch.dispatch.deadline - now <= m_options.reply_margin) {
    failure_reason = "the deadline passed before the request was sent";
    return nullptr;
  }
  if (!request.affinity.empty()) {
    const Target* owner =
        m_dependencies.table.FindOwner(request.service, request.affinity, now);
    if (!owner)
      failure_reason = "the owner of '" + request.affinity +
                       "' is not known; send the request again later";
    return owner;
  }
  std::vector<const Target*> targets = FindTargets(request.service);
  m_dependencies.outliers.DetectSlowTargets(targets, now);
  if (request.is_idempotent && dispatch.tried.empty()) {
    if (const Target* probe = m_dependencies.outliers.TakeProbe(targets, now))
      return probe;
  }
  targets = m_dependencies.outliers.Filter(targets, now);
  std::erase_if(targets, [&](const Target* target) {
    return std::find(dispatch.tried.begin(), dispatch.tried.end(),
                     target->node) != dispatch.tried.end();
  });
  if (targets.empty()) {
    failure_reason = "no target of service '" + request.service +
                     "' is available; check the service or try again later";
    return nullptr;
  }
  return m_dependencies.routing.Choose(targets, now);
}

void RequestDispatcher::SendAttempt(Dispatch& dispatch, const Target& target) {
  const CallerRequest& request = dispatch.dispatch.request;
  const RequestId attempt_id =
      dispatch.tried.empty() ? dispatch.dispatch.id : m_dependencies.ids.Next();
  RequestForward forward;
  forward.id = attempt_id;
  forward.customer = request.customer;
  forward.service = request.service;
  forward.request_class = request.request_class;
  forward.remaining = dispatch.dispatch.deadline - m_dependencies.clock.Now() -
                      m_options.reply_margin;
  forward.is_idempotent = request.is_idempotent;
  forward.key = request.key;
  forward.affinity = request.affinity;
  forward.target_incarnation = target.incarnation;
  forward.path = request.path;
  forward.body = request.body;
  forward.body_checksum = Checksum(request.body);
  forward.weight = dispatch.dispatch.weight;

  dispatch.tried.push_back(target.node);
  dispatch.open_attempts.push_back(attempt_id);
  Attempt& attempt = m_attempts[attempt_id];
  attempt.dispatch = dispatch.dispatch.id;
  attempt.node = target.node;
  attempt.incarnation = target.incarnation;
  attempt.sent = m_dependencies.clock.Now();
  m_dependencies.table.AddInFlight(target.node, target.incarnation,
                                   m_dependencies.clock.Now());
  ScheduleQuery(attempt_id, attempt, m_options.query_after);
  m_dependencies.counters.Add("copies_sent");
  m_dependencies.transport.Send(target.node, forward);
}

bool RequestDispatcher::SendRetry(Dispatch& dispatch) {
  if (!dispatch.dispatch.request.is_idempotent)
    return false;
  std::string failure_reason;
  const Target* target = ChooseTarget(dispatch, failure_reason);
  if (!target)
    return false;
  if (!m_dependencies.retries.TryRetry(
          dispatch.dispatch.request.customer,
          static_cast<int>(dispatch.tried.size()))) {
    m_dependencies.counters.Add("retries_over_budget");
    return false;
  }
  m_dependencies.counters.Add("retries");
  SendAttempt(dispatch, *target);
  return true;
}

void RequestDispatcher::OnReply(const NodeId& from, const RequestReply& reply) {
  m_dependencies.table.OnLoad(from, reply.target_incarnation, reply.load,
                              m_dependencies.clock.Now());
  Attempt* attempt = FindAttempt(reply.id, from);
  if (!attempt) {
    m_dependencies.counters.Add("replies_dropped");
    return;
  }
  if (reply.target_incarnation != attempt->incarnation) {
    OnAttemptOutcomeUnknown(reply.id, "the agent of the target restarted");
    return;
  }
  if (reply.body.size() != reply.body_length ||
      Checksum(reply.body) != reply.body_checksum) {
    // The agent still has the complete reply and sends it again when queried.
    m_dependencies.counters.Add("replies_damaged");
    ScheduleQuery(reply.id, *attempt, Millis(0));
    return;
  }
  switch (reply.outcome) {
    case Outcome::kAnswered:
      OnAttemptAnswered(reply.id, reply);
      break;
    case Outcome::kNotRun:
    case Outcome::kRefused:
      // A refusal while the target has free slots is a failure, not saturation.
      if (reply.load.running < reply.load.slots)
        m_dependencies.outliers.OnFailure(from, m_dependencies.clock.Now());
      OnAttemptNotRun(reply.id, reply.reason);
      break;
    case Outcome::kOutcomeUnknown:
      m_dependencies.outliers.OnFailure(from, m_dependencies.clock.Now());
      OnAttemptOutcomeUnknown(reply.id, reply.reason);
      break;
  }
}

void RequestDispatcher::OnQueryReply(const NodeId& from,
                                     const RequestQueryReply& reply) {
  Attempt* attempt = FindAttempt(reply.id, from);
  if (!attempt) {
    m_dependencies.counters.Add("query_replies_dropped");
    return;
  }
  if (reply.target_incarnation != attempt->incarnation) {
    OnAttemptOutcomeUnknown(reply.id, "the agent of the target restarted");
    return;
  }
  switch (reply.progress) {
    case RequestProgress::kNeverStarted:
      OnAttemptNotRun(reply.id, "the request did not reach the target in time");
      break;
    case RequestProgress::kUnknown:
      OnAttemptOutcomeUnknown(reply.id,
                              "the target has no record of the request");
      break;
    case RequestProgress::kQueued:
    case RequestProgress::kRunning:
      attempt->unanswered = 0;
      ScheduleQuery(reply.id, *attempt, m_options.progress_interval);
      break;
    case RequestProgress::kFinished:
      // The agent has sent the reply again, too; query again in case that is
      // lost.
      attempt->unanswered = 0;
      ScheduleQuery(reply.id, *attempt, m_options.query_interval);
      break;
  }
}

void RequestDispatcher::OnTargetRestarted(const NodeId& node) {
  const Target* target = m_dependencies.table.Find(node);
  for (auto& [id, attempt] : m_attempts) {
    if (attempt.node == node && target &&
        attempt.incarnation != target->incarnation)
      ScheduleQuery(id, attempt, Millis(0));
  }
}

void RequestDispatcher::OnTick() {
  const Millis now = m_dependencies.clock.Now();
  while (!m_query_timers.empty() && m_query_timers.top().due <= now) {
    const Timer timer = m_query_timers.top();
    m_query_timers.pop();
    const auto it = m_attempts.find(timer.id);
    // A timer whose query was rescheduled is outdated.
    if (it != m_attempts.end() && it->second.next_query == timer.due)
      SendQuery(timer.id, it->second);
  }
  while (!m_deadline_timers.empty() && m_deadline_timers.top().due <= now) {
    const RequestId id = m_deadline_timers.top().id;
    m_deadline_timers.pop();
    const auto it = m_dispatches.find(id);
    if (it == m_dispatches.end())
      continue;
    EndWithoutReply(it->second,
                    "the deadline passed before the target answered");
  }
}

void RequestDispatcher::SendQuery(RequestId attempt_id, Attempt& attempt) {
  Dispatch& dispatch = m_dispatches.at(attempt.dispatch);
  ++attempt.unanswered;
  m_dependencies.counters.Add("queries_sent");
  m_dependencies.transport.Send(attempt.node,
                                RequestQuery{attempt_id, attempt.incarnation});
  ScheduleQuery(attempt_id, attempt, m_options.query_interval);
  if (attempt.was_retried)
    return;
  if (attempt.unanswered < m_options.max_unanswered) {
    if (ShouldHedge(dispatch, attempt)) {
      attempt.was_retried = true;
      m_dependencies.counters.Add("hedges");
      SendRetry(dispatch);
    }
    return;
  }
  attempt.was_retried = true;
  m_dependencies.counters.Add("targets_unresponsive");
  m_dependencies.outliers.OnUnresponsive(attempt.node,
                                         m_dependencies.clock.Now());
  // The attempt stays open: its reply may still arrive before that of the
  // retry.
  SendRetry(dispatch);
}

bool RequestDispatcher::ShouldHedge(const Dispatch& dispatch,
                                    const Attempt& attempt) {
  std::vector<Millis> times;
  for (const Target* target : FindTargets(dispatch.dispatch.request.service))
    times.push_back(target->load.service_time);
  if (times.empty())
    return false;
  const Millis median = Median(std::move(times));
  return median > Millis(0) && m_dependencies.clock.Now() - attempt.sent >=
                                   median * m_options.hedge_factor;
}

void RequestDispatcher::OnAttemptAnswered(RequestId attempt_id,
                                          const RequestReply& reply) {
  const Attempt attempt = m_attempts.at(attempt_id);
  Dispatch& dispatch = m_dispatches.at(attempt.dispatch);
  EndAttempt(attempt_id);
  CallerReply caller_reply{Outcome::kAnswered, reply.status, reply.body, {}};
  if (reply.status < kServerError) {
    m_dependencies.outliers.OnSuccess(attempt.node, m_dependencies.clock.Now());
    Finish(dispatch, std::move(caller_reply));
    return;
  }
  m_dependencies.outliers.OnFailure(attempt.node, m_dependencies.clock.Now());
  dispatch.may_have_run = true;
  dispatch.failed_reply = std::move(caller_reply);
  if (!SendRetry(dispatch))
    EndWithoutReply(dispatch, {});
}

void RequestDispatcher::OnAttemptNotRun(RequestId attempt_id,
                                        std::string reason) {
  Dispatch& dispatch = m_dispatches.at(m_attempts.at(attempt_id).dispatch);
  EndAttempt(attempt_id);
  if (!SendRetry(dispatch))
    EndWithoutReply(dispatch, std::move(reason));
}

void RequestDispatcher::OnAttemptOutcomeUnknown(RequestId attempt_id,
                                                std::string reason) {
  Dispatch& dispatch = m_dispatches.at(m_attempts.at(attempt_id).dispatch);
  EndAttempt(attempt_id);
  dispatch.may_have_run = true;
  if (!SendRetry(dispatch))
    EndWithoutReply(dispatch, std::move(reason));
}

void RequestDispatcher::EndWithoutReply(Dispatch& dispatch,
                                        std::string reason) {
  // Another open attempt may still be answered before the reply deadline.
  if (!dispatch.open_attempts.empty() &&
      m_dependencies.clock.Now() < dispatch.dispatch.reply_deadline)
    return;
  if (!dispatch.open_attempts.empty())
    dispatch.may_have_run = true;
  if (dispatch.failed_reply) {
    Finish(dispatch, std::move(*dispatch.failed_reply));
    return;
  }
  CallerReply reply;
  reply.outcome =
      dispatch.may_have_run ? Outcome::kOutcomeUnknown : Outcome::kNotRun;
  reply.reason = std::move(reason);
  if (dispatch.may_have_run)
    reply.reason += "; request " + ToString(dispatch.dispatch.id) +
                    " may or may not have run";
  Finish(dispatch, std::move(reply));
}

void RequestDispatcher::Finish(Dispatch& dispatch, CallerReply reply) {
  const RequestId id = dispatch.dispatch.id;
  for (const RequestId attempt_id :
       std::vector<RequestId>(dispatch.open_attempts)) {
    m_dependencies.transport.Send(m_attempts.at(attempt_id).node,
                                  RequestCancel{attempt_id});
    EndAttempt(attempt_id);
  }
  m_dispatches.erase(id);
  m_done(id, std::move(reply));
}

void RequestDispatcher::EndAttempt(RequestId attempt_id) {
  const auto it = m_attempts.find(attempt_id);
  m_dependencies.table.RemoveInFlight(it->second.node, it->second.incarnation,
                                      m_dependencies.clock.Now());
  std::erase(m_dispatches.at(it->second.dispatch).open_attempts, attempt_id);
  m_attempts.erase(it);
}

void RequestDispatcher::ScheduleQuery(RequestId attempt_id,
                                      Attempt& attempt,
                                      Millis delay) {
  attempt.next_query = m_dependencies.clock.Now() + delay;
  m_query_timers.push({attempt.next_query, attempt_id});
}

RequestDispatcher::Attempt* RequestDispatcher::FindAttempt(RequestId id,
                                                           const NodeId& from) {
  const auto it = m_attempts.find(id);
  return it != m_attempts.end() && it->second.node == from ? &it->second
                                                           : nullptr;
}

}  // namespace fulmarrock
