#include "source/agent/workflow_runner.h"

#include <algorithm>
#include <utility>

#include "source/agent/run_progress.h"

namespace fulmarrock {
namespace {

/// How long a worker may wait for an end before it answers a look.
constexpr Millis kLookWait{600};
/// The same while fillers run beside tasks that serve, whose figures cover half
/// a second.
constexpr Millis kWatchfulLookWait{200};
/// Pause after a look that got no answer.
constexpr Millis kLookRetry{200};
/// Pause before the next look while ends are not stored.
constexpr Millis kUnstoredPause{150};
/// Shortest time between looks.
constexpr Millis kLookPause{20};

constexpr Millis kStopRetry{500};
constexpr Millis kReachableFor{2'500};

}  // namespace

WorkflowRunner::WorkflowRunner(WorkflowRunnerOptions options,
                               const Clock& clock,
                               Transport& transport,
                               RunClient& client,
                               BestEffortController::MakePolicy make_pace,
                               DecisionLog& decisions)
    : m_options(std::move(options)),
      m_clock(clock),
      m_transport(transport),
      m_client(client),
      m_decisions(decisions),
      m_leader_tracker(m_options.control_members),
      m_started_at(clock.Now()),
      m_lease(clock.Now(), m_options.max_lease_extension),
      m_unanswered(clock, client, m_options.stop_timeout),
      m_pacer(clock, client, decisions, m_runs, std::move(make_pace)) {}

bool WorkflowRunner::OnAnnouncement(const WorkerAnnouncement& announcement) {
  const Millis now = m_clock.Now();
  if (m_worker &&
      m_worker->worker_incarnation == announcement.worker_incarnation) {
    if (announcement.sequence <= m_worker->sequence || m_has_left)
      return false;
    m_is_report_urgent |= announcement.is_draining != m_worker->is_draining;
    if (announcement.is_draining && !m_worker->is_draining) {
      m_decisions.Write(DecisionLine("worker_leaving")
                            .With("life", announcement.worker_incarnation.id)
                            .With("runs", static_cast<int64_t>(m_runs.size())));
    }
    // Leaving cannot be taken back.
    const bool is_draining = m_worker->is_draining || announcement.is_draining;
    m_worker = announcement;
    m_worker->is_draining = is_draining;
  } else {
    const bool is_older =
        m_worker && announcement.worker_incarnation.start_time_unix_ms <=
                        m_worker->worker_incarnation.start_time_unix_ms;
    if (is_older) {
      m_counters.Add("agent_old_announcements");
      return false;
    }
    AdoptLife(announcement);
  }
  m_heard_at = now;
  m_was_lapsed = false;
  return true;
}

void WorkflowRunner::AdoptLife(const WorkerAnnouncement& announcement) {
  const Millis now = m_clock.Now();
  m_decisions.Write(
      DecisionLine("worker_life")
          .With("life", announcement.worker_incarnation.id)
          .With("born", announcement.worker_incarnation.start_time_unix_ms)
          .With("cpu_millicores", announcement.attributes.cpu_millicores)
          .With("lost_runs", static_cast<int64_t>(m_runs.size())));
  const bool is_first = !m_worker;
  m_unanswered.OnNewLife(m_runs, now);
  m_worker = announcement;
  m_has_left = false;
  m_was_lapsed = false;
  m_is_lapse_unreported = false;
  ++m_life_number;
  m_runs.clear();
  m_confirmed.clear();
  m_events.ForgetNumbers();
  m_is_looking = false;
  m_has_looked = false;
  m_lists_ends = false;
  m_needs_full_report = true;
  m_next_look = now;
  m_pacer.OnNewLife();
  if (!is_first)
    m_lease.ResetWorker(now);
  m_client.SetWorker(announcement.worker_incarnation, announcement.address);
  m_is_report_urgent = true;
}

void WorkflowRunner::OnDeregistration(std::string_view id) {
  if (!m_worker || m_worker->worker_incarnation.id != id)
    return;
  m_decisions.Write(DecisionLine("worker_left")
                        .With("life", m_worker->worker_incarnation.id)
                        .With("runs", static_cast<int64_t>(m_runs.size())));
  m_has_left = true;
  m_runs.clear();
  m_unanswered.OnDeregistration();
  m_is_report_urgent = true;
}

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

void WorkflowRunner::OnInstructions(const NodeId& from,
                                    const WorkerInstructions& instructions) {
  const Millis now = m_clock.Now();
  if (instructions.term < m_term ||
      instructions.agent_incarnation != m_options.incarnation) {
    m_counters.Add("agent_stale_orders");
    return;
  }
  if (instructions.term != m_term) {
    // The new leader may have none of the events that its predecessor got.
    m_sent_sequence = m_events.stored_sequence();
    m_is_report_urgent = true;
  }
  m_term = instructions.term;
  m_leader_tracker.AddMembers(instructions.members);
  m_leader_tracker.OnLeaderReply(from, now);
  m_events.OnStored(instructions.stored_sequence);
  if (m_events.last_end() == m_events.stored_end())
    m_next_look = std::min(m_next_look, now);
  m_pacer.SetInterferenceCoefficients(instructions.interference_coefficients);
  if (!m_worker ||
      !(instructions.worker_incarnation == m_worker->worker_incarnation))
    return;
  m_needs_full_report |= instructions.needs_full_report;
  for (const RunId& instruction : instructions.stops)
    OnStopOrder(instruction);
  if (instructions.lease == Millis(0))
    return;
  m_lease.OnGranted(instructions.report_sent_at, instructions.lease);
  // An order that was delayed beyond its own lease may belong to a run that
  // control has given to another worker since.
  if (now >= instructions.report_sent_at + instructions.lease) {
    m_counters.Add("agent_expired_orders");
    return;
  }
  if (instructions.report_sent_at < m_lapsed_at)
    return;
  m_is_lapse_unreported = false;
  if (m_was_lapsed)
    return;
  for (const StartInstruction& instruction : instructions.starts)
    OnStartOrder(instruction);
}

void WorkflowRunner::OnStartOrder(const StartInstruction& instruction) {
  const auto it = m_runs.find(instruction.task);
  if (it != m_runs.end()) {
    LocalRun& local = it->second;
    if (local.run != instruction.run)
      return;
    if (!local.is_described) {
      local.instruction = instruction;
      local.is_described = true;
    }
    if (local.stage == RunStage::kRunning)
      m_confirmed.push_back({instruction.task, instruction.run});
    return;
  }
  // Control has yet to hear that this run ended.
  if (m_events.Holds(instruction.task, instruction.run))
    return;
  const bool may_start = m_worker && !m_worker->is_draining && !m_has_left &&
                         !m_is_stopping && m_has_looked;
  if (!may_start) {
    // Control repeats the order to an agent that is about to know its worker.
    const bool is_final = m_worker && (m_worker->is_draining || m_has_left);
    if (is_final)
      EndRun(instruction.task, instruction.run, RunOutcome::kRefused,
             instruction.checkpoint, 0);
    return;
  }
  LocalRun& local = m_runs[instruction.task];
  local.run = instruction.run;
  local.instruction = instruction;
  local.is_described = true;
  local.since = m_clock.Now();
  local.progress_at = local.since;
  StartRun(instruction.task);
}

void WorkflowRunner::StartRun(const TaskName& task) {
  LocalRun& local = m_runs.at(task);
  const std::optional<Millis> lease_deadline =
      m_lease.TakeExtension(m_clock.Now());
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
  m_client.Start(request, [this, task, run = local.run,
                           worker_incarnation =
                               m_life_number](const StartResponse& answer) {
    if (worker_incarnation == m_life_number)
      OnStartAnswer(task, run, answer);
  });
}

void WorkflowRunner::OnStartAnswer(const TaskName& task,
                                   RunNumber run,
                                   const StartResponse& answer) {
  const Millis now = m_clock.Now();
  if (answer.worker_clock) {
    m_lease.OnWorkerClock(*answer.worker_clock, now);
    m_heard_at = now;
  }
  const auto it = m_runs.find(task);
  if (it == m_runs.end() || it->second.run != run)
    return;
  LocalRun& local = it->second;
  if (answer.result != StartResult::kStarted) {
    m_decisions.Write(
        DecisionLine("start_refused")
            .With("task", ToString(task))
            .With("run", int64_t{run})
            .With("verdict", static_cast<int64_t>(answer.result)));
  }
  if (local.stage != RunStage::kStarting)
    return;
  switch (answer.result) {
    case StartResult::kStarted:
      local.stage = RunStage::kRunning;
      local.since = now;
      local.progress_at = now;
      m_confirmed.push_back({task, run});
      m_is_report_urgent = true;
      m_pacer.Send(m_term);
      return;
    case StartResult::kUnknown:
      m_counters.Add("agent_unanswered_starts");
      m_unanswered.Add(task, run, now);
      local.stage = RunStage::kDoubtful;
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
  const Millis now = m_clock.Now();
  // An earlier agent process may have sent a copy that got no answer. A stop
  // that is answered keeps it from ever starting.
  const bool may_have_copy =
      now - m_started_at < UnansweredStarts::kLateOrderLimit ||
      m_unanswered.MayArrive(task, now);
  if (may_have_copy)
    StopRun(task);
  else
    EndRun(task, local.run, kind, local.instruction.checkpoint, 0);
}

void WorkflowRunner::OnStopOrder(const RunId& instruction) {
  if (m_has_left)
    return;
  const auto it = m_runs.find(instruction.task);
  if (it != m_runs.end() && it->second.run != instruction.run)
    return;
  const bool is_known = it != m_runs.end();
  if (is_known && (it->second.stage == RunStage::kStopping ||
                   it->second.stage == RunStage::kStopped)) {
    return;
  }
  LocalRun& local = m_runs[instruction.task];
  local.run = instruction.run;
  StopRun(instruction.task);
}

void WorkflowRunner::StopRun(const TaskName& task) {
  LocalRun& local = m_runs.at(task);
  local.stage = RunStage::kStopping;
  local.since = m_clock.Now();
  m_client.Stop(task, local.run, m_term,
                [this, task, run = local.run,
                 worker_incarnation = m_life_number](bool is_answered) {
                  const auto it = m_runs.find(task);
                  if (worker_incarnation != m_life_number ||
                      it == m_runs.end() || it->second.run != run ||
                      !is_answered) {
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
  if (!m_worker)
    return;
  for (auto& [task, local] : m_runs) {
    if (local.stage == RunStage::kStopping && now - local.since >= kStopRetry)
      StopRun(task);
  }
  if (!m_is_looking && now >= m_next_look && NeedsLook())
    Poll();
  CheckLapse();
  m_unanswered.StopEarlier(m_term);
  if (IsReportDue())
    SendReport();
}

bool WorkflowRunner::NeedsLook() const {
  if (m_has_left)
    return false;
  return !m_has_looked || !m_runs.empty() || m_lists_ends ||
         m_events.last_end() > m_events.stored_end();
}

Millis WorkflowRunner::LookWait() const {
  if (!m_has_looked)
    return Millis(0);
  bool has_filler = false;
  bool has_serving = false;
  for (const auto& [task, local] : m_runs) {
    has_filler |= local.instruction.is_best_effort;
    has_serving |= local.instruction.latency_target > Millis(0);
    if (local.stage == RunStage::kDoubtful || local.stage == RunStage::kStopped)
      return kLookPause;
  }
  return has_filler && has_serving ? kWatchfulLookWait : kLookWait;
}

void WorkflowRunner::Poll() {
  const Millis now = m_clock.Now();
  PollRequest request;
  // An extension without an answer may have been carried out. After one, the
  // lease has to run out before the worker's runs count as over.
  if (m_is_last_look_answered)
    request.lease_deadline = m_lease.TakeExtension(now);
  // Ends are acknowledged only right after an answer that listed them: a life
  // that is not known yet counts its ends anew.
  request.acknowledged_ends = m_lists_ends ? m_events.stored_end() : 0;
  request.wait = LookWait();
  request.fencing_token = m_term;
  m_is_looking = true;
  const bool is_settled = !m_unanswered.HasEarlier();
  m_client.Poll(request,
                [this, now, is_settled, worker_incarnation = m_life_number](
                    const std::optional<PollResponse>& answer) {
                  if (worker_incarnation == m_life_number)
                    OnLook(now, is_settled, answer);
                });
}

void WorkflowRunner::OnLook(Millis sent_at,
                            bool is_settled,
                            const std::optional<PollResponse>& answer) {
  const Millis now = m_clock.Now();
  m_is_looking = false;
  m_is_last_look_answered = answer.has_value();
  m_lists_ends = false;
  m_next_look = now + (answer ? kLookPause : kLookRetry);
  if (!answer) {
    m_counters.Add("agent_unanswered_looks");
    return;
  }
  // Another life answers under the same id; it will announce itself.
  if (answer->start_time_unix_ms != 0 &&
      answer->start_time_unix_ms !=
          m_worker->worker_incarnation.start_time_unix_ms) {
    m_counters.Add("agent_looks_of_other_life");
    return;
  }
  m_heard_at = now;
  m_was_lapsed = false;
  m_lease.OnWorkerClock(answer->worker_clock, now);
  m_lists_ends = !answer->ended.empty();
  FollowEnds(*answer);
  FollowRows(*answer, sent_at);
  // What a new life did of the earlier one's runs has to be known before
  // control hears of it.
  m_has_looked |= is_settled;
  // A worker answers at once while it lists an end, so that the next look waits
  // until control has stored the ends.
  if (m_events.last_end() > m_events.stored_end())
    m_next_look = now + kUnstoredPause;
  m_pacer.OnLook(*answer);
  m_pacer.Send(m_term);
  if (m_is_report_urgent && IsReportDue())
    SendReport();
}

void WorkflowRunner::FollowEnds(const PollResponse& answer) {
  for (const EndedRun& row : answer.ended) {
    if (row.number <= m_events.last_end())
      continue;
    EndRun(row.task, row.run, row.kind, row.checkpoint, row.number);
  }
}

void WorkflowRunner::FollowRows(const PollResponse& answer, Millis sent_at) {
  const Millis now = m_clock.Now();
  std::set<TaskName> listed_runs;
  for (const RunStatus& row : answer.running) {
    listed_runs.insert(row.task);
    const auto [it, is_new] = m_runs.try_emplace(row.task);
    LocalRun& local = it->second;
    if (!is_new && local.run != row.run)
      continue;
    const bool becomes_known = is_new || local.stage == RunStage::kStarting ||
                               local.stage == RunStage::kDoubtful;
    if (becomes_known) {
      local.run = row.run;
      local.stage = RunStage::kRunning;
      local.since = now;
      local.progress_at = now;
      // A run that is found after a restart may have been slowed down.
      if (is_new)
        local.speed_limit_percent = -1;
      m_confirmed.push_back({row.task, row.run});
      m_is_report_urgent = true;
    }
    NoteProgress(local, row.percent, now);
  }
  SettleUnlisted(listed_runs, sent_at);
}

void WorkflowRunner::SettleUnlisted(const std::set<TaskName>& listed_runs,
                                    Millis sent_at) {
  std::vector<TaskName> doubtful;
  std::vector<TaskName> gone;
  for (auto& [task, local] : m_runs) {
    if (listed_runs.contains(task) || sent_at <= local.since)
      continue;
    if (local.stage == RunStage::kRunning ||
        local.stage == RunStage::kDoubtful) {
      doubtful.push_back(task);
    } else if (local.stage == RunStage::kStopped &&
               sent_at > local.since + m_options.stop_timeout) {
      gone.push_back(task);
    }
  }
  // An answered stop keeps a run that is not there from ever starting.
  for (const TaskName& task : doubtful)
    StopRun(task);
  for (const TaskName& task : gone) {
    const LocalRun& local = m_runs.at(task);
    EndRun(task, local.run, RunOutcome::kRefused, local.instruction.checkpoint,
           0);
  }
}

bool WorkflowRunner::IsWorkerReachable() const {
  return m_clock.Now() - m_heard_at < kReachableFor;
}

bool WorkflowRunner::HasLapsed() const {
  return m_has_left ||
         (!IsWorkerReachable() && m_lease.HasSurelyLapsed(m_clock.Now()));
}

void WorkflowRunner::CheckLapse() {
  if (m_was_lapsed || !HasLapsed())
    return;
  m_was_lapsed = true;
  m_lapsed_at = m_clock.Now();
  m_is_lapse_unreported = true;
  // A worker that comes back is looked at before it gets runs again.
  m_has_looked = false;
  m_needs_full_report = true;
  m_is_report_urgent = true;
  m_decisions.Write(DecisionLine("worker_lapsed")
                        .With("life", m_worker->worker_incarnation.id)
                        .With("silent_ms", m_clock.Now() - m_heard_at)
                        .With("runs", static_cast<int64_t>(m_runs.size())));
  m_runs.clear();
}

}  // namespace fulmarrock
