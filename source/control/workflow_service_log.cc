#include <utility>

#include <nlohmann/json.hpp>

#include "source/base/json_text.h"
#include "source/control/workflow_service.h"

// What the leader tells operators of its handling of workflows: periodic lines
// of the decision log, and the state dump.

namespace fulmarrock {
namespace {

/// How often the leader logs the amount of pending and active work.
constexpr Millis kLoadLogInterval{1'000};

/// A stop that is not confirmed this long after its first instruction is
/// logged.
constexpr Millis kOverdueStop{3'000};

}  // namespace

void WorkflowService::LogLoad(Millis now) {
  if (now < m_next_load_log)
    return;
  m_next_load_log = now + kLoadLogInterval;
  LogOverdueStops(now);
  const SchedulingLoad load = m_scheduler.MeasureLoad();
  m_decisions->Write(
      DecisionLine("scheduling_load")
          .With("open_workflows", static_cast<int64_t>(m_state.open().size()))
          .With("waiting", load.pending)
          .With("waiting_fillers", load.pending_best_effort)
          .With("waiting_lasting", load.pending_long_running)
          .With("active", load.active)
          .With("active_fillers", load.active_best_effort)
          .With("active_lasting", load.active_long_running)
          .With("filler_cpu_millicores", load.best_effort_cpu_millicores)
          .With("expected_idle_millicores", load.expected_idle_millicores)
          .With("free_cpu_millicores", load.free_cpu_millicores)
          .With("workers", static_cast<int64_t>(Statuses(now).size()))
          .With("quarantined_workers",
                m_scheduler.health().CountQuarantined()));
}

void WorkflowService::LogOverdueStops(Millis now) {
  for (const auto& [agent, link] : m_links) {
    for (const RunId& run : link.OverdueStops(kOverdueStop, now)) {
      m_counters.Add("control_overdue_stops");
      m_decisions->Write(
          DecisionLine("stop_overdue")
              .With("task", ToString(run.task))
              .With("run", int64_t{run.run})
              .With("worker", agent)
              .With("report_age_ms", now - link.last_report_at()));
    }
  }
}

std::string WorkflowService::DumpState(Millis now) const {
  nlohmann::json workers = nlohmann::json::array();
  for (const auto& [number, entry] : m_state.workers()) {
    const WorkerAllocation* allocation = m_scheduler.FindAllocation(number);
    workers.push_back(
        {{"worker", entry.agent},
         {"life", entry.worker_incarnation.id},
         {"runs", m_state.RunsOf(number).size()},
         {"is_heard", m_leases.HasRecentReport(number, now)},
         {"is_usable", m_scheduler.health().IsUsable(number, now)},
         {"free_cpu_millicores", allocation ? allocation->free_cpu() : 0}});
  }
  return ToJsonText(nlohmann::json{
      {"directory_version", m_state.queue_configuration().version},
      {"open_workflows", m_state.open().size()},
      {"blocked_steps", m_scheduler.blocked_steps()},
      {"workers", std::move(workers)}});
}

}  // namespace fulmarrock
