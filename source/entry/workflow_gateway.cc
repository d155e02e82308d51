#include "source/entry/workflow_gateway.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <nlohmann/json.hpp>

#include "source/base/json_text.h"
#include "source/message/reply_meaning.h"

namespace fulmarrock {
namespace {

/// A call is sent to another member after this time without a reply.
constexpr Millis kResendDelay{500};
/// Delay before the call is sent to the next member when none knows a leader.
constexpr Millis kLeaderSearchDelay{150};
/// A call that was not stored because no leader was found is given up after
/// this time, so that the caller can try another entry.
constexpr Millis kNotStoredTimeout{1'200};
/// The result is given to the caller this long before its deadline.
constexpr Millis kDeadlineMargin{150};
/// Time after which a caller may retry a call that was rejected or given up.
constexpr Millis kRetryDelay{1'000};
/// The entry is not ready after this time without a reply, so that callers use
/// another entry.
constexpr Millis kUnreadyDelay{1'500};
/// A draining entry accepts calls for this long, until callers have moved to
/// other entries.
constexpr Millis kDrainPeriod{2'600};
constexpr size_t kMaxPending = 4'000;
/// Memory of all pending calls. One submission may have a thousand steps, each
/// many times larger than its text.
constexpr size_t kMaxPendingBytes = size_t{32} << 20;

size_t EstimateBytes(const WorkflowCall& call) {
  size_t bytes = sizeof(WorkflowCall) + call.host.size() + call.path.size() +
                 call.spec.payload.size();
  for (const StepSpec& step : call.spec.steps) {
    bytes += sizeof(StepSpec) + step.depends_on.size() * sizeof(uint32_t) +
             step.required_label.size() + step.data_rack.size() +
             step.image.size();
  }
  return bytes;
}

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
      m_leader_finder(m_options.control_members, clock, transport, decisions) {}

void WorkflowGateway::Call(WorkflowCall call, Millis deadline, Done done) {
  const size_t bytes = EstimateBytes(call);
  if (m_pending.size() >= kMaxPending ||
      m_pending_bytes + bytes > kMaxPendingBytes) {
    m_counters.Add("entry_calls_over_limit");
    done({CallOutcome::kNotAccepted, {}, kRetryDelay});
    return;
  }
  call.call = m_random.Next();
  PendingCall pending;
  pending.start_time = m_clock.Now();
  pending.deadline = pending.start_time +
                     std::max(deadline - kDeadlineMargin, kDeadlineMargin);
  pending.done = std::move(done);
  pending.call = std::move(call);
  pending.bytes = bytes;
  m_pending_bytes += bytes;
  const uint64_t id = pending.call.call;
  m_counters.Add("entry_workflow_calls");
  Send(m_pending.emplace(id, std::move(pending)).first->second);
}

void WorkflowGateway::Send(PendingCall& pending) {
  const NodeId member = m_leader_finder.ChooseNode();
  pending.sent_at = m_clock.Now();
  if (member.empty())
    return;
  pending.last_member = member;
  pending.is_sent = true;
  pending.call.may_be_stored = MayBeStored(pending);
  pending.unanswered.insert(++pending.call.attempt);
  m_transport.Send(member, pending.call);
}

void WorkflowGateway::SendToNewLeader() {
  for (auto& [id, pending] : m_pending) {
    if (pending.last_member != m_leader_finder.leader())
      Send(pending);
  }
}

void WorkflowGateway::OnMessage(const NodeId& from, const Message& message) {
  if (const auto* reply = std::get_if<WorkflowReply>(&message)) {
    OnReply(from, *reply);
  } else if (const auto* view = std::get_if<GroupView>(&message)) {
    const NodeId earlier_leader = m_leader_finder.leader();
    m_leader_finder.OnGroupView(from, *view);
    const NodeId& leader = m_leader_finder.leader();
    if (!leader.empty() && leader != earlier_leader)
      SendToNewLeader();
  }
}

CallOutcome WorkflowGateway::OutcomeOf(const PendingCall& pending,
                                       WorkflowReplyKind reply) {
  // A refusal speaks for one sending of the call. Another one may be stored.
  const bool is_refusal = MeaningOf(reply) == ReplyMeaning::kNotStored;
  if (is_refusal && IsStored(pending.call.kind) && MayBeStored(pending))
    return CallOutcome::kUnknownResult;
  return CallOutcome::kAnswered;
}

void WorkflowGateway::OnReply(const NodeId& from, const WorkflowReply& reply) {
  const auto it = m_pending.find(reply.call);
  if (it == m_pending.end()) {
    m_counters.Add("entry_late_replies");
    return;
  }
  PendingCall& pending = it->second;
  // Members of older versions do not repeat the attempt.
  const uint32_t attempt = reply.attempt != 0 || pending.unanswered.empty()
                               ? reply.attempt
                               : *pending.unanswered.begin();
  pending.unanswered.erase(attempt);
  const ReplyMeaning meaning = MeaningOf(reply.kind);
  if (meaning == ReplyMeaning::kNotHandled ||
      meaning == ReplyMeaning::kUnknown) {
    OnNotLeader(from, reply, pending);
    return;
  }
  m_leader_finder.OnLeaderReply(from, reply.term);
  m_unanswered_since = Millis(0);
  Finish(reply.call,
         {OutcomeOf(pending, reply.kind), reply, reply.retry_after});
}

void WorkflowGateway::OnNotLeader(const NodeId& from,
                                  const WorkflowReply& reply,
                                  PendingCall& pending) {
  if (reply.kind == WorkflowReplyKind::kUnknownResult)
    pending.is_result_unknown = true;
  m_leader_finder.OnNotLeader(from, reply);
  // A call is sent to a newly named leader at once; otherwise the tick sends it
  // to the next member.
  const NodeId& leader = m_leader_finder.leader();
  if (!leader.empty() && leader != pending.last_member)
    Send(pending);
  else
    pending.sent_at = m_clock.Now() - kResendDelay + kLeaderSearchDelay;
}

void WorkflowGateway::OnTick() {
  const Millis now = m_clock.Now();
  m_leader_finder.OnTick();
  if (!m_pending.empty() && m_unanswered_since == Millis(0))
    m_unanswered_since = now;
  if (m_pending.empty())
    m_unanswered_since = Millis(0);
  std::vector<uint64_t> expired;
  for (auto& [id, pending] : m_pending) {
    const bool may_be_stored = MayBeStored(pending);
    if (now >= pending.deadline ||
        (!may_be_stored && now - pending.start_time >= kNotStoredTimeout)) {
      expired.push_back(id);
    } else if (now - pending.sent_at >= kResendDelay) {
      m_leader_finder.OnUnanswered(pending.last_member, pending.sent_at);
      Send(pending);
    }
  }
  for (const uint64_t id : expired) {
    const PendingCall& pending = m_pending.at(id);
    const bool may_be_stored = MayBeStored(pending);
    CallResult result;
    result.outcome =
        may_be_stored ? CallOutcome::kUnknownResult : CallOutcome::kNotAccepted;
    result.retry_after = kRetryDelay;
    m_counters.Add("entry_calls_without_answer");
    m_decisions.Write(
        DecisionLine("call_given_up")
            .With("workflow", FormatWorkflowKey(pending.call.key))
            .With("waited_ms", now - pending.start_time)
            .With("unanswered", static_cast<int64_t>(pending.unanswered.size()))
            .With("leader", m_leader_finder.leader())
            .With("outcome", may_be_stored ? "unknown_result" : "not_taken"));
    Finish(id, std::move(result));
  }
}

void WorkflowGateway::Finish(uint64_t call, CallResult result) {
  auto node = m_pending.extract(call);
  if (node.empty())
    return;
  m_pending_bytes -= node.mapped().bytes;
  node.mapped().done(result);
}

bool WorkflowGateway::IsReady() const {
  const Millis now = m_clock.Now();
  const bool is_unanswered = m_unanswered_since != Millis(0) &&
                             now - m_unanswered_since >= kUnreadyDelay;
  return !m_is_stopping && !is_unanswered;
}

void WorkflowGateway::BeginShutdown() {
  m_is_stopping = true;
  m_stopping_since = m_clock.Now();
}

bool WorkflowGateway::IsDrained() const {
  return m_is_stopping && m_pending.empty() &&
         m_clock.Now() - m_stopping_since >= kDrainPeriod;
}

std::string WorkflowGateway::DumpState() const {
  const nlohmann::json state = {{"leader", m_leader_finder.leader()},
                                {"members", m_leader_finder.candidates()},
                                {"waiting_calls", m_pending.size()},
                                {"is_ready", IsReady()}};
  return ToJsonText(state);
}

}  // namespace fulmarrock
