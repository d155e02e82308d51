#include "source/agent/workflow_runner.h"

#include <algorithm>
#include <utility>

#include "source/agent/capacity_check.h"

namespace fulmarrock {
namespace {

constexpr Millis kStopRetryDelay{500};
constexpr Millis kReachabilityTimeout{2'500};

}  // namespace

WorkflowRunner::WorkflowRunner(
    WorkflowRunnerOptions options,
    const Clock& clock,
    Transport& transport,
    RunClient& client,
    BestEffortController::MakePolicy make_speed_limit_policy,
    DecisionLog& decisions)
    : m_options(std::move(options)),
      m_clock(clock),
      m_transport(transport),
      m_client(client),
      m_decisions(decisions),
      m_leader_tracker(m_options.control_members),
      m_candidates(clock,
                   client,
                   [this](const WorkerAnnouncement& announcement,
                          WorkerIdentity identity) {
                     OnConfirmedCandidate(announcement, identity);
                   }),
      m_active_clock(clock),
      m_started_at(m_active_clock.Now()),
      m_lease(clock, m_active_clock, m_options.max_lease_extension),
      m_unconfirmed_starts(m_active_clock, client, m_options.stop_timeout),
      m_speed_limiter(clock,
                      client,
                      decisions,
                      m_runs,
                      std::move(make_speed_limit_policy)) {}

void WorkflowRunner::OnMessage(const NodeId& from, const Message& message) {
  if (const auto* instructions = std::get_if<WorkerInstructions>(&message)) {
    OnInstructions(from, *instructions);
  } else if (const auto* view = std::get_if<GroupView>(&message)) {
    m_leader_tracker.AddMembers(view->members);
    if (m_leader_tracker.leader() != view->leader) {
      m_leader_tracker.OnLeaderHint(view->leader);
      m_is_report_urgent = true;
    }
  }
}

bool WorkflowRunner::IsSearchingLeader() const {
  return m_worker && !m_leader_tracker.IsLeaderResponsive(m_clock.Now());
}

void WorkflowRunner::OnInstructions(const NodeId& from,
                                    const WorkerInstructions& instructions) {
  const Millis now = m_clock.Now();
  if (instructions.term < m_term ||
      instructions.agent_incarnation != m_options.incarnation) {
    m_counters.Add("agent_stale_orders");
    return;
  }
  if (instructions.term != m_term) {
    // The new leader may lack all events that were sent to its predecessor.
    m_sent_sequence = m_events.stored_sequence();
    m_is_report_urgent = true;
  }
  m_term = instructions.term;
  m_leader_tracker.SetMembers(instructions.members);
  m_leader_tracker.OnLeaderReply(from, now);
  m_events.OnStored(instructions.stored_sequence);
  if (m_events.last_end() == m_events.stored_end())
    m_next_poll = std::min(m_next_poll, now);
  m_speed_limiter.SetInterferenceCoefficients(
      instructions.interference_coefficients);
  if (!m_worker ||
      !(instructions.worker_incarnation == m_worker->worker_incarnation))
    return;
  m_needs_full_report |= instructions.needs_full_report;
  UpdateEvacuation(instructions);
  for (const RunId& instruction : instructions.stops)
    OnStopInstruction(instruction);
  if (instructions.lease == Millis(0))
    return;
  m_lease.OnGranted(instructions.report_sent_at, instructions.lease);
  // An instruction that arrives after its own lease has expired may belong to a
  // run that control has started on another worker since.
  if (now >= instructions.report_sent_at + instructions.lease) {
    m_counters.Add("agent_expired_orders");
    return;
  }
  if (instructions.report_sent_at < m_lease_expired_at)
    return;
  m_is_expiry_unreported = false;
  if (m_is_lease_expired)
    return;
  // New runs come last, because they have to fit beside those that were found
  // on the worker and whose resources the other instructions tell.
  std::vector<const StartInstruction*> new_starts;
  for (const StartInstruction& instruction : instructions.starts) {
    if (!OnRepeatedStartInstruction(instruction))
      new_starts.push_back(&instruction);
  }
  if (!new_starts.empty() && IsOutdated(instructions)) {
    // Control repeats them in reply to the next report.
    m_counters.Add("agent_outdated_starts",
                   static_cast<int64_t>(new_starts.size()));
    return;
  }
  for (const StartInstruction* instruction : new_starts)
    OnNewStartInstruction(*instruction);
}

void WorkflowRunner::UpdateEvacuation(const WorkerInstructions& instructions) {
  // Messages may overtake each other.
  if (instructions.evacuation_version < m_evacuation_version)
    return;
  m_evacuation_version = instructions.evacuation_version;
  if (m_is_evacuated == instructions.is_evacuated)
    return;
  m_is_evacuated = instructions.is_evacuated;
  m_decisions.Write(
      DecisionLine("evacuation_changed")
          .With("is_evacuated", int64_t{m_is_evacuated})
          .With("version", static_cast<int64_t>(m_evacuation_version))
          .With("runs", static_cast<int64_t>(m_runs.size())));
}

bool WorkflowRunner::IsOutdated(const WorkerInstructions& instructions) const {
  const Millis limit = m_options.evacuation_limit;
  return limit != Millis(0) &&
         (m_clock.Now() - instructions.report_sent_at) * 2 >= limit;
}

bool WorkflowRunner::OnRepeatedStartInstruction(
    const StartInstruction& instruction) {
  const auto it = m_runs.find(instruction.task);
  if (it == m_runs.end())
    return false;
  LocalRun& local = it->second;
  if (local.run != instruction.run)
    return true;
  if (!local.has_instruction) {
    local.instruction = instruction;
    local.has_instruction = true;
  }
  if (local.stage == RunStage::kRunning)
    m_newly_confirmed.push_back({instruction.task, instruction.run});
  return true;
}

void WorkflowRunner::OnNewStartInstruction(
    const StartInstruction& instruction) {
  // The run has ended, but control has not stored that yet.
  if (m_events.Holds(instruction.task, instruction.run))
    return;
  if (m_is_evacuated && m_has_polled) {
    m_counters.Add("agent_starts_while_evacuated");
    AddRun(instruction);
    RefuseRun(instruction.task, RunOutcome::kRefused);
    return;
  }
  const bool may_start = m_worker && !m_worker->is_draining &&
                         !m_is_deregistered && !m_is_shutting_down &&
                         m_has_polled &&
                         !m_candidates.HasAddress(m_worker->address);
  if (!may_start) {
    // Without a final refusal control repeats the instruction until the agent
    // has polled its worker.
    const bool will_not_start =
        m_worker &&
        (m_is_deregistered || m_worker->is_draining || m_lease.IsUnanswered());
    if (will_not_start && m_has_polled) {
      AddRun(instruction);
      RefuseRun(instruction.task, RunOutcome::kRefused);
    }
    return;
  }
  const CapacityFit fit =
      CheckCapacity(instruction, m_runs, m_worker->attributes.capacity());
  if (fit == CapacityFit::kUnknown) {
    // Control repeats this instruction, and sends those that are missing.
    m_counters.Add("agent_starts_beside_unknown_runs");
    return;
  }
  AddRun(instruction);
  if (fit == CapacityFit::kFits) {
    StartRun(instruction.task);
    return;
  }
  m_counters.Add("agent_starts_over_capacity");
  RefuseRun(instruction.task, RunOutcome::kRefused);
}

void WorkflowRunner::AddRun(const StartInstruction& instruction) {
  LocalRun& local = m_runs[instruction.task];
  local.run = instruction.run;
  local.instruction = instruction;
  local.has_instruction = true;
  local.since = m_clock.Now();
  local.started_at = local.since;
  local.progress_at = local.since;
}

void WorkflowRunner::StartRun(const TaskName& task) {
  LocalRun& local = m_runs.at(task);
  const std::optional<Millis> lease_deadline = m_lease.TakeExtension();
  if (!lease_deadline) {
    RefuseRun(task, RunOutcome::kRefused);
    return;
  }
  StartRequest request;
  request.task = task;
  request.run = local.run;
  request.payload = local.instruction.payload;
  request.checkpoint = local.instruction.checkpoint;
  request.lease_deadline = *lease_deadline;
  request.fencing_token = m_term;
  m_client.Start(request, [this, task, run = local.run, sent_at = m_clock.Now(),
                           incarnation_number = m_incarnation_number](
                              const StartResponse& response) {
    if (incarnation_number == m_incarnation_number)
      OnStartResponse(task, run, sent_at, response);
  });
}

void WorkflowRunner::OnStartResponse(const TaskName& task,
                                     RunNumber run,
                                     Millis sent_at,
                                     const StartResponse& response) {
  if (IsOfOtherIncarnation(response.start_time_unix_ms)) {
    // The run may execute there. It is stopped when that incarnation announces
    // itself.
    m_counters.Add("agent_starts_of_other_life");
    m_lease.OnExtensionEnded(Recipient::kAny);
    m_lease.OnOtherIncarnation();
    FinishStart(task, run, StartResult::kUnknown);
    return;
  }
  const bool has_start_time = response.start_time_unix_ms != 0;
  const Recipient recipient =
      has_start_time ? Recipient::kKnown : response.recipient;
  m_lease.OnExtensionEnded(recipient);
  if (response.worker_clock)
    m_last_contact = m_clock.Now();
  if (response.worker_clock && recipient == Recipient::kKnown)
    m_lease.OnResponse(*response.worker_clock, sent_at, has_start_time);
  if (response.result == StartResult::kUnknown || recipient == Recipient::kNone)
    m_lease.OnNoResponse();
  FinishStart(task, run, response.result);
}

void WorkflowRunner::FinishStart(const TaskName& task,
                                 RunNumber run,
                                 StartResult result) {
  const Millis now = m_clock.Now();
  // The request may still execute, also after the run has been stopped or its
  // worker has been given up.
  if (result == StartResult::kUnknown) {
    m_counters.Add("agent_unanswered_starts");
    m_unconfirmed_starts.Add(task, run);
  }
  const auto it = m_runs.find(task);
  if (it == m_runs.end() || it->second.run != run)
    return;
  LocalRun& local = it->second;
  if (result != StartResult::kStarted) {
    m_decisions.Write(DecisionLine("start_refused")
                          .With("task", ToString(task))
                          .With("run", int64_t{run})
                          .With("verdict", static_cast<int64_t>(result)));
  }
  if (local.stage != RunStage::kStarting)
    return;
  switch (result) {
    case StartResult::kStarted:
      local.stage = RunStage::kRunning;
      local.since = now;
      local.progress_at = now;
      local.is_confirmed = true;
      m_newly_confirmed.push_back({task, run});
      m_is_report_urgent = true;
      m_speed_limiter.Send(m_term);
      return;
    case StartResult::kUnknown:
      local.stage = RunStage::kUnconfirmed;
      local.since = now;
      return;
    case StartResult::kDeclined:
      RefuseRun(task, RunOutcome::kDeclined);
      return;
    case StartResult::kNoCapacity:
    case StartResult::kStale:
    case StartResult::kInvalid:
      RefuseRun(task, RunOutcome::kRefused);
      return;
  }
}

void WorkflowRunner::RefuseRun(const TaskName& task, RunOutcome kind) {
  const LocalRun& local = m_runs.at(task);
  // An earlier agent process may have sent a duplicate of the start that got no
  // response. After the response to a stop the worker never starts this run.
  const bool may_have_duplicate = m_active_clock.Now() - m_started_at <
                                      UnconfirmedStarts::kMaxRequestDelay ||
                                  m_unconfirmed_starts.MayStillExecute(task);
  if (may_have_duplicate)
    StopRun(task);
  else
    EndRun(task, local.run, kind, local.instruction.checkpoint, 0);
}

void WorkflowRunner::OnStopInstruction(const RunId& instruction) {
  if (m_has_ended) {
    LogStopInstruction(instruction, "worker_left");
    return;
  }
  const auto it = m_runs.find(instruction.task);
  if (it != m_runs.end() && it->second.run != instruction.run) {
    LogStopInstruction(instruction, "other_run");
    return;
  }
  const bool is_known = it != m_runs.end();
  // Control repeats the instruction until the end is stored.
  if (is_known && (it->second.stage == RunStage::kStopping ||
                   it->second.stage == RunStage::kStopped)) {
    return;
  }
  LogStopInstruction(instruction, is_known ? "stop" : "stop_unknown_run");
  LocalRun& local = m_runs[instruction.task];
  local.run = instruction.run;
  StopRun(instruction.task);
}

void WorkflowRunner::LogStopInstruction(const RunId& instruction,
                                        std::string_view outcome) {
  m_decisions.Write(DecisionLine("stop_received")
                        .With("task", ToString(instruction.task))
                        .With("run", int64_t{instruction.run})
                        .With("term", static_cast<int64_t>(m_term))
                        .With("outcome", outcome));
}

void WorkflowRunner::StopRun(const TaskName& task) {
  LocalRun& local = m_runs.at(task);
  local.stage = RunStage::kStopping;
  local.since = m_clock.Now();
  m_client.Stop(task, local.run, m_term,
                [this, task, run = local.run,
                 incarnation_number = m_incarnation_number](bool has_response) {
                  const auto it = m_runs.find(task);
                  if (incarnation_number != m_incarnation_number ||
                      it == m_runs.end() || it->second.run != run) {
                    return;
                  }
                  if (!has_response) {
                    m_counters.Add("agent_unanswered_stops");
                    return;
                  }
                  it->second.stage = RunStage::kStopped;
                  it->second.since = m_clock.Now();
                });
}

void WorkflowRunner::EndRun(const TaskName& task,
                            RunNumber run,
                            RunOutcome kind,
                            std::string checkpoint,
                            uint64_t end_number) {
  m_decisions.Write(DecisionLine("run_ended")
                        .With("task", ToString(task))
                        .With("run", int64_t{run})
                        .With("outcome", ToString(kind))
                        .With("end_number", static_cast<int64_t>(end_number)));
  m_events.Add(task, run, kind, std::move(checkpoint), end_number);
  m_is_report_urgent = true;
  const auto it = m_runs.find(task);
  if (it != m_runs.end() && it->second.run == run)
    m_runs.erase(it);
}

void WorkflowRunner::OnTick() {
  const Millis now = m_clock.Now();
  m_active_clock.Update();
  m_candidates.OnTick(m_term);
  if (!m_worker)
    return;
  for (auto& [task, local] : m_runs) {
    if (local.stage == RunStage::kStopping &&
        now - local.since >= kStopRetryDelay)
      StopRun(task);
  }
  if (!m_is_polling && now >= m_next_poll && NeedsPoll())
    Poll();
  CheckLeaseExpiry();
  m_unconfirmed_starts.StopEarlierStarts(m_term);
  if (IsReportDue())
    SendReport();
}

bool WorkflowRunner::IsOfOtherIncarnation(int64_t start_time_unix_ms) const {
  return start_time_unix_ms != 0 &&
         start_time_unix_ms != m_worker->worker_incarnation.start_time_unix_ms;
}

bool WorkflowRunner::IsWorkerReachable() const {
  return m_clock.Now() - m_last_contact < kReachabilityTimeout;
}

bool WorkflowRunner::HaveAllRunsEnded() const {
  return m_has_ended || (!IsWorkerReachable() && m_lease.HasExpired());
}

void WorkflowRunner::CheckLeaseExpiry() {
  if (m_is_lease_expired || !HaveAllRunsEnded())
    return;
  m_is_lease_expired = true;
  m_lease_expired_at = m_clock.Now();
  m_is_expiry_unreported = true;
  // A worker that responds again is polled before it gets runs.
  m_has_polled = false;
  m_needs_full_report = true;
  m_is_report_urgent = true;
  m_decisions.Write(DecisionLine("worker_lapsed")
                        .With("life", m_worker->worker_incarnation.id)
                        .With("silent_ms", m_clock.Now() - m_last_contact)
                        .With("runs", static_cast<int64_t>(m_runs.size())));
  if (!m_is_deregistered)
    m_lost_runs.OnLeaseExpired(m_runs);
  m_runs.clear();
}

}  // namespace fulmarrock
