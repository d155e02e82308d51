#include "source/control/control_role.h"

#include <utility>
#include <variant>

namespace fulmarrock {
namespace {

/// Requests reports from 5,300 workers within about 300 ms.
constexpr WorkerIndex kReportRequestsPerTick = 200;

size_t CallBytes(const WorkflowCall& call) {
  size_t bytes = 64 + call.host.size() + call.path.size();
  bytes += call.spec.payload.size();
  for (const StepSpec& step : call.spec.steps) {
    bytes += 64 + 2 * step.depends_on.size();
    bytes += step.required_label.size() + step.data_rack.size();
    bytes += step.image.size();
  }
  return bytes;
}

}  // namespace

ControlRole::ControlRole(NodeId self,
                         Clock& clock,
                         Transport& transport,
                         RandomSource& random,
                         Scheduler& scheduler)
    : m_self(std::move(self)),
      m_clock(clock),
      m_transport(transport),
      m_random(random),
      m_scheduler(scheduler),
      m_distributor(m_state.config(), transport),
      m_claims(transport, m_counters),
      m_dispatcher(m_state, scheduler, m_leases, transport, m_counters),
      m_workflows(m_state.workflows(),
                  m_state.evacuations(),
                  transport,
                  random,
                  m_counters),
      m_evacuations(m_state, random, m_counters) {}

void ControlRole::ConfigureWorkflows(const WorkflowOptions& options,
                                     const WallClock& wall_clock,
                                     DecisionLog& decisions) {
  m_wall_clock = &wall_clock;
  m_decisions = &decisions;
  m_workflows.Configure(options, decisions);
}

void ControlRole::OnMessage(const NodeId& from, const Message& message) {
  if (const auto* poll = std::get_if<ConfigPoll>(&message)) {
    if (CanAnswerPoll(*poll))
      m_distributor.OnPoll(from, poll->current_version, m_clock.Now());
    return;
  }
  if (const auto* ack = std::get_if<ConfigAck>(&message)) {
    m_distributor.OnAck(from, ack->version, m_clock.Now());
    return;
  }
  if (m_membership_manager && m_membership_manager->OnMessage(from, message))
    return;
  if (OnWorkflowMessage(from, message))
    return;
  // Followers do not reply: agents and entry processes find the leader by its
  // replies.
  if (!IsLeading())
    return;
  if (const auto* announce = std::get_if<WorkerAnnounce>(&message)) {
    OnAnnounce(from, *announce);
  } else if (const auto* renew = std::get_if<LeaseRenew>(&message)) {
    OnRenew(from, *renew);
  } else if (const auto* report = std::get_if<LeaseReport>(&message)) {
    OnReport(from, *report);
  } else if (const auto* events = std::get_if<TaskEvents>(&message)) {
    OnEvents(from, *events);
  } else if (const auto* usage = std::get_if<UsageReport>(&message)) {
    OnUsage(from, *usage);
  } else if (const auto* claim = std::get_if<ClaimRequest>(&message)) {
    m_claims.OnClaim(from, *claim, m_next_batch);
    // The customer's request waits for the claim: unless a log entry is
    // uncommitted already, propose without waiting for the tick. Claims that
    // arrive in the meantime share the next log entry.
    if (m_last_proposed <= m_last_applied)
      Flush();
  } else if (const auto* outcome = std::get_if<ClaimOutcome>(&message)) {
    m_claims.OnOutcome(from, *outcome, m_next_batch);
  }
}

bool ControlRole::OnWorkflowMessage(const NodeId& from,
                                    const Message& message) {
  if (const auto* call = std::get_if<WorkflowCall>(&message)) {
    if (IsLeading() && !m_is_stopping)
      OnWorkflowCall(from, *call);
    else
      m_workflows.callers().RedirectCall(from, *call);
    return true;
  }
  if (const auto* report = std::get_if<WorkerReport>(&message)) {
    if (IsLeading())
      m_workflows.OnReport(from, *report, m_next_batch.workflow, m_clock.Now());
    else
      SendGroupView(from);
    return true;
  }
  if (std::holds_alternative<GroupViewRequest>(message)) {
    SendGroupView(from);
    return true;
  }
  return false;
}

void ControlRole::SendGroupView(const NodeId& to) {
  GroupView view = MakeGroupView(*m_log, m_self);
  // A leader that is about to leave handles no calls any more.
  if (m_is_stopping && view.leader == m_self)
    view.leader.clear();
  m_transport.Send(to, view);
}

void ControlRole::OnWorkflowCall(const NodeId& from, const WorkflowCall& call) {
  const bool is_change = call.kind == WorkflowCallKind::kSubmit ||
                         call.kind == WorkflowCallKind::kCancel;
  // An overloaded leader does not reply: an earlier attempt of this call may
  // wait for the log. The entry process sends the call again.
  if (is_change && m_next_batch_bytes >= kMaxEntryBytes) {
    m_counters.Add("control_calls_dropped");
    return;
  }
  if (is_change)
    m_next_batch_bytes += CallBytes(call);
  m_workflows.callers().OnCall(from, call, m_next_batch.workflow);
}

void ControlRole::OnTick() {
  const Millis now = m_clock.Now();
  m_distributor.OnTick(now);
  if (m_membership_manager)
    m_membership_manager->OnTick();
  if (!IsLeading())
    return;
  const int64_t unix_ms = m_wall_clock ? m_wall_clock->NowUnixMs() : 0;
  m_workflows.OnTick({now, now + m_time_offset, unix_ms},
                     m_next_batch.workflow);
  m_evacuations.OnTick(now, now + m_time_offset);
  CompleteMemberWaiters();
  RequestReports();
  for (const LeaseEvent& event : m_leases.Scan(now))
    OnLeaseEvent(event);
  // Commands that the log refused remain in m_next_batch. Adding decisions of
  // the scheduler would only increase the backlog.
  if (m_next_batch_bytes < kMaxEntryBytes)
    m_dispatcher.Propose(m_next_batch, now);
  Flush();
  m_dispatcher.SendDue(now);
}

void ControlRole::BeginShutdown() {
  m_is_stopping = true;
}

bool ControlRole::IsDrained() const {
  return m_is_stopping && m_waiters.empty() && m_member_waiters.empty() &&
         !m_evacuations.HasWaitingRequests();
}

void ControlRole::Apply(LogIndex index, std::string_view command) {
  m_last_applied = index;
  const ApplyEffects effects = m_state.Apply(command);
  if (effects.is_malformed)
    m_counters.Add("control_malformed_commands");
  if (effects.has_new_configuration)
    m_distributor.OnNewVersion();
  if (m_is_leader)
    HandleEffects(effects);
  ResumeIfApplied();
}

std::string ControlRole::SaveSnapshot() const {
  return m_state.Save();
}

Result<void> ControlRole::RestoreSnapshot(std::string_view bytes) {
  Result<void> result = m_state.Restore(bytes);
  if (result)
    m_distributor.OnNewVersion();
  return result;
}

void ControlRole::OnLeadershipGained(Term) {
  const Millis now = m_clock.Now();
  m_is_leader = true;
  m_resume_after.reset();
  m_counters.Add("control_leaderships");
  m_time_offset = m_state.time() - now;
  m_next_batch = CommandBatch();
  m_next_batch_bytes = 0;
  m_last_proposed = 0;
  m_next_report_request = 0;
  m_proposed_events.clear();
  m_leases.Reset(m_state.workers().index_count(), now);
  m_dispatcher.Rebuild(m_time_offset, now);
  m_workflows.OnLeadershipGained(now);
}

void ControlRole::OnLeadershipLost() {
  m_is_leader = false;
  m_resume_after.reset();
  m_next_batch = CommandBatch();
  m_next_batch_bytes = 0;
  m_dispatcher.Clear();
  m_workflows.OnLeadershipLost();
  m_evacuations.OnLeadershipLost();
  FailWaiters({ErrorKind::kUnavailable,
               "the leader changed before the change was known to be committed",
               "repeat it with the same operation id"});
}

bool ControlRole::IsLeading() const {
  return m_is_leader && m_log->IsLeader();
}

bool ControlRole::CanAnswerPoll(const ConfigPoll& poll) const {
  if (IsLeading())
    return true;
  // A process without a configuration may have had a newer version before its
  // restart than this follower has applied, and must not go back to an older
  // one. A follower that knows no leader may be partitioned, and would keep its
  // polling processes at an old version. Without a reply a process polls
  // another member.
  return poll.current_version != 0 && !m_log->Leader().empty();
}

void ControlRole::OnLeaseEvent(const LeaseEvent& event) {
  const WorkerRecord* worker = m_state.workers().Get(event.worker);
  if (!worker)
    return;
  switch (event.kind) {
    case LeaseEvent::Kind::kExpired:
      ProposeExpired(worker->tasks);
      return;
    case LeaseEvent::Kind::kOrphansExpired:
      ProposeExpired(worker->orphans);
      return;
    case LeaseEvent::Kind::kPlacementsStopped:
    case LeaseEvent::Kind::kPlacementsResumed:
      m_dispatcher.UpdateWorker(event.worker);
      return;
    case LeaseEvent::Kind::kRemovable:
      if (!worker->HasTasks())
        m_next_batch.removed_workers.push_back(
            {event.worker, worker->incarnation});
      return;
  }
}

void ControlRole::ProposeExpired(const std::vector<TaskId>& tasks) {
  for (const TaskId task : tasks) {
    m_counters.Add("control_leases_expired");
    m_next_batch.expired.push_back(
        {task, m_state.jobs().FindTask(task)->epoch});
  }
}

void ControlRole::RequestReports() {
  const WorkerTable& workers = m_state.workers();
  for (WorkerIndex i = 0; i < kReportRequestsPerTick; ++i) {
    if (m_next_report_request >= workers.index_count())
      return;
    const WorkerIndex index = m_next_report_request++;
    const WorkerRecord* worker = workers.Get(index);
    if (!worker || m_leases.LastSentAt(index))
      continue;
    LeaseRenewReply reply;
    reply.incarnation = worker->incarnation;
    reply.needs_report = true;
    SendRenewReply(worker->node, std::move(reply));
  }
}

void ControlRole::Flush() {
  if (m_next_batch.IsEmpty()) {
    // Requests that were refused after their bytes were counted.
    m_next_batch_bytes = 0;
    return;
  }
  m_next_batch.time = m_clock.Now() + m_time_offset;
  // A group of one member may apply the batch before Propose() returns, and the
  // callers that get their results may add commands to the next batch.
  CommandBatch batch = std::exchange(m_next_batch, {});
  const size_t bytes = std::exchange(m_next_batch_bytes, 0);
  std::string command = EncodeBatch(batch);
  const size_t command_bytes = command.size();
  const Result<LogIndex> index = m_log->Propose(std::move(command));
  if (!index) {
    LogRefusedProposal(batch, command_bytes, index.error());
    OnRefusedProposal(std::move(batch), bytes, index.error());
    return;
  }
  m_counters.Add("control_proposals");
  m_last_proposed = *index;
}

void ControlRole::OnRefusedProposal(CommandBatch batch,
                                    size_t bytes,
                                    const Error& error) {
  if (error.kind == ErrorKind::kInvalidArgument) {
    // The log will never accept the batch. Everything that counts its commands
    // as proposed starts again from the replicated state, as after an election:
    // when the earlier entries are applied, since they may release runs.
    m_counters.Add("control_proposals_refused");
    const LogIndex last_proposed = m_last_proposed;
    OnLeadershipLost();
    m_resume_after = last_proposed;
    ResumeIfApplied();
    return;
  }
  // The log is full, or a quorum is late to reply. If the leadership is lost,
  // OnLeadershipLost() discards the batch.
  m_counters.Add("control_proposals_delayed");
  m_next_batch = std::move(batch);
  m_next_batch_bytes = bytes;
}

void ControlRole::ResumeIfApplied() {
  if (m_resume_after && m_last_applied >= *m_resume_after)
    OnLeadershipGained(m_log->CurrentTerm());
}

void ControlRole::LogRefusedProposal(const CommandBatch& batch,
                                     size_t bytes,
                                     const Error& error) {
  size_t events = 0;
  for (const RecordEvents& command : batch.workflow.events)
    events += command.events.size();
  m_decisions->Write(
      DecisionLine("proposal_refused")
          .With("reason", error.message)
          .With("bytes", static_cast<int64_t>(bytes))
          .With("events", static_cast<int64_t>(events))
          .With("assignments",
                static_cast<int64_t>(batch.workflow.assignments.size()))
          .With("submissions",
                static_cast<int64_t>(batch.workflow.submissions.size()))
          .With("configurations",
                static_cast<int64_t>(batch.workflow.configurations.size())));
}

void ControlRole::HandleEffects(const ApplyEffects& effects) {
  const Millis now = m_clock.Now();
  m_dispatcher.OnEffects(effects, now);
  for (const WorkerEffect& effect : effects.workers) {
    const WorkerRecord* worker = m_state.workers().Get(effect.worker);
    if (worker && effect.kind == WorkerEffect::Kind::kRestarted)
      m_proposed_events.erase(effect.worker);
    const bool is_announced = effect.kind == WorkerEffect::Kind::kRestarted ||
                              effect.kind == WorkerEffect::Kind::kAnnounced;
    if (worker && is_announced)
      m_transport.Send(effect.node, WorkerAnnounceAck{worker->incarnation});
  }
  for (const WorkerIndex worker : effects.acknowledged)
    SendEventsAck(worker);
  m_claims.OnEffects(effects);
  m_workflows.OnEffects(effects.workflow, now);
  m_evacuations.OnEffects(effects.evacuations);
  for (const OperationEffect& effect : effects.operations) {
    const auto it = m_waiters.find(effect.token);
    if (it == m_waiters.end())
      continue;
    const Waiter waiter = std::move(it->second);
    m_waiters.erase(it);
    waiter(effect.result);
  }
  m_dispatcher.SendDue(now);
}

}  // namespace fulmarrock
