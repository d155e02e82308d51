#include "source/agent/workflow_runner.h"

// Announcements and deregistrations of the worker, and which incarnation of it
// is the current one.

namespace fulmarrock {
namespace {

/// Largest step between the sequence numbers of two announcements of a worker.
/// A worker sends about one a second.
constexpr uint64_t kMaxSequenceStep = 1'000'000;

/// Whether an announcement with the identity of the current worker is one that
/// this worker sent after `current`. Its address and service never change.
bool IsNextAnnouncement(const WorkerAnnouncement& current,
                        const WorkerAnnouncement& announcement) {
  return announcement.sequence > current.sequence &&
         announcement.sequence - current.sequence <= kMaxSequenceStep &&
         announcement.address == current.address &&
         announcement.attributes.service == current.attributes.service;
}

}  // namespace

bool WorkflowRunner::OnAnnouncement(const WorkerAnnouncement& announcement) {
  if (m_worker &&
      m_worker->worker_incarnation == announcement.worker_incarnation) {
    if (!IsNextAnnouncement(*m_worker, announcement)) {
      m_counters.Add("agent_ignored_announcements");
      return false;
    }
    UpdateWorker(announcement);
    m_last_contact = m_clock.Now();
    m_is_lease_expired = false;
    return true;
  }
  if (!MayReplaceWorker(announcement, WorkerIdentity::kConfirmed)) {
    m_counters.Add("agent_old_announcements");
    return false;
  }
  m_candidates.Add(announcement, m_term);
  return true;
}

bool WorkflowRunner::MayReplaceWorker(const WorkerAnnouncement& announcement,
                                      WorkerIdentity identity) const {
  if (!m_worker || announcement.worker_incarnation.start_time_unix_ms >
                       m_worker->worker_incarnation.start_time_unix_ms)
    return true;
  // The time of day that an incarnation takes for its start may have been
  // wrong. One that confirms its start time is the current one if it is found
  // at the same address, or if the other is gone.
  return identity == WorkerIdentity::kConfirmed &&
         (announcement.address == m_worker->address || HaveAllRunsEnded());
}

void WorkflowRunner::OnConfirmedCandidate(
    const WorkerAnnouncement& announcement,
    WorkerIdentity identity) {
  const bool is_current = m_worker && m_worker->worker_incarnation ==
                                          announcement.worker_incarnation;
  if (is_current || !MayReplaceWorker(announcement, identity))
    return;
  AdoptWorkerIncarnation(announcement);
  m_last_contact = m_clock.Now();
}

void WorkflowRunner::UpdateWorker(const WorkerAnnouncement& announcement) {
  if (m_is_deregistered)
    ResumeDeregisteredWorker();
  m_is_report_urgent |= announcement.is_draining != m_worker->is_draining;
  if (announcement.attributes.capacity() != m_worker->attributes.capacity())
    OnCapacityChange(announcement);
  if (announcement.is_draining && !m_worker->is_draining) {
    m_decisions.Write(DecisionLine("worker_leaving")
                          .With("life", announcement.worker_incarnation.id)
                          .With("runs", static_cast<int64_t>(m_runs.size())));
  }
  // A worker that is draining cannot accept runs again.
  const bool is_draining = m_worker->is_draining || announcement.is_draining;
  m_worker = announcement;
  m_worker->is_draining = is_draining;
  m_lost_runs.OnWorkerResponsive();
  if (announcement.worker_clock)
    m_lease.OnAnnouncement(*announcement.worker_clock);
}

void WorkflowRunner::ResumeDeregisteredWorker() {
  m_counters.Add("agent_resumed_workers");
  m_decisions.Write(DecisionLine("worker_resumed")
                        .With("life", m_worker->worker_incarnation.id));
  m_is_deregistered = false;
  m_has_ended = false;
  // Control may have released the worker's runs. The worker is polled before it
  // gets others, so that those which are still active are found and stopped.
  m_has_polled = false;
  m_needs_full_report = true;
  m_is_report_urgent = true;
}

void WorkflowRunner::OnCapacityChange(const WorkerAnnouncement& announcement) {
  m_is_report_urgent = true;
  m_decisions.Write(
      DecisionLine("worker_capacity_changed")
          .With("life", announcement.worker_incarnation.id)
          .With("cpu_millicores", announcement.attributes.cpu_millicores)
          .With("memory_mib", announcement.attributes.memory_mib)
          .With("accelerators", announcement.attributes.accelerators));
}

void WorkflowRunner::AdoptWorkerIncarnation(
    const WorkerAnnouncement& announcement) {
  const Millis now = m_clock.Now();
  m_decisions.Write(
      DecisionLine("worker_life")
          .With("life", announcement.worker_incarnation.id)
          .With("born", announcement.worker_incarnation.start_time_unix_ms)
          .With("cpu_millicores", announcement.attributes.cpu_millicores)
          .With("lost_runs", static_cast<int64_t>(m_runs.size())));
  const bool is_first = !m_worker;
  const bool has_same_id = m_worker && m_worker->worker_incarnation.id ==
                                           announcement.worker_incarnation.id;
  m_unconfirmed_starts.OnNewWorkerIncarnation(m_runs);
  // The runs of a worker that was draining ended as planned.
  if (!is_first && !m_worker->is_draining && !m_is_deregistered)
    m_lost_runs.OnCrash(m_runs, now);
  m_worker = announcement;
  m_is_deregistered = false;
  m_has_ended = false;
  m_is_lease_expired = false;
  m_is_expiry_unreported = false;
  ++m_incarnation_number;
  m_runs.clear();
  m_newly_confirmed.clear();
  m_events.DiscardEndNumbers();
  m_is_polling = false;
  m_has_polled = false;
  m_last_listed_end = 0;
  m_needs_full_report = true;
  m_next_poll = now;
  if (is_first || has_same_id)
    m_poll_until = m_active_clock.Now() + UnconfirmedStarts::kMaxRequestDelay;
  m_speed_limiter.OnNewWorkerIncarnation();
  if (!is_first)
    m_lease.ResetWorker(has_same_id);
  m_client.SetWorker(announcement.worker_incarnation, announcement.address);
  m_is_report_urgent = true;
}

bool WorkflowRunner::IsFromCurrentWorker(
    const WorkerDeregistration& deregistration) const {
  if (!m_worker || m_worker->worker_incarnation.id != deregistration.id)
    return false;
  // A worker drains before a planned end, so that a deregistration without a
  // start time is from an earlier incarnation unless this one is draining.
  if (!deregistration.start_time_unix_ms)
    return m_worker->is_draining;
  return *deregistration.start_time_unix_ms ==
         m_worker->worker_incarnation.start_time_unix_ms;
}

bool WorkflowRunner::OnDeregistration(
    const WorkerDeregistration& deregistration) {
  const bool is_current = IsFromCurrentWorker(deregistration);
  m_decisions.Write(
      DecisionLine(is_current ? "worker_left" : "deregistration_ignored")
          .With("life", deregistration.id)
          .With("born", deregistration.start_time_unix_ms.value_or(0))
          .With("current_born",
                m_worker ? m_worker->worker_incarnation.start_time_unix_ms : 0)
          .With("runs", static_cast<int64_t>(m_runs.size())));
  if (!is_current) {
    m_counters.Add("agent_ignored_deregistrations");
    return false;
  }
  // Repetitions say nothing new.
  if (m_is_deregistered)
    return true;
  m_is_deregistered = true;
  m_unconfirmed_starts.OnDeregistration();
  StopAllRuns();
  m_is_report_urgent = true;
  return true;
}

void WorkflowRunner::StopAllRuns() {
  std::vector<TaskName> tasks;
  for (const auto& [task, local] : m_runs) {
    const bool is_stopping =
        local.stage == RunStage::kStopping || local.stage == RunStage::kStopped;
    if (!is_stopping)
      tasks.push_back(task);
  }
  for (const TaskName& task : tasks)
    StopRun(task);
}

}  // namespace fulmarrock
