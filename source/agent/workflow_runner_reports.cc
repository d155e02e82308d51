#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "source/agent/capacity_check.h"
#include "source/agent/run_progress.h"
#include "source/agent/workflow_runner.h"
#include "source/base/json_text.h"

// Reports to control, and the state dump.

namespace fulmarrock {
namespace {

/// Interval of reports without events.
constexpr Millis kReportInterval{500};
/// Interval of reports to all members while the leader is not known.
constexpr Millis kLeaderSearchInterval{250};
/// Unacknowledged events are sent again after this time.
constexpr Millis kEventResendDelay{400};

}  // namespace

bool WorkflowRunner::IsReportDue() const {
  if (m_unconfirmed_starts.HasEarlierStarts())
    return false;
  const Millis age = m_clock.Now() - m_last_report;
  if (!m_leader_tracker.IsLeaderResponsive(m_clock.Now()))
    return age >= kLeaderSearchInterval;
  const bool has_unsent = m_events.last_sequence() > m_sent_sequence;
  const bool has_unstored = !m_events.events().empty();
  return m_is_report_urgent || has_unsent || age >= kReportInterval ||
         (has_unstored && age >= kEventResendDelay);
}

void WorkflowRunner::SendReport() {
  const Millis now = m_clock.Now();
  const WorkerReport report = MakeReport();
  m_last_report = now;
  m_is_report_urgent = false;
  if (m_leader_tracker.IsLeaderResponsive(now)) {
    m_transport.Send(m_leader_tracker.leader(), report);
    return;
  }
  m_counters.Add("agent_searches_for_leader");
  for (const NodeId& member : m_leader_tracker.candidates())
    m_transport.Send(member, report);
}

WorkerReport WorkflowRunner::MakeReport() {
  const Millis now = m_clock.Now();
  WorkerReport report;
  report.agent_incarnation = m_options.incarnation;
  report.sent_at = now;
  report.worker_incarnation = m_worker->worker_incarnation;
  report.attributes = m_worker->attributes;
  report.all_runs_ended = HaveAllRunsEnded() || m_is_expiry_unreported;
  report.is_accepting_runs = !report.all_runs_ended && !m_worker->is_draining &&
                             !m_is_deregistered && !m_is_shutting_down &&
                             m_has_polled && IsWorkerReachable() &&
                             !m_lease.IsUnanswered();
  // The runs continue while this process restarts, within the worker's lease.
  report.is_draining = m_worker->is_draining;
  report.is_full_report = m_needs_full_report && m_has_polled;
  if (report.is_full_report) {
    for (const auto& [task, local] : m_runs) {
      if (local.stage == RunStage::kRunning)
        report.listed_runs.push_back({task, local.run});
    }
    m_needs_full_report = false;
  } else {
    report.listed_runs = m_newly_confirmed;
  }
  m_newly_confirmed.clear();
  // Control releases all runs on a report that all have ended, so that it needs
  // every end with it.
  const bool resends = now - m_all_events_sent_at >= kEventResendDelay ||
                       !m_leader_tracker.IsLeaderResponsive(now) ||
                       report.is_full_report || report.all_runs_ended;
  if (resends)
    m_all_events_sent_at = now;
  for (const RunEvent& event : m_events.events()) {
    if (resends || event.sequence > m_sent_sequence)
      report.events.push_back(event);
  }
  m_sent_sequence = m_events.last_sequence();
  report.stored_sequence = m_events.stored_sequence();
  if (IsWorkerReachable())
    report.stalled_runs = FindStalledRuns(m_runs, now);
  report.runs_without_instruction = FindRunsWithoutInstruction(m_runs);
  m_speed_limiter.AddSamples(report);
  report.lost_runs = m_lost_runs.ToReport(now);
  return report;
}

bool WorkflowRunner::IsDrained() const {
  if (!m_is_shutting_down)
    return false;
  // What control does not know yet it would wait for as long as its lease
  // lasts.
  const bool has_unreported_end = !m_events.events().empty() ||
                                  m_is_expiry_unreported ||
                                  (m_is_deregistered && !m_runs.empty());
  if (has_unreported_end)
    return false;
  return std::none_of(m_runs.begin(), m_runs.end(), [](const auto& item) {
    return item.second.stage == RunStage::kStarting ||
           item.second.stage == RunStage::kStopping;
  });
}

std::string WorkflowRunner::DumpState() const {
  nlohmann::json runs = nlohmann::json::array();
  for (const auto& [task, local] : m_runs) {
    runs.push_back({{"task", ToString(task)},
                    {"run", local.run},
                    {"stage", static_cast<int>(local.stage)},
                    {"pace_percent", local.speed_limit_percent},
                    {"progress_percent", local.progress_percent}});
  }
  const nlohmann::json state = {
      {"worker", m_worker ? m_worker->worker_incarnation.id : std::string()},
      {"is_leaving", m_worker && m_worker->is_draining},
      {"is_granted", m_lease.IsGranted()},
      {"is_unanswered", m_lease.IsUnanswered()},
      {"has_deregistered", m_is_deregistered},
      {"leader", m_leader_tracker.leader()},
      {"unstored_events", m_events.events().size()},
      {"runs", std::move(runs)}};
  return ToJsonText(state);
}

}  // namespace fulmarrock
