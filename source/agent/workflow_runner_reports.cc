#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "source/agent/run_progress.h"
#include "source/agent/workflow_runner.h"

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
  if (!m_contact.IsHeard(m_clock.Now()))
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
  if (m_contact.IsHeard(now)) {
    m_transport.Send(m_contact.leader(), report);
    return;
  }
  m_counters.Add("agent_searches_for_leader");
  for (const NodeId& member : m_contact.members())
    m_transport.Send(member, report);
}

WorkerReport WorkflowRunner::MakeReport() {
  const Millis now = m_clock.Now();
  WorkerReport report;
  report.agent = m_options.incarnation;
  report.sent_at = now;
  report.life = m_worker->life;
  report.offer = m_worker->offer;
  report.has_lapsed = HaveAllRunsEnded() || m_is_expiry_unreported;
  report.is_taking = !report.has_lapsed && !m_worker->is_leaving &&
                     !m_is_deregistered && !m_is_shutting_down &&
                     m_has_polled && IsWorkerReachable();
  report.is_full = m_needs_full && m_has_polled;
  if (report.is_full) {
    for (const auto& [task, local] : m_runs) {
      if (local.stage == RunStage::kRunning)
        report.listed.push_back({task, local.run});
    }
    m_needs_full = false;
  } else {
    report.listed = m_confirmed;
  }
  m_confirmed.clear();
  const bool resends = now - m_last_report >= kEventResendDelay ||
                       !m_contact.IsHeard(now) || report.is_full;
  for (const RunEvent& event : m_events.events()) {
    if (resends || event.sequence > m_sent_sequence)
      report.events.push_back(event);
  }
  m_sent_sequence = m_events.last_sequence();
  report.stored_sequence = m_events.stored_sequence();
  if (IsWorkerReachable())
    report.stalls = FindStalledRuns(m_runs, now);
  m_pacer.AddSamples(report);
  return report;
}

bool WorkflowRunner::IsDrained() const {
  if (!m_is_shutting_down)
    return false;
  return std::none_of(m_runs.begin(), m_runs.end(), [](const auto& item) {
    return item.second.stage == RunStage::kStarting;
  });
}

std::string WorkflowRunner::DumpState() const {
  nlohmann::json runs = nlohmann::json::array();
  for (const auto& [task, local] : m_runs) {
    runs.push_back({{"task", ToString(task)},
                    {"run", local.run},
                    {"stage", static_cast<int>(local.stage)},
                    {"pace_percent", local.pace_percent},
                    {"progress_percent", local.progress_percent}});
  }
  const nlohmann::json state = {
      {"worker", m_worker ? m_worker->life.id : std::string()},
      {"is_leaving", m_worker && m_worker->is_leaving},
      {"is_granted", m_lease.IsGranted(m_clock.Now())},
      {"leader", m_contact.leader()},
      {"unstored_events", m_events.events().size()},
      {"runs", std::move(runs)}};
  return state.dump();
}

}  // namespace fulmarrock
