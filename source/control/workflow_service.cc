#include "source/control/workflow_service.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

#include "source/base/json_text.h"

namespace fulmarrock {
namespace {

/// Most runs planned in one command.
constexpr size_t kMaxPlannedRuns = 400;

/// Pending work is planned again after this time even if nothing changed,
/// because quarantines and no-capacity pauses of workers end.
constexpr Millis kReplanAfter{100};

/// How often interference coefficients are sent to the agents.
constexpr Millis kInterferenceUpdateInterval{1'500};

/// Smallest change of a coefficient that is stored for the next leader.
constexpr double kMinStoredCoefficientChange = 0.03;

/// How often best-effort tasks with a low speed limit are moved, and how many
/// at most.
constexpr Millis kMoveInterval{500};
constexpr size_t kMaxMoves = 12;

}  // namespace

WorkflowService::WorkflowService(const WorkflowState& state,
                                 const EvacuationTable& evacuations,
                                 Transport& transport,
                                 RandomSource& random,
                                 Counters& counters)
    : m_state(state),
      m_evacuations(evacuations),
      m_transport(transport),
      m_counters(counters),
      m_callers(state, transport, random, counters),
      m_scheduler(state, m_ordering, m_placement),
      m_leases(m_options.lease) {}

void WorkflowService::Configure(const WorkflowOptions& options,
                                DecisionLog& log) {
  m_options = options;
  m_decisions = &log;
  m_callers.Configure(log);
  m_leases.SetDuration(options.lease);
}

void WorkflowService::OnLeadershipGained(Millis now) {
  m_links.clear();
  m_callers.OnLeadershipGained();
  m_is_planning = false;
  m_is_dirty = true;
  m_next_plan = now;
  m_leases.Reset(now);
  m_interference_model.Restore(m_state.InterferenceCoefficients());
  m_next_interference_update = now;
  for (const auto& [number, worker] : m_state.workers())
    m_leases.Add(number);
  m_scheduler.Rebuild();
  m_decisions->Write(
      DecisionLine("leadership_gained")
          .With("term", static_cast<int64_t>(m_log->CurrentTerm()))
          .With("workflows", static_cast<int64_t>(m_state.open().size()))
          .With("directory_version",
                static_cast<int64_t>(m_state.queue_configuration().version)));
}

void WorkflowService::OnLeadershipLost() {
  m_callers.OnLeadershipLost();
  m_links.clear();
}

void WorkflowService::OnReport(const NodeId& from,
                               const WorkerReport& report,
                               WorkflowBatch& next,
                               Millis now) {
  const WorkerEntry* entry = m_state.FindWorkerOf(from);
  const bool is_stale =
      entry && entry->worker_incarnation.start_time_unix_ms >
                   report.worker_incarnation.start_time_unix_ms;
  if (is_stale || report.worker_incarnation.id.empty() ||
      report.agent_incarnation == 0) {
    m_counters.Add("control_stale_reports");
    return;
  }
  const bool is_registered =
      entry && entry->worker_incarnation == report.worker_incarnation;
  WorkerLink& link = LinkOf(from);
  if (link.IsFromReplacedProcess(report)) {
    m_counters.Add("control_reports_of_replaced_agents");
    return;
  }
  if (link.IsOutdated(report)) {
    m_counters.Add("control_outdated_reports");
    return;
  }
  if (!is_registered) {
    OnUnregisteredReport(link, entry, report, next, now);
    return;
  }
  if (!m_leases.OnReport(entry->number, now)) {
    m_counters.Add("control_reports_while_releasing");
    return;
  }
  link.OnReport(report, entry->number, now);
  std::vector<RunEvent> events = link.TakeEvents(report);
  if (!events.empty())
    next.events.push_back({from, report.agent_incarnation, std::move(events)});
  // A release makes the tasks of all runs pending whose ends are not stored
  // before it.
  const bool must_release = report.all_runs_ended && !link.is_releasing() &&
                            !link.HasUnproposedEvents() &&
                            !m_state.RunsOf(entry->number).empty();
  if (must_release) {
    link.BeginRelease();
    next.releases.push_back({entry->number, false});
  }
  if (report.has_samples)
    m_interference_model.Record(report.latency_critical_samples,
                                report.best_effort_samples);
  OnStalls(link, report, now);
  if (report.is_draining && !report.all_runs_ended)
    DrainWorker(link);
  SendInstructions(link, true, now);
  m_is_dirty = true;
}

void WorkflowService::OnUnregisteredReport(WorkerLink& link,
                                           const WorkerEntry* earlier,
                                           const WorkerReport& report,
                                           WorkflowBatch& next,
                                           Millis now) {
  const bool is_same_process =
      link.attached_agent_incarnation() == report.agent_incarnation;
  link.OnReport(report, kNoWorkerNumber, now);
  // Ends of runs that were assigned to an earlier worker incarnation are stored
  // before the registration of the new one releases those runs. They may be in
  // the next entry since an earlier report; an entry applies registrations
  // first.
  std::vector<RunEvent> ends = link.TakeEvents(report);
  if (!ends.empty())
    next.events.push_back(
        {link.agent(), report.agent_incarnation, std::move(ends)});
  const bool has_ends = std::any_of(
      next.events.begin(), next.events.end(),
      [&](const auto& other) { return other.agent == link.agent(); });
  // A start request of an earlier agent process may still reach the new worker
  // incarnation if it has the same id. Only a stop request there keeps the run
  // from starting.
  const bool must_stop_first =
      earlier && !is_same_process &&
      earlier->worker_incarnation.id == report.worker_incarnation.id &&
      !m_state.RunsOf(earlier->number).empty();
  if (must_stop_first && report.is_accepting_runs) {
    for (const TaskName& task : m_state.RunsOf(earlier->number))
      link.AddStop(task, m_state.FindTask(task)->run);
  } else if (!must_stop_first) {
    link.DiscardStops();
  }
  const bool is_proposed = std::any_of(
      next.workers.begin(), next.workers.end(),
      [&](const auto& other) { return other.agent == link.agent(); });
  const bool may_register = report.is_accepting_runs && !is_proposed &&
                            !has_ends && !link.HasUnproposedEvents() &&
                            !must_stop_first;
  if (may_register)
    next.workers.push_back({link.agent(), report.worker_incarnation,
                            report.attributes, report.lost_runs});
  SendInstructions(link, true, now);
}

void WorkflowService::OnStalls(WorkerLink& link,
                               const WorkerReport& report,
                               Millis now) {
  for (const StalledRun& stall : report.stalled_runs) {
    const WorkflowTask* task = m_state.FindTask(stall.task);
    const bool is_current = task && task->stage == TaskStage::kActive &&
                            task->run == stall.run &&
                            task->worker == link.worker();
    if (!is_current || link.IsStopping(stall.task))
      continue;
    m_counters.Add("control_stalled_runs");
    m_decisions->Write(DecisionLine("run_stalled")
                           .With("task", ToString(stall.task))
                           .With("run", int64_t{stall.run})
                           .With("worker", link.agent())
                           .With("quiet_ms", stall.time_without_progress)
                           .With("outcome", "stop"));
    m_scheduler.OnStall(stall.task, link.worker(), now);
    link.AddStop(stall.task, stall.run);
  }
}

void WorkflowService::DrainWorker(WorkerLink& link) {
  // Tasks that can resume elsewhere move at once; other tasks may still
  // complete in the time that is left.
  for (const TaskName& task : m_state.RunsOf(link.worker())) {
    const StepSpec& step = *m_state.FindStep(task);
    if (step.has_checkpoints || step.is_long_running)
      link.AddStop(task, m_state.FindTask(task)->run);
  }
}

void WorkflowService::OnTick(const PlanningTime& time, WorkflowBatch& next) {
  ReleaseExpired(time, next);
  Plan(time, next);
  MoveBestEffortTasks(time);
  SendInterferenceCoefficients(time.now, next);
  LogLoad(time.now);
  SendDueInstructions(time.now);
}

void WorkflowService::MoveBestEffortTasks(const PlanningTime& time) {
  if (m_is_planning || time.now < m_next_move)
    return;
  m_next_move = time.now + kMoveInterval;
  for (const TaskName& task :
       m_scheduler.FindMoves(Statuses(time.now), time, kMaxMoves)) {
    const WorkflowTask& state = *m_state.FindTask(task);
    WorkerLink* link = FindLink(state.worker);
    if (!link || link->IsStopping(task))
      continue;
    m_counters.Add("control_moved_fillers");
    m_decisions->Write(DecisionLine("filler_moved")
                           .With("task", ToString(task))
                           .With("run", int64_t{state.run})
                           .With("worker", link->agent()));
    link->AddStop(task, state.run);
  }
}

void WorkflowService::SendInterferenceCoefficients(Millis now,
                                                   WorkflowBatch& next) {
  if (now < m_next_interference_update)
    return;
  m_next_interference_update = now + kInterferenceUpdateInterval;
  const std::vector<InterferenceCoefficient> interference_coefficients =
      m_interference_model.KnownCoefficients();
  if (interference_coefficients.empty())
    return;
  for (auto& [agent, link] : m_links)
    link.SetInterferenceCoefficients(interference_coefficients);
  for (const InterferenceCoefficient& coefficient : interference_coefficients) {
    const std::optional<double> stored =
        m_state.FindInterferenceCoefficient(coefficient);
    if (!stored || std::abs(*stored - coefficient.growth_per_core) >=
                       kMinStoredCoefficientChange) {
      next.interference_coefficients.push_back(coefficient);
    }
  }
}

void WorkflowService::ReleaseExpired(const PlanningTime& time,
                                     WorkflowBatch& next) {
  for (const WorkerNumber worker : m_leases.TakeExpired(time.now)) {
    const WorkerEntry* entry = m_state.FindWorker(worker);
    if (!entry)
      continue;
    m_counters.Add("control_worker_leases_expired");
    m_decisions->Write(
        DecisionLine("worker_lease_expired")
            .With("worker", entry->agent)
            .With("life", entry->worker_incarnation.id)
            .With("runs", static_cast<int64_t>(m_state.RunsOf(worker).size())));
    next.releases.push_back({worker, true});
  }
}

void WorkflowService::Plan(const PlanningTime& time, WorkflowBatch& next) {
  const bool is_due = m_is_dirty || time.now >= m_next_plan;
  if (m_is_planning || !is_due)
    return;
  m_is_dirty = false;
  m_next_plan = time.now + kReplanAfter;
  std::vector<AssignRun> plan =
      m_scheduler.Plan(Statuses(time.now), time, kMaxPlannedRuns);
  if (plan.empty())
    return;
  m_is_planning = true;
  next.assignments = std::move(plan);
}

std::map<WorkerNumber, WorkerStatus> WorkflowService::Statuses(
    Millis now) const {
  std::map<WorkerNumber, WorkerStatus> statuses;
  for (const auto& [agent, link] : m_links) {
    const WorkerReport& report = link.last_report();
    if (link.worker() == kNoWorkerNumber ||
        !m_leases.HasRecentReport(link.worker(), now)) {
      continue;
    }
    statuses[link.worker()] = {
        report.is_accepting_runs && !report.all_runs_ended &&
            !IsEvacuated(link.worker()),
        report.attributes.capacity(), link.latency_critical_samples(),
        link.best_effort_samples()};
  }
  return statuses;
}

void WorkflowService::OnEffects(const WorkflowEffects& effects, Millis now) {
  if (effects.IsEmpty())
    return;
  if (effects.has_assignments)
    m_is_planning = false;
  m_is_dirty = true;
  if (effects.has_new_queue_configuration) {
    m_decisions->Write(
        DecisionLine("directory_changed")
            .With("version",
                  static_cast<int64_t>(m_state.queue_configuration().version)));
  }
  m_scheduler.OnEffects(effects, now);
  for (const WorkerNumber worker : effects.registered)
    OnRegistered(worker);
  for (const WorkerNumber worker : effects.removed)
    m_leases.Remove(worker);
  for (const RunChange& change : effects.runs)
    TrackRunChange(change);
  for (const RunChange& change : effects.runs) {
    const bool is_refused = change.kind == RunChange::Kind::kEnded &&
                            change.end == RunOutcome::kRefused;
    if (is_refused)
      m_scheduler.OnNoCapacity(change.worker, now);
  }
  for (const WorkerNumber worker : effects.released)
    OnReleased(worker);
  for (const WorkflowKey key : effects.ended)
    StopWorkflow(key);
  for (const StoredEvents& stored : effects.stored)
    LinkOf(stored.agent).OnStored(stored);
  for (const CommandResult& result : effects.command_results)
    m_callers.OnCommitted(result);
  for (const StoredEvents& stored : effects.stored)
    SendInstructions(LinkOf(stored.agent), true, now);
  SendDueInstructions(now);
}

void WorkflowService::OnReleased(WorkerNumber worker) {
  m_leases.OnReleased(worker);
  if (WorkerLink* link = FindLink(worker))
    link->OnReleased();
}

void WorkflowService::OnRegistered(WorkerNumber worker) {
  m_leases.Add(worker);
  const WorkerEntry& entry = *m_state.FindWorker(worker);
  WorkerLink& link = LinkOf(entry.agent);
  m_decisions->Write(DecisionLine("worker_registered")
                         .With("worker", entry.agent)
                         .With("life", entry.worker_incarnation.id)
                         .With("service", entry.attributes.service));
  if (link.Attach(worker, entry.worker_incarnation))
    m_leases.OnReport(worker, link.last_report_at());
}

void WorkflowService::TrackRunChange(const RunChange& change) {
  WorkerLink* link = FindLink(change.worker);
  if (change.kind == RunChange::Kind::kAssigned) {
    m_decisions->Write(DecisionLine("run_assigned")
                           .With("task", ToString(change.task))
                           .With("run", int64_t{change.run})
                           .With("worker", link ? link->agent() : "unknown"));
    if (link)
      link->AddStart(change.task, change.run);
    return;
  }
  m_counters.Add(change.kind == RunChange::Kind::kEnded
                     ? "control_runs_ended"
                     : "control_runs_released");
  m_decisions->Write(DecisionLine("run_over")
                         .With("task", ToString(change.task))
                         .With("run", int64_t{change.run})
                         .With("worker", link ? link->agent() : "unknown")
                         .With("outcome", change.kind == RunChange::Kind::kEnded
                                              ? ToString(change.end)
                                              : std::string_view("released")));
  if (link)
    link->OnRunEnded(change.task);
}

void WorkflowService::StopWorkflow(WorkflowKey key) {
  const WorkflowRecord* workflow = m_state.Find(key);
  if (!workflow)
    return;
  int64_t stops = 0;
  for (uint32_t k = 0; k < workflow->occurrences.size(); ++k) {
    const auto& steps = workflow->occurrences[k].steps;
    for (uint32_t s = 0; s < steps.size(); ++s) {
      for (uint32_t i = 0; i < steps[s].tasks.size(); ++i) {
        const WorkflowTask& task = steps[s].tasks[i];
        WorkerLink* link = FindLink(task.worker);
        if (task.stage != TaskStage::kActive || !link)
          continue;
        link->AddStop({key, k, s, i}, task.run);
        ++stops;
      }
    }
  }
  // The runs without a stop instruction are on workers that have not reported
  // to this leader; they get it with their first report.
  m_decisions->Write(DecisionLine("workflow_ended")
                         .With("workflow", FormatWorkflowKey(key))
                         .With("phase", static_cast<int64_t>(workflow->phase))
                         .With("runs", int64_t{workflow->active})
                         .With("stops", stops));
}

void WorkflowService::SendDueInstructions(Millis now) {
  for (auto& [agent, link] : m_links) {
    const bool is_due = link.worker() != kNoWorkerNumber &&
                        m_leases.HasRecentReport(link.worker(), now) &&
                        link.HasDueInstructions(now);
    if (is_due)
      SendInstructions(link, false, now);
  }
}

void WorkflowService::SendInstructions(WorkerLink& link,
                                       bool is_reply,
                                       Millis now) {
  const bool may_extend = link.worker() != kNoWorkerNumber;
  if (!link.has_report() || (!may_extend && !is_reply))
    return;
  WorkerInstructions instructions = link.TakeInstructions(
      m_log->CurrentTerm(), may_extend ? m_options.lease : Millis(0), now);
  instructions.members = MemberNodesOf(*m_log);
  instructions.evacuation_version = m_evacuations.version();
  instructions.is_evacuated = may_extend && IsEvacuated(link.worker());
  m_transport.Send(link.agent(), instructions);
}

bool WorkflowService::IsEvacuated(WorkerNumber worker) const {
  const WorkerEntry* entry = m_state.FindWorker(worker);
  return entry && m_evacuations.IsEvacuated(entry->attributes.data_centre);
}

WorkerLink& WorkflowService::LinkOf(const NodeId& agent) {
  return m_links.try_emplace(agent, agent, m_state).first->second;
}

WorkerLink* WorkflowService::FindLink(WorkerNumber worker) {
  const WorkerEntry* entry = m_state.FindWorker(worker);
  if (!entry)
    return nullptr;
  WorkerLink& link = LinkOf(entry->agent);
  return link.worker() == worker ? &link : nullptr;
}

}  // namespace fulmarrock
