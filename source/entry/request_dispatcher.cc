#include "source/entry/request_dispatcher.h"

#include <algorithm>
#include <utility>

#include "source/base/checksum.h"
#include "source/entry/target_subset.h"

namespace fulmarrock {
namespace {

// First HTTP status that stands for a failure of the target.
constexpr int32_t kServerError = 500;

// Time after which a subset is chosen anew.
constexpr Millis kSubsetLifetime{1000};

}  // namespace

RequestDispatcher::RequestDispatcher(Options options, Parts parts, Done done)
    : m_options(std::move(options)), m_parts(parts), m_done(std::move(done)) {}

void RequestDispatcher::Start(DispatchJob dispatch_job) {
  const RequestId id = dispatch_job.id;
  m_parts.retries.OnFresh(dispatch_job.request.customer);
  Job& job = m_jobs[id];
  job.job = std::move(dispatch_job);
  std::string obstacle;
  const Target* target = ChooseTarget(job, obstacle);
  if (!target) {
    EndWithoutAnswer(job, std::move(obstacle));
    return;
  }
  m_job_timers.push({job.job.give_up, id});
  SendCopy(job, *target);
}

std::vector<const Target*> RequestDispatcher::FindTargets(
    const std::string& service) {
  const Millis now = m_parts.clock.Now();
  const uint64_t version = m_parts.table.membership_version();
  Subset& subset = m_subsets[service];
  if (subset.membership_version != version || now >= subset.expiry) {
    // Names of services come from callers, so unknown ones are not kept.
    std::erase_if(m_subsets, [&](const auto& item) {
      return item.first != service && now >= item.second.expiry;
    });
    subset = {SelectSubset(m_parts.table.FindUsable(service, now),
                           m_options.self, m_options.subset_size),
              version, now + kSubsetLifetime};
  }
  std::vector<const Target*> usable;
  for (const Target* target : subset.targets) {
    if (m_parts.table.IsUsable(*target, now))
      usable.push_back(target);
  }
  // Targets that came back since are found again at once.
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

const Target* RequestDispatcher::ChooseTarget(const Job& job,
                                              std::string& obstacle) {
  const CallerRequest& request = job.job.request;
  const Millis now = m_parts.clock.Now();
  if (job.job.deadline - now <= m_options.reply_margin) {
    obstacle = "the deadline passed before the request was sent";
    return nullptr;
  }
  if (!request.affinity.empty()) {
    const Target* owner =
        m_parts.table.FindOwner(request.service, request.affinity, now);
    if (!owner)
      obstacle = "the owner of '" + request.affinity +
                 "' is not known; send the request again later";
    return owner;
  }
  std::vector<const Target*> targets = FindTargets(request.service);
  m_parts.outliers.JudgeSpeed(targets, now);
  if (request.is_idempotent && job.tried.empty()) {
    if (const Target* probe = m_parts.outliers.TakeProbe(targets, now))
      return probe;
  }
  targets = m_parts.outliers.Filter(targets, now);
  std::erase_if(targets, [&](const Target* target) {
    return std::find(job.tried.begin(), job.tried.end(), target->node) !=
           job.tried.end();
  });
  if (targets.empty()) {
    obstacle = "no target of service '" + request.service +
               "' is available; check the service or try again later";
    return nullptr;
  }
  return m_parts.routing.Choose(targets, now);
}

void RequestDispatcher::SendCopy(Job& job, const Target& target) {
  const CallerRequest& request = job.job.request;
  const RequestId copy_id = job.tried.empty() ? job.job.id : m_parts.ids.Next();
  RequestForward forward;
  forward.id = copy_id;
  forward.customer = request.customer;
  forward.service = request.service;
  forward.request_class = request.request_class;
  forward.remaining =
      job.job.deadline - m_parts.clock.Now() - m_options.reply_margin;
  forward.is_idempotent = request.is_idempotent;
  forward.key = request.key;
  forward.affinity = request.affinity;
  forward.target_incarnation = target.incarnation;
  forward.path = request.path;
  forward.body = request.body;
  forward.body_checksum = Checksum(request.body);
  forward.weight = job.job.weight;

  job.tried.push_back(target.node);
  job.open_copies.push_back(copy_id);
  Copy& copy = m_copies[copy_id];
  copy.job = job.job.id;
  copy.node = target.node;
  copy.incarnation = target.incarnation;
  copy.sent = m_parts.clock.Now();
  m_parts.table.AddInFlight(target.node, target.incarnation,
                            m_parts.clock.Now());
  ScheduleQuery(copy_id, copy, m_options.query_after);
  m_parts.counters.Add("copies_sent");
  m_parts.transport.Send(target.node, forward);
}

bool RequestDispatcher::TryAgain(Job& job) {
  if (!job.job.request.is_idempotent)
    return false;
  std::string obstacle;
  const Target* target = ChooseTarget(job, obstacle);
  if (!target)
    return false;
  if (!m_parts.retries.TryRetry(job.job.request.customer,
                                static_cast<int>(job.tried.size()))) {
    m_parts.counters.Add("retries_over_budget");
    return false;
  }
  m_parts.counters.Add("retries");
  SendCopy(job, *target);
  return true;
}

void RequestDispatcher::OnReply(const NodeId& from, const RequestReply& reply) {
  m_parts.table.OnLoad(from, reply.target_incarnation, reply.load,
                       m_parts.clock.Now());
  Copy* copy = FindCopy(reply.id, from);
  if (!copy) {
    m_parts.counters.Add("replies_dropped");
    return;
  }
  if (reply.target_incarnation != copy->incarnation) {
    OnCopyLost(reply.id, "the agent of the target restarted");
    return;
  }
  if (reply.body.size() != reply.body_length ||
      Checksum(reply.body) != reply.body_checksum) {
    // The agent still has the whole reply and sends it again when asked.
    m_parts.counters.Add("replies_damaged");
    ScheduleQuery(reply.id, *copy, Millis(0));
    return;
  }
  switch (reply.outcome) {
    case Outcome::kAnswered:
      OnCopyAnswered(reply.id, reply);
      break;
    case Outcome::kNotRun:
    case Outcome::kRefused:
      // A target that refuses while it has free slots is not just full.
      if (reply.load.running < reply.load.slots)
        m_parts.outliers.OnFailure(from, m_parts.clock.Now());
      OnCopyNotRun(reply.id, reply.reason);
      break;
    case Outcome::kOutcomeUnknown:
      m_parts.outliers.OnFailure(from, m_parts.clock.Now());
      OnCopyLost(reply.id, reply.reason);
      break;
  }
}

void RequestDispatcher::OnQueryReply(const NodeId& from,
                                     const RequestQueryReply& reply) {
  Copy* copy = FindCopy(reply.id, from);
  if (!copy) {
    m_parts.counters.Add("query_replies_dropped");
    return;
  }
  if (reply.target_incarnation != copy->incarnation) {
    OnCopyLost(reply.id, "the agent of the target restarted");
    return;
  }
  switch (reply.progress) {
    case RequestProgress::kNeverStarted:
      OnCopyNotRun(reply.id, "the request did not reach the target in time");
      break;
    case RequestProgress::kUnknown:
      OnCopyLost(reply.id, "the target has no record of the request");
      break;
    case RequestProgress::kQueued:
    case RequestProgress::kRunning:
      copy->unanswered = 0;
      ScheduleQuery(reply.id, *copy, m_options.progress_interval);
      break;
    case RequestProgress::kFinished:
      // The reply itself was sent along; ask again in case it gets lost.
      copy->unanswered = 0;
      ScheduleQuery(reply.id, *copy, m_options.query_interval);
      break;
  }
}

void RequestDispatcher::OnTargetRestarted(const NodeId& node) {
  const Target* target = m_parts.table.Find(node);
  for (auto& [id, copy] : m_copies) {
    if (copy.node == node && target && copy.incarnation != target->incarnation)
      ScheduleQuery(id, copy, Millis(0));
  }
}

void RequestDispatcher::OnTick() {
  const Millis now = m_parts.clock.Now();
  while (!m_query_timers.empty() && m_query_timers.top().due <= now) {
    const Timer timer = m_query_timers.top();
    m_query_timers.pop();
    const auto it = m_copies.find(timer.id);
    // A copy that was scheduled anew has a later timer of its own.
    if (it != m_copies.end() && it->second.next_query == timer.due)
      RunQuery(timer.id, it->second);
  }
  while (!m_job_timers.empty() && m_job_timers.top().due <= now) {
    const RequestId id = m_job_timers.top().id;
    m_job_timers.pop();
    const auto it = m_jobs.find(id);
    if (it == m_jobs.end())
      continue;
    EndWithoutAnswer(it->second,
                     "the deadline passed before the target answered");
  }
}

void RequestDispatcher::RunQuery(RequestId copy_id, Copy& copy) {
  Job& job = m_jobs.at(copy.job);
  ++copy.unanswered;
  m_parts.counters.Add("queries_sent");
  m_parts.transport.Send(copy.node, RequestQuery{copy_id, copy.incarnation});
  ScheduleQuery(copy_id, copy, m_options.query_interval);
  if (copy.was_replaced)
    return;
  if (copy.unanswered < m_options.max_unanswered) {
    if (IsFarBehind(job, copy)) {
      copy.was_replaced = true;
      m_parts.counters.Add("hedges");
      TryAgain(job);
    }
    return;
  }
  copy.was_replaced = true;
  m_parts.counters.Add("targets_unresponsive");
  m_parts.outliers.OnUnresponsive(copy.node, m_parts.clock.Now());
  // The copy stays open: its answer may still come first.
  TryAgain(job);
}

bool RequestDispatcher::IsFarBehind(const Job& job, const Copy& copy) {
  std::vector<Millis> times;
  for (const Target* target : FindTargets(job.job.request.service))
    times.push_back(target->load.service_time);
  if (times.empty())
    return false;
  const auto middle = times.begin() + static_cast<ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  return *middle > Millis(0) &&
         m_parts.clock.Now() - copy.sent >= *middle * m_options.hedge_factor;
}

void RequestDispatcher::OnCopyAnswered(RequestId copy_id,
                                       const RequestReply& reply) {
  const Copy copy = m_copies.at(copy_id);
  Job& job = m_jobs.at(copy.job);
  EndCopy(copy_id);
  CallerReply answer{Outcome::kAnswered, reply.status, reply.body, {}};
  if (reply.status < kServerError) {
    m_parts.outliers.OnSuccess(copy.node, m_parts.clock.Now());
    Finish(job, std::move(answer));
    return;
  }
  m_parts.outliers.OnFailure(copy.node, m_parts.clock.Now());
  job.may_have_run = true;
  job.failed_answer = std::move(answer);
  if (!TryAgain(job))
    EndWithoutAnswer(job, {});
}

void RequestDispatcher::OnCopyNotRun(RequestId copy_id, std::string reason) {
  Job& job = m_jobs.at(m_copies.at(copy_id).job);
  EndCopy(copy_id);
  if (!TryAgain(job))
    EndWithoutAnswer(job, std::move(reason));
}

void RequestDispatcher::OnCopyLost(RequestId copy_id, std::string reason) {
  Job& job = m_jobs.at(m_copies.at(copy_id).job);
  EndCopy(copy_id);
  job.may_have_run = true;
  if (!TryAgain(job))
    EndWithoutAnswer(job, std::move(reason));
}

void RequestDispatcher::EndWithoutAnswer(Job& job, std::string reason) {
  // Another copy may still bring the answer, unless its time is up.
  if (!job.open_copies.empty() && m_parts.clock.Now() < job.job.give_up)
    return;
  if (!job.open_copies.empty())
    job.may_have_run = true;
  if (job.failed_answer) {
    Finish(job, std::move(*job.failed_answer));
    return;
  }
  CallerReply reply;
  reply.outcome =
      job.may_have_run ? Outcome::kOutcomeUnknown : Outcome::kNotRun;
  reply.reason = std::move(reason);
  if (job.may_have_run)
    reply.reason +=
        "; request " + ToString(job.job.id) + " may or may not have run";
  Finish(job, std::move(reply));
}

void RequestDispatcher::Finish(Job& job, CallerReply reply) {
  const RequestId id = job.job.id;
  for (const RequestId copy_id : std::vector<RequestId>(job.open_copies)) {
    m_parts.transport.Send(m_copies.at(copy_id).node, RequestCancel{copy_id});
    EndCopy(copy_id);
  }
  m_jobs.erase(id);
  m_done(id, std::move(reply));
}

void RequestDispatcher::EndCopy(RequestId copy_id) {
  const auto it = m_copies.find(copy_id);
  m_parts.table.RemoveInFlight(it->second.node, it->second.incarnation,
                               m_parts.clock.Now());
  std::erase(m_jobs.at(it->second.job).open_copies, copy_id);
  m_copies.erase(it);
}

void RequestDispatcher::ScheduleQuery(RequestId copy_id,
                                      Copy& copy,
                                      Millis delay) {
  copy.next_query = m_parts.clock.Now() + delay;
  m_query_timers.push({copy.next_query, copy_id});
}

RequestDispatcher::Copy* RequestDispatcher::FindCopy(RequestId id,
                                                     const NodeId& from) {
  const auto it = m_copies.find(id);
  return it != m_copies.end() && it->second.node == from ? &it->second
                                                         : nullptr;
}

}  // namespace fulmarrock
