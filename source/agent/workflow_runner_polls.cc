#include <algorithm>

#include "source/agent/run_progress.h"
#include "source/agent/workflow_runner.h"

// Polls of the worker, and what their responses say about its runs.

namespace fulmarrock {
namespace {

/// How long a worker may wait for a run to end before it responds to a poll.
constexpr Millis kMaxPollWait{600};
/// The same while best-effort tasks run beside latency-critical tasks, whose
/// latency measurements cover half a second.
constexpr Millis kMaxPollWaitForLatency{200};
/// Delay of the next poll after one that got no response.
constexpr Millis kPollRetryDelay{200};
/// Delay of the next poll while control has not stored all listed run ends.
constexpr Millis kPollDelayWhileUnstored{150};
/// Shortest time from a response to the next poll.
constexpr Millis kMinPollPause{20};

}  // namespace

bool WorkflowRunner::NeedsPoll() const {
  if (m_has_ended)
    return false;
  // A start that an earlier agent process or worker incarnation got may still
  // execute. Only a list shows it.
  if (m_active_clock.Now() < m_poll_until)
    return true;
  return !m_has_polled || !m_runs.empty() || m_last_listed_end != 0 ||
         m_events.last_end() > m_events.stored_end();
}

Millis WorkflowRunner::MaxPollWait() const {
  if (!m_has_polled)
    return Millis(0);
  bool has_best_effort = false;
  bool has_latency_critical = false;
  for (const auto& [task, local] : m_runs) {
    has_best_effort |= local.instruction.is_best_effort;
    has_latency_critical |= local.instruction.latency_target > Millis(0);
    if (local.stage == RunStage::kUnconfirmed ||
        local.stage == RunStage::kStopped)
      return kMinPollPause;
  }
  return has_best_effort && has_latency_critical ? kMaxPollWaitForLatency
                                                 : kMaxPollWait;
}

uint64_t WorkflowRunner::AcknowledgedEnds() const {
  // Ends are acknowledged only right after a response that listed some: a
  // worker incarnation that is not known here yet numbers its ends from 1
  // again.
  if (m_last_listed_end == 0)
    return 0;
  // Ends of runs that another program started need not be stored.
  const bool are_all_stored = m_events.stored_end() == m_events.last_end();
  return are_all_stored ? std::max(m_last_listed_end, m_events.stored_end())
                        : m_events.stored_end();
}

void WorkflowRunner::Poll() {
  const Millis now = m_clock.Now();
  PollRequest request;
  // The lease of a worker that may have ended has to expire.
  if (!m_is_deregistered)
    request.lease_deadline = m_lease.TakeExtension();
  request.acknowledged_ends = AcknowledgedEnds();
  request.wait = MaxPollWait();
  request.fencing_token = m_term;
  m_is_polling = true;
  SentPoll poll;
  poll.sent_at = now;
  poll.has_extension = request.lease_deadline.has_value();
  poll.is_after_deregistration = m_is_deregistered;
  poll.has_no_earlier_starts = !m_unconfirmed_starts.HasEarlierStarts();
  m_client.Poll(request,
                [this, poll, incarnation_number = m_incarnation_number](
                    const tl::expected<PollResponse, PollError>& response) {
                  if (incarnation_number == m_incarnation_number)
                    OnPollResponse(poll, response);
                });
}

void WorkflowRunner::OnPollResponse(
    const SentPoll& poll,
    const tl::expected<PollResponse, PollError>& response) {
  const Millis now = m_clock.Now();
  m_is_polling = false;
  m_last_listed_end = 0;
  m_next_poll = now + (response ? kMinPollPause : kPollRetryDelay);
  if (!response) {
    OnPollError(poll, response.error());
    return;
  }
  if (IsOfOtherIncarnation(response->start_time_unix_ms)) {
    OnPollOfOtherIncarnation(poll);
    return;
  }
  const bool has_start_time = response->start_time_unix_ms != 0;
  if (poll.has_extension)
    m_lease.OnExtensionEnded(has_start_time ? Recipient::kKnown
                                            : Recipient::kAny);
  const bool was_unanswered = m_lease.IsUnanswered();
  m_lease.OnResponse(response->worker_clock, poll.sent_at, has_start_time);
  m_is_report_urgent |= was_unanswered && !m_lease.IsUnanswered();
  m_last_contact = now;
  m_is_lease_expired = false;
  m_lost_runs.OnWorkerResponsive();
  m_last_listed_end = response->last_listed_end;
  ProcessEndedRuns(*response);
  ProcessListedRuns(*response, poll.sent_at);
  // A new worker incarnation may have executed starts for the earlier one. It
  // has to be polled after those are stopped, before control learns of it. As
  // long as some ends are not listed, control would start their tasks again.
  m_has_polled |= poll.has_no_earlier_starts && response->has_all_ends;
  // A worker responds at once while it lists ended runs, so that the next poll
  // is delayed until control may have stored them.
  if (m_events.last_end() > m_events.stored_end())
    m_next_poll = now + kPollDelayWhileUnstored;
  m_speed_limiter.OnPollResponse(*response);
  m_speed_limiter.Send(m_term);
  if (m_is_report_urgent && IsReportDue())
    SendReport();
}

void WorkflowRunner::OnPollError(const SentPoll& poll, const PollError& error) {
  m_counters.Add("agent_unanswered_looks");
  // Control is told at once that the worker accepts no runs.
  m_is_report_urgent |= !m_lease.IsUnanswered();
  if (poll.has_extension)
    m_lease.OnExtensionEnded(error.recipient);
  m_lease.OnNoResponse();
  if (error.failure == PollFailure::kConnectionLost)
    m_lost_runs.OnConnectionLost(m_clock.Now());
  // A worker that has deregistered accepts connections until it ends.
  const bool is_refused = error.failure == PollFailure::kConnectionLost &&
                          error.recipient == Recipient::kNone;
  m_has_ended |= is_refused && poll.is_after_deregistration;
}

void WorkflowRunner::OnPollOfOtherIncarnation(const SentPoll& poll) {
  // That incarnation will announce itself.
  m_counters.Add("agent_looks_of_other_life");
  if (poll.has_extension)
    m_lease.OnExtensionEnded(Recipient::kAny);
  m_lease.OnOtherIncarnation();
}

void WorkflowRunner::ProcessEndedRuns(const PollResponse& response) {
  for (const EndedRun& listed_run : response.ended) {
    if (listed_run.number <= m_events.last_end())
      continue;
    m_lost_runs.Remove(listed_run.task, listed_run.run);
    EndRun(listed_run.task, listed_run.run, listed_run.kind,
           listed_run.checkpoint, listed_run.number);
  }
}

void WorkflowRunner::ProcessListedRuns(const PollResponse& response,
                                       Millis sent_at) {
  const Millis now = m_clock.Now();
  std::set<TaskName> listed_runs;
  for (const RunStatus& listed_run : response.running) {
    listed_runs.insert(listed_run.task);
    m_lost_runs.Remove(listed_run.task, listed_run.run);
    const auto [it, is_new] = m_runs.try_emplace(listed_run.task);
    LocalRun& local = it->second;
    local.is_listed = true;
    if (!is_new && local.run != listed_run.run)
      continue;
    const bool is_newly_confirmed = is_new ||
                                    local.stage == RunStage::kStarting ||
                                    local.stage == RunStage::kUnconfirmed;
    if (is_newly_confirmed) {
      local.run = listed_run.run;
      local.stage = RunStage::kRunning;
      local.since = now;
      local.progress_at = now;
      if (is_new)
        local.started_at = now;
      // A run found after a restart of the agent may have any speed limit.
      if (is_new)
        local.speed_limit_percent = -1;
      m_newly_confirmed.push_back({listed_run.task, listed_run.run});
      m_is_report_urgent = true;
    }
    UpdateProgress(local, listed_run.percent, now);
    local.is_confirmed = true;
    if (HasStopTimedOut(local, sent_at)) {
      m_counters.Add("agent_repeated_stops");
      StopRun(listed_run.task);
    }
  }
  if (response.has_all_ends)
    ResolveUnlistedRuns(listed_runs, sent_at);
}

bool WorkflowRunner::HasStopTimedOut(const LocalRun& local,
                                     Millis poll_sent_at) const {
  return local.stage == RunStage::kStopped &&
         poll_sent_at > local.since + m_options.stop_timeout;
}

void WorkflowRunner::ResolveUnlistedRuns(const std::set<TaskName>& listed_runs,
                                         Millis sent_at) {
  std::vector<TaskName> unconfirmed;
  std::vector<TaskName> stopped_runs;
  for (auto& [task, local] : m_runs) {
    if (listed_runs.contains(task) || sent_at <= local.since)
      continue;
    if (local.stage == RunStage::kRunning ||
        local.stage == RunStage::kUnconfirmed) {
      unconfirmed.push_back(task);
    } else if (HasStopTimedOut(local, sent_at)) {
      stopped_runs.push_back(task);
    }
  }
  // After the response to a stop the worker never starts a run that it does not
  // list now.
  for (const TaskName& task : unconfirmed)
    StopRun(task);
  for (const TaskName& task : stopped_runs) {
    const LocalRun& local = m_runs.at(task);
    EndRun(task, local.run, RunOutcome::kRefused, local.instruction.checkpoint,
           0);
  }
}

}  // namespace fulmarrock
