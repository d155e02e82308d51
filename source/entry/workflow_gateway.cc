#include "source/entry/workflow_gateway.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <nlohmann/json.hpp>

namespace fulmarrock {
namespace {

/// A copy goes to another member after this time without an answer.
constexpr Millis kResendAfter{500};
/// Pause before the next member is asked when none knows a leader.
constexpr Millis kSearchPause{150};
/// A call that surely was not stored is given up after this time without a
/// leader, so that the caller can try elsewhere.
constexpr Millis kGiveUpAfter{1'200};
/// The answer leaves this long before the caller's deadline.
constexpr Millis kDeadlineMargin{150};
/// When a caller may come again after a call was given up.
constexpr Millis kRetryAfter{1'000};
/// Without an answer for this long, callers are better off elsewhere.
constexpr Millis kUnreadyAfter{1'500};
/// A stopping entry keeps serving for this long, until callers are sent
/// elsewhere.
constexpr Millis kLameDuck{2'600};
constexpr size_t kMaxPending = 4'000;

}  // namespace

WorkflowGateway::WorkflowGateway(WorkflowGatewayOptions options,
                                 const Clock& clock,
                                 Transport& transport,
                                 RandomSource& random,
                                 DecisionLog& decisions)
    : m_options(std::move(options)),
      m_clock(clock),
      m_transport(transport),
      m_random(random),
      m_decisions(decisions),
      m_leader_tracker(m_options.control_members) {}

void WorkflowGateway::Call(WorkflowCall call, Millis deadline, Done done) {
  if (m_pending.size() >= kMaxPending) {
    m_counters.Add("entry_calls_over_limit");
    done({CallOutcome::kNotAccepted, {}, kRetryAfter});
    return;
  }
  call.call = m_random.Next();
  PendingCall pending;
  pending.since = m_clock.Now();
  pending.deadline =
      pending.since + std::max(deadline - kDeadlineMargin, kDeadlineMargin);
  pending.done = std::move(done);
  pending.call = std::move(call);
  const uint64_t id = pending.call.call;
  m_counters.Add("entry_workflow_calls");
  Send(m_pending.emplace(id, std::move(pending)).first->second);
}

NodeId WorkflowGateway::ChooseMember(const PendingCall& pending) const {
  // The leader first; when it was asked already, the members in turn.
  const std::set<NodeId>& members = m_leader_tracker.members();
  if (!m_leader_tracker.leader().empty() &&
      m_leader_tracker.leader() != pending.asked)
    return m_leader_tracker.leader();
  if (members.empty())
    return {};
  const auto next = members.upper_bound(pending.asked);
  return next == members.end() ? *members.begin() : *next;
}

void WorkflowGateway::Send(PendingCall& pending) {
  const NodeId member = ChooseMember(pending);
  pending.sent_at = m_clock.Now();
  if (member.empty())
    return;
  pending.asked = member;
  pending.is_sent = true;
  ++pending.unanswered;
  m_transport.Send(member, pending.call);
}

void WorkflowGateway::OnMessage(const NodeId& from, const Message& message) {
  if (const auto* reply = std::get_if<WorkflowReply>(&message)) {
    OnReply(from, *reply);
  } else if (const auto* view = std::get_if<GroupView>(&message)) {
    m_leader_tracker.AddMembers(view->members);
    m_leader_tracker.OnLeaderHint(view->leader);
  }
}

bool WorkflowGateway::IsFinalReply(WorkflowReplyKind kind) {
  return kind != WorkflowReplyKind::kNotLeader &&
         kind != WorkflowReplyKind::kUnknownResult;
}

void WorkflowGateway::OnReply(const NodeId& from, const WorkflowReply& reply) {
  const Millis now = m_clock.Now();
  m_leader_tracker.AddMembers(reply.members);
  const auto it = m_pending.find(reply.call);
  if (it == m_pending.end()) {
    m_counters.Add("entry_late_replies");
    return;
  }
  PendingCall& pending = it->second;
  --pending.unanswered;
  if (!IsFinalReply(reply.kind)) {
    OnNotLeader(from, reply, pending);
    return;
  }
  m_leader_tracker.OnLeaderReply(from, now);
  m_unanswered_since = Millis(0);
  // A refusal is true only if no other copy may be stored.
  const bool is_refusal = reply.kind == WorkflowReplyKind::kRefused ||
                          reply.kind == WorkflowReplyKind::kNotConfigured;
  const bool may_be_stored = pending.unanswered > 0 || pending.is_uncertain;
  CallResult answer{CallOutcome::kAnswered, reply, reply.retry_after};
  if (is_refusal && may_be_stored)
    answer.outcome = CallOutcome::kUnknownResult;
  Finish(reply.call, std::move(answer));
}

void WorkflowGateway::OnNotLeader(const NodeId& from,
                                  const WorkflowReply& reply,
                                  PendingCall& pending) {
  if (reply.kind == WorkflowReplyKind::kUnknownResult)
    pending.is_uncertain = true;
  const bool is_news = !reply.leader.empty() && reply.leader != from;
  if (is_news || from == m_leader_tracker.leader())
    m_leader_tracker.OnLeaderHint(is_news ? reply.leader : NodeId());
  // A named leader is asked at once, otherwise the search goes on at the tick.
  if (is_news && reply.leader != pending.asked)
    Send(pending);
  else
    pending.sent_at = m_clock.Now() - kResendAfter + kSearchPause;
}

void WorkflowGateway::OnTick() {
  const Millis now = m_clock.Now();
  if (!m_pending.empty() && m_unanswered_since == Millis(0))
    m_unanswered_since = now;
  if (m_pending.empty())
    m_unanswered_since = Millis(0);
  std::vector<uint64_t> expired;
  for (auto& [id, pending] : m_pending) {
    const bool may_be_stored = pending.unanswered > 0 || pending.is_uncertain;
    if (now >= pending.deadline ||
        (!may_be_stored && now - pending.since >= kGiveUpAfter)) {
      expired.push_back(id);
    } else if (now - pending.sent_at >= kResendAfter) {
      Send(pending);
    }
  }
  for (const uint64_t id : expired) {
    const PendingCall& pending = m_pending.at(id);
    const bool may_be_stored = pending.unanswered > 0 || pending.is_uncertain;
    CallResult answer;
    answer.outcome =
        may_be_stored ? CallOutcome::kUnknownResult : CallOutcome::kNotAccepted;
    answer.retry_after = kRetryAfter;
    m_counters.Add("entry_calls_without_answer");
    m_decisions.Write(
        DecisionLine("call_given_up")
            .With("workflow", FormatWorkflowKey(pending.call.key))
            .With("waited_ms", now - pending.since)
            .With("unanswered", int64_t{pending.unanswered})
            .With("leader", m_leader_tracker.leader())
            .With("outcome", may_be_stored ? "unknown_result" : "not_taken"));
    Finish(id, std::move(answer));
  }
}

void WorkflowGateway::Finish(uint64_t call, CallResult answer) {
  auto node = m_pending.extract(call);
  if (!node.empty())
    node.mapped().done(answer);
}

bool WorkflowGateway::IsReady() const {
  const Millis now = m_clock.Now();
  const bool is_unanswered = m_unanswered_since != Millis(0) &&
                             now - m_unanswered_since >= kUnreadyAfter;
  return !m_is_stopping && !is_unanswered;
}

void WorkflowGateway::BeginShutdown() {
  m_is_stopping = true;
  m_stopping_since = m_clock.Now();
}

bool WorkflowGateway::IsDrained() const {
  return m_is_stopping && m_pending.empty() &&
         m_clock.Now() - m_stopping_since >= kLameDuck;
}

std::string WorkflowGateway::DumpState() const {
  const nlohmann::json state = {{"leader", m_leader_tracker.leader()},
                                {"members", m_leader_tracker.members()},
                                {"waiting_calls", m_pending.size()},
                                {"is_ready", IsReady()}};
  return state.dump();
}

}  // namespace fulmarrock
