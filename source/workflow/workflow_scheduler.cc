#include "source/workflow/workflow_scheduler.h"

#include <algorithm>
#include <utility>

namespace fulmarrock {
namespace {

/// Time without new runs after a worker refused one for lack of free capacity.
constexpr Millis kNoCapacityPause{300};

/// After this time a task of a workflow without active runs is placed wherever
/// there is free capacity.
constexpr Millis kStarvingAfter{1'500};

/// No other run starts on a worker for this time after one of a task that may
/// crash it, so that the next crash shows which task is the cause.
constexpr Millis kExclusiveStartTime{300};

/// A worker that was registered less than this time ago may have replaced one
/// that crashed, and may crash again for the same reason.
constexpr Millis kRecentRegistration{5'000};
/// While less than this percentage of a service's CPU is allocated, every
/// workflow has to make progress.
constexpr int64_t kLightLoadPercent = 60;

/// A best-effort task with a speed limit below this, in percent of full speed,
/// moves if another worker is suitable.
constexpr int64_t kMoveBelowSpeedLimit = 55;
/// Time that a best-effort task stays on a worker at least.
constexpr Millis kMinTimeBeforeMove{800};

}  // namespace

void WorkflowScheduler::Rebuild() {
  m_health.Clear();
  m_allocations.clear();
  m_no_capacity_until.clear();
  m_no_other_start_until.clear();
  m_registered_at.clear();
  for (const auto& [number, worker] : m_state.workers()) {
    WorkerAllocation& allocation = GetOrAddAllocation(number);
    for (const TaskName& task : m_state.RunsOf(number))
      allocation.Add(task, *m_state.FindStep(task));
  }
}

void WorkflowScheduler::OnEffects(const WorkflowEffects& effects, Millis now) {
  for (const RunChange& change : effects.runs) {
    const StepSpec* step = m_state.FindStep(change.task);
    const auto allocation = m_allocations.find(change.worker);
    if (change.kind == RunChange::Kind::kAssigned) {
      GetOrAddAllocation(change.worker).Add(change.task, *step);
      m_health.OnAssigned(change.worker, change.task, step->is_long_running,
                          now);
      continue;
    }
    if (allocation != m_allocations.end() && step)
      allocation->second.Remove(change.task, *step);
    const bool has_ended = change.kind == RunChange::Kind::kEnded;
    if (has_ended && change.end == RunOutcome::kDone)
      m_health.OnSuccess(change.worker, now);
    else if (has_ended && (change.end == RunOutcome::kFailed ||
                           change.end == RunOutcome::kDeclined))
      m_health.OnFailure(change.worker, change.task, now);
    else
      m_health.OnNeutralEnd(change.worker, change.task);
  }
  for (const WorkflowKey key : effects.ended)
    m_health.OnWorkflowEnded(key);
  for (const WorkerNumber worker : effects.registered)
    m_registered_at[worker] = now;
  for (const WorkerNumber worker : effects.removed) {
    m_registered_at.erase(worker);
    m_allocations.erase(worker);
    m_no_capacity_until.erase(worker);
    m_no_other_start_until.erase(worker);
    m_health.Remove(worker);
  }
}

void WorkflowScheduler::OnStall(const TaskName& task,
                                WorkerNumber worker,
                                Millis now) {
  m_health.OnFailure(worker, task, now);
}

void WorkflowScheduler::OnNoCapacity(WorkerNumber worker, Millis now) {
  m_no_capacity_until[worker] = now + kNoCapacityPause;
}

std::vector<AssignRun> WorkflowScheduler::Plan(
    const std::map<WorkerNumber, WorkerStatus>& workers,
    const PlanningTime& time,
    size_t limit) {
  std::vector<AssignRun> plan;
  m_blocked_steps = 0;
  m_lightly_loaded.clear();
  std::vector<ReadyStep> ready = FindReady(time);
  if (ready.empty())
    return plan;
  m_health.EndLongProbes(time.now);
  std::vector<WorkerCandidate> candidates = FindCandidates(workers, time.now);
  m_ordering.Sort(ready, time.replicated);
  for (const ReadyStep& step : ready) {
    if (plan.size() >= limit)
      break;
    if (step.spec().is_gang)
      m_blocked_steps += PlaceGang(step, time, candidates, plan) ? 0 : 1;
    else
      PlaceStep(step, time, candidates, plan, limit);
  }
  // A planned run is added to the allocations again when it is applied.
  for (const AssignRun& run : plan)
    GetOrAddAllocation(run.worker)
        .Remove(run.task, *m_state.FindStep(run.task));
  return plan;
}

std::vector<ReadyStep> WorkflowScheduler::FindReady(
    const PlanningTime& time) const {
  std::vector<ReadyStep> ready;
  for (const WorkflowKey key : m_state.open()) {
    const WorkflowRecord& workflow = *m_state.Find(key);
    if (IsFinal(workflow.phase))
      continue;
    for (uint32_t k = 0; k < workflow.occurrences.size(); ++k) {
      const WorkflowOccurrence& occurrence = workflow.occurrences[k];
      if (occurrence.due_unix_ms > time.unix_ms)
        continue;
      Millis due_at = workflow.accepted_at;
      if (occurrence.due_unix_ms > 0)
        due_at =
            time.replicated - Millis(time.unix_ms - occurrence.due_unix_ms);
      for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
        if (occurrence.steps[step].pending > 0 &&
            workflow.IsStepReady(occurrence, step)) {
          ready.push_back(
              {&workflow, &m_state.QueueOf(workflow), k, step, due_at});
        }
      }
    }
  }
  return ready;
}

std::vector<WorkerCandidate> WorkflowScheduler::FindCandidates(
    const std::map<WorkerNumber, WorkerStatus>& workers,
    Millis now) {
  std::vector<WorkerCandidate> candidates;
  for (const auto& [number, status] : workers) {
    const WorkerEntry* entry = m_state.FindWorker(number);
    if (!entry)
      continue;
    WorkerAllocation& allocation = GetOrAddAllocation(number);
    allocation.SetCapacity(status.capacity);
    const auto pause = m_no_capacity_until.find(number);
    const auto exclusive = m_no_other_start_until.find(number);
    const bool is_paused =
        (pause != m_no_capacity_until.end() && now < pause->second) ||
        (exclusive != m_no_other_start_until.end() && now < exclusive->second);
    if (!status.is_accepting_runs || is_paused ||
        !m_health.IsUsable(number, now)) {
      continue;
    }
    WorkerCandidate candidate;
    candidate.number = number;
    candidate.attributes = &entry->attributes;
    candidate.allocation = &allocation;
    candidate.latency_critical_samples = status.latency_critical_samples;
    candidate.best_effort_samples = status.best_effort_samples;
    candidate.is_healthy = m_health.IsHealthy(number);
    candidate.is_probe = m_health.IsQuarantined(number);
    candidates.push_back(candidate);
  }
  return candidates;
}

void WorkflowScheduler::PlaceStep(const ReadyStep& ready,
                                  const PlanningTime& time,
                                  std::vector<WorkerCandidate>& candidates,
                                  std::vector<AssignRun>& plan,
                                  size_t limit) {
  const auto& tasks = ready.state().tasks;
  RunRequest request;
  request.step = &ready.spec();
  request.service = ready.queue->service;
  bool has_placed_task = false;
  for (uint32_t i = 0; i < tasks.size() && plan.size() < limit; ++i) {
    if (tasks[i].stage != TaskStage::kPending)
      continue;
    request.task = {ready.workflow->spec.key, ready.occurrence, ready.step, i};
    request.is_last_attempt =
        tasks[i].failed_runs > 0 &&
        tasks[i].failed_runs + 1 >= ready.queue->max_attempts;
    request.is_starving = !has_placed_task && IsStarving(ready, tasks[i], time);
    request.may_crash_worker = tasks[i].startup_crashes > 0;
    const std::optional<size_t> position =
        ChooseFor(request, candidates, time.now);
    if (!position) {
      ++m_blocked_steps;
      // The other tasks of the step have the same requirements. Only a task
      // that must avoid a worker may be the only one without a place.
      if (tasks[i].failed_runs == 0)
        return;
      continue;
    }
    AddToPlan(request, *position, tasks[i].run + 1, time, candidates, plan);
    has_placed_task = true;
  }
}

bool WorkflowScheduler::PlaceGang(const ReadyStep& ready,
                                  const PlanningTime& time,
                                  std::vector<WorkerCandidate>& candidates,
                                  std::vector<AssignRun>& plan) {
  const auto& tasks = ready.state().tasks;
  RunNumber run = 0;
  for (const WorkflowTask& task : tasks) {
    // All members of an earlier attempt must have ended before the next one.
    if (task.stage == TaskStage::kActive)
      return false;
    run = std::max(run, task.run + 1);
  }
  const size_t begin = plan.size();
  RunRequest request;
  request.step = &ready.spec();
  request.service = ready.queue->service;
  for (uint32_t i = 0; i < tasks.size(); ++i) {
    request.task = {ready.workflow->spec.key, ready.occurrence, ready.step, i};
    request.is_starving = IsStarving(ready, tasks[i], time);
    request.may_crash_worker = tasks[i].startup_crashes > 0;
    const std::optional<size_t> position =
        ChooseFor(request, candidates, time.now);
    if (position) {
      AddToPlan(request, *position, run, time, candidates, plan);
      continue;
    }
    while (plan.size() > begin) {
      GetOrAddAllocation(plan.back().worker)
          .Remove(plan.back().task, ready.spec());
      plan.pop_back();
    }
    return false;
  }
  return true;
}

bool WorkflowScheduler::IsStarving(const ReadyStep& ready,
                                   const WorkflowTask& task,
                                   const PlanningTime& time) {
  const std::string& service = ready.queue->service;
  const auto [load, is_unknown] = m_lightly_loaded.try_emplace(service, false);
  if (is_unknown)
    load->second = IsLightlyLoaded(service);
  return load->second && ready.workflow->active == 0 &&
         time.replicated - task.since > kStarvingAfter;
}

std::optional<size_t> WorkflowScheduler::ChooseFor(
    const RunRequest& request,
    std::span<const WorkerCandidate> candidates,
    Millis now) {
  if (!m_health.HasFailed(request.task) && !request.may_crash_worker)
    return m_placement.Choose(request, candidates);
  std::vector<WorkerCandidate> others;
  std::vector<size_t> positions;
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (ShouldAvoid(request, candidates[i].number, now))
      continue;
    others.push_back(candidates[i]);
    positions.push_back(i);
  }
  const std::optional<size_t> position = m_placement.Choose(request, others);
  if (position)
    return positions[*position];
  const bool has_other_worker = std::any_of(
      others.begin(), others.end(),
      [&](const auto& candidate) { return CouldRun(request, candidate); });
  // A long-running task may fail on any worker, and serves nobody until it runs
  // again.
  if (has_other_worker && !request.is_starving &&
      !request.step->is_long_running)
    return std::nullopt;
  return m_placement.Choose(request, candidates);
}

bool WorkflowScheduler::ShouldAvoid(const RunRequest& request,
                                    WorkerNumber worker,
                                    Millis now) const {
  if (m_health.HasFailedOn(request.task, worker))
    return true;
  const auto it = m_registered_at.find(worker);
  return request.may_crash_worker && it != m_registered_at.end() &&
         now - it->second < kRecentRegistration;
}

void WorkflowScheduler::AddToPlan(const RunRequest& request,
                                  size_t position,
                                  RunNumber run,
                                  const PlanningTime& time,
                                  std::vector<WorkerCandidate>& candidates,
                                  std::vector<AssignRun>& plan) {
  WorkerCandidate& candidate = candidates[position];
  candidate.allocation->Add(request.task, *request.step);
  plan.push_back({request.task, run, candidate.number});
  if (request.may_crash_worker)
    m_no_other_start_until[candidate.number] = time.now + kExclusiveStartTime;
  if (candidate.is_probe || request.may_crash_worker)
    candidates.erase(candidates.begin() + static_cast<ptrdiff_t>(position));
}

std::vector<TaskName> WorkflowScheduler::FindMoves(
    const std::map<WorkerNumber, WorkerStatus>& workers,
    const PlanningTime& time,
    size_t limit) {
  std::vector<TaskName> moves;
  std::vector<AssignRun> planned_moves;
  std::vector<WorkerCandidate> candidates = FindCandidates(workers, time.now);
  for (const auto& [number, status] : workers) {
    for (const TaskName& task : m_state.RunsOf(number)) {
      if (moves.size() >= limit)
        break;
      const StepSpec& step = *m_state.FindStep(task);
      const WorkflowTask& state = *m_state.FindTask(task);
      const bool is_slow = std::any_of(
          status.best_effort_samples.begin(), status.best_effort_samples.end(),
          [&](const BestEffortSample& sample) {
            return sample.image == step.image &&
                   sample.speed_limit_percent < kMoveBelowSpeedLimit;
          });
      if (!step.is_best_effort || !step.has_checkpoints || !is_slow ||
          time.replicated - state.since < kMinTimeBeforeMove) {
        continue;
      }
      RunRequest request;
      request.task = task;
      request.step = &step;
      request.service = m_state.QueueOf(*m_state.Find(task.workflow)).service;
      const std::optional<size_t> position =
          ChooseFor(request, candidates, time.now);
      if (!position || candidates[*position].number == number)
        continue;
      // Allocated so that the next move does not count on the same capacity.
      candidates[*position].allocation->Add(task, step);
      planned_moves.push_back({task, 0, candidates[*position].number});
      moves.push_back(task);
    }
  }
  for (const AssignRun& run : planned_moves)
    GetOrAddAllocation(run.worker)
        .Remove(run.task, *m_state.FindStep(run.task));
  return moves;
}

bool WorkflowScheduler::IsLightlyLoaded(std::string_view service) const {
  int64_t used = 0;
  int64_t capacity = 0;
  for (const auto& [number, allocation] : m_allocations) {
    const WorkerEntry* entry = m_state.FindWorker(number);
    if (!entry || entry->attributes.service != service)
      continue;
    used += allocation.used().cpu_millicores;
    capacity += allocation.capacity().cpu_millicores;
  }
  return used * 100 < capacity * kLightLoadPercent;
}

SchedulingLoad WorkflowScheduler::MeasureLoad() const {
  SchedulingLoad load;
  for (const WorkflowKey key : m_state.open()) {
    const WorkflowRecord& workflow = *m_state.Find(key);
    for (const WorkflowOccurrence& occurrence : workflow.occurrences) {
      for (uint32_t s = 0; s < occurrence.steps.size(); ++s) {
        const WorkflowStep& step = occurrence.steps[s];
        const StepSpec& spec = workflow.spec.steps[s];
        const bool is_ready =
            !IsFinal(workflow.phase) && workflow.IsStepReady(occurrence, s);
        const int64_t pending = is_ready ? step.pending : 0;
        const int64_t active =
            static_cast<int64_t>(step.tasks.size()) - step.pending - step.done;
        load.pending += pending;
        load.active += active;
        if (spec.is_best_effort) {
          load.pending_best_effort += pending;
          load.active_best_effort += active;
        }
        if (spec.is_long_running) {
          load.pending_long_running += pending;
          load.active_long_running += active;
        }
      }
    }
  }
  for (const auto& [worker, allocation] : m_allocations) {
    load.best_effort_cpu_millicores += allocation.best_effort_cpu();
    load.expected_idle_millicores += allocation.ExpectedIdleCpu();
    load.free_cpu_millicores += allocation.free_cpu();
  }
  return load;
}

const WorkerAllocation* WorkflowScheduler::FindAllocation(
    WorkerNumber worker) const {
  const auto it = m_allocations.find(worker);
  return it == m_allocations.end() ? nullptr : &it->second;
}

WorkerAllocation& WorkflowScheduler::GetOrAddAllocation(WorkerNumber worker) {
  const auto it = m_allocations.find(worker);
  if (it != m_allocations.end())
    return it->second;
  const WorkerEntry* entry = m_state.FindWorker(worker);
  return m_allocations
      .emplace(worker,
               WorkerAllocation(entry ? entry->attributes : WorkerAttributes()))
      .first->second;
}

}  // namespace fulmarrock
