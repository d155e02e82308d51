#include "source/control/workflow_callers.h"

#include <utility>

namespace fulmarrock {
namespace {

/// When a caller whose request was refused may try again.
constexpr Millis kRetryAfter{1'000};

}  // namespace

std::vector<NodeId> MemberNodesOf(const ReplicatedLog& log) {
  std::vector<NodeId> nodes;
  for (const Member& member : log.Members())
    nodes.push_back(member.node);
  return nodes;
}

GroupView MakeGroupView(const ReplicatedLog& log, const NodeId& self) {
  GroupView view;
  if (log.IsLeader() || log.Leader() != self)
    view.leader = log.Leader();
  view.members = MemberNodesOf(log);
  view.term = log.CurrentTerm();
  return view;
}

WorkflowCallers::WorkflowCallers(const WorkflowState& state,
                                 Transport& transport,
                                 RandomSource& random,
                                 Counters& counters)
    : m_state(state),
      m_transport(transport),
      m_random(random),
      m_counters(counters) {}

void WorkflowCallers::OnLeadershipLost() {
  m_decisions->Write(
      DecisionLine("leadership_lost")
          .With("open_calls", static_cast<int64_t>(m_callers.size())));
  for (auto& [token, caller] : m_callers) {
    if (caller.done) {
      caller.done(MakeError(ErrorKind::kUnavailable,
                            "the leader changed before the change was known "
                            "to be committed",
                            "send the same change again"));
      continue;
    }
    WorkflowReply reply;
    reply.call = caller.call;
    reply.attempt = caller.attempt;
    reply.kind = WorkflowReplyKind::kUnknownResult;
    Reply(caller.entry, std::move(reply));
  }
  m_callers.clear();
}

void WorkflowCallers::OnCall(const NodeId& from,
                             const WorkflowCall& call,
                             WorkflowBatch& next) {
  WorkflowReply reply;
  reply.call = call.call;
  reply.attempt = call.attempt;
  if (m_state.queue_configuration().version == 0) {
    reply.kind = WorkflowReplyKind::kNotConfigured;
    reply.retry_after = kRetryAfter;
    Reply(from, std::move(reply));
    return;
  }
  if (const auto stored_result = FindStoredResult(call)) {
    reply.kind = *stored_result;
    Reply(from, std::move(reply));
    return;
  }
  const QueueSettings* queue = m_state.FindQueue(call.host, call.path);
  if (!queue) {
    reply.kind = WorkflowReplyKind::kQueueNotFound;
    m_decisions->Write(
        DecisionLine("call_refused")
            .With("workflow", FormatWorkflowKey(call.key))
            .With("reason", "no_queue")
            .With("directory_version",
                  static_cast<int64_t>(m_state.queue_configuration().version)));
    Reply(from, std::move(reply));
    return;
  }
  switch (call.kind) {
    case WorkflowCallKind::kShow:
      Show(from, call);
      return;
    case WorkflowCallKind::kCountPending:
      reply.kind = WorkflowReplyKind::kCounted;
      reply.pending = m_state.CountPending(*queue);
      Reply(from, std::move(reply));
      return;
    case WorkflowCallKind::kCancel:
      next.cancellations.push_back(
          {AddCaller({from, call.call, call.attempt, call.key, {}}), call.key});
      return;
    case WorkflowCallKind::kSubmit:
      Submit(from, call, next);
      return;
  }
}

std::optional<WorkflowReplyKind> WorkflowCallers::FindStoredResult(
    const WorkflowCall& call) const {
  const WorkflowRecord* workflow =
      call.may_be_stored ? m_state.Find(call.key) : nullptr;
  if (!workflow)
    return std::nullopt;
  if (call.kind == WorkflowCallKind::kSubmit)
    return WorkflowReplyKind::kAccepted;
  const bool is_stored_cancellation =
      call.kind == WorkflowCallKind::kCancel &&
      workflow->phase == WorkflowPhase::kCancelled;
  if (is_stored_cancellation)
    return WorkflowReplyKind::kCancelled;
  return std::nullopt;
}

void WorkflowCallers::Submit(const NodeId& from,
                             const WorkflowCall& call,
                             WorkflowBatch& next) {
  if (Result<void> valid = ValidateWorkflow(call.spec); !valid) {
    m_counters.Add("control_invalid_workflows");
    m_decisions->Write(DecisionLine("call_refused")
                           .With("workflow", FormatWorkflowKey(call.key))
                           .With("reason", valid.error().message));
    WorkflowReply reply;
    reply.call = call.call;
    reply.attempt = call.attempt;
    reply.kind = WorkflowReplyKind::kInvalid;
    Reply(from, std::move(reply));
    return;
  }
  const uint64_t token =
      AddCaller({from, call.call, call.attempt, call.key, {}});
  next.submissions.push_back({token, call.host, call.path, call.spec});
}

void WorkflowCallers::Show(const NodeId& from, const WorkflowCall& call) {
  WorkflowReply reply;
  reply.call = call.call;
  reply.attempt = call.attempt;
  const WorkflowRecord* workflow = m_state.Find(call.key);
  // The record of a cancellation that came before its submission has no steps.
  const bool is_submitted = workflow && !workflow->spec.steps.empty();
  reply.kind = is_submitted ? WorkflowReplyKind::kPhase
                            : WorkflowReplyKind::kWorkflowNotFound;
  if (is_submitted)
    reply.phase = workflow->phase;
  Reply(from, std::move(reply));
}

uint64_t WorkflowCallers::AddCaller(Caller caller) {
  const uint64_t token = m_random.Next();
  m_callers.emplace(token, std::move(caller));
  return token;
}

void WorkflowCallers::Reply(const NodeId& entry, WorkflowReply reply) {
  reply.leader = m_log->Leader();
  reply.term = m_log->CurrentTerm();
  m_transport.Send(entry, reply);
}

void WorkflowCallers::RedirectCall(const NodeId& from,
                                   const WorkflowCall& call) {
  WorkflowReply reply;
  reply.call = call.call;
  reply.attempt = call.attempt;
  reply.kind = WorkflowReplyKind::kNotLeader;
  reply.members = MemberNodesOf(*m_log);
  Reply(from, std::move(reply));
}

void WorkflowCallers::SetQueueConfiguration(
    QueueConfiguration queue_configuration,
    WorkflowBatch& next,
    ConfigurationDone done) {
  if (Result<void> valid = ValidateQueueConfiguration(queue_configuration);
      !valid) {
    m_counters.Add("control_invalid_directories");
    m_decisions->Write(
        DecisionLine("directory_refused")
            .With("version", static_cast<int64_t>(queue_configuration.version))
            .With("reason", valid.error().message));
    done(valid);
    return;
  }
  m_decisions->Write(
      DecisionLine("directory_received")
          .With("version", static_cast<int64_t>(queue_configuration.version))
          .With("version_in_force",
                static_cast<int64_t>(m_state.queue_configuration().version)));
  Caller caller;
  caller.done = std::move(done);
  next.configurations.push_back(
      {AddCaller(std::move(caller)), std::move(queue_configuration)});
}

void WorkflowCallers::LogUnservedQueueConfiguration(uint64_t version,
                                                    const NodeId& leader) {
  m_decisions->Write(DecisionLine("directory_unserved")
                         .With("version", static_cast<int64_t>(version))
                         .With("leader", leader.empty() ? "unknown" : leader));
}

void WorkflowCallers::OnCommitted(const CommandResult& result) {
  const auto it = m_callers.find(result.token);
  if (it == m_callers.end())
    return;
  const Caller caller = std::move(it->second);
  m_callers.erase(it);
  if (caller.done) {
    m_decisions->Write(
        DecisionLine("directory_committed")
            .With("version_in_force",
                  static_cast<int64_t>(m_state.queue_configuration().version)));
    caller.done({});
    return;
  }
  m_decisions->Write(DecisionLine("call_committed")
                         .With("workflow", FormatWorkflowKey(caller.key))
                         .With("entry", caller.entry)
                         .With("outcome", static_cast<int64_t>(result.kind)));
  WorkflowReply reply;
  reply.call = caller.call;
  reply.attempt = caller.attempt;
  reply.kind = result.kind;
  if (reply.kind == WorkflowReplyKind::kRefused)
    reply.retry_after = kRetryAfter;
  Reply(caller.entry, std::move(reply));
}

}  // namespace fulmarrock
