#include "source/workflow/workflow_state.h"

#include <algorithm>
#include <utility>

namespace fulmarrock {
namespace {

const std::set<TaskName> kNoRuns;

/// A task counts as the cause when this many workers crashed right after it
/// started there. A long-running task meets more crashes that it did not cause.
constexpr uint32_t kMaxStartupCrashes = 2;
constexpr uint32_t kMaxStartupCrashesOfLongRunning = 3;

/// A task that completes counts as the cause when this many workers crashed
/// while it ran there.
constexpr uint32_t kMaxWorkerCrashes = 5;

std::string RouteOf(const QueueSettings& queue) {
  return queue.host + "\n" + queue.path_prefix;
}

}  // namespace

bool WorkflowRecord::IsStepReady(const WorkflowOccurrence& occurrence,
                                 uint32_t step) const {
  const std::vector<uint32_t>& dependencies = spec.steps[step].depends_on;
  return std::all_of(dependencies.begin(), dependencies.end(),
                     [&](uint32_t dependency) {
                       return occurrence.steps[dependency].IsDone();
                     });
}

WorkflowEffects WorkflowState::Apply(const WorkflowBatch& batch, Millis now) {
  WorkflowEffects effects;
  m_now = std::max(m_now, now);
  Prune();
  for (const ConfigureQueues& command : batch.configurations)
    Configure(command, effects);
  for (const RegisterWorker& command : batch.workers)
    Register(command, effects);
  for (const RecordEvents& command : batch.events)
    Record(command, effects);
  for (const ReleaseWorker& command : batch.releases)
    Release(command, effects);
  for (const SubmitWorkflow& command : batch.submissions)
    Submit(command, effects);
  for (const CancelWorkflow& command : batch.cancellations)
    Cancel(command, effects);
  for (const AssignRun& command : batch.assignments)
    Assign(command, effects);
  for (const InterferenceCoefficient& coefficient :
       batch.interference_coefficients)
    StoreCoefficient(coefficient);
  effects.has_assignments = !batch.assignments.empty();
  return effects;
}

void WorkflowState::Configure(const ConfigureQueues& command,
                              WorkflowEffects& effects) {
  // The first content of a version is final; an older or equal version changes
  // nothing, and its sender gets the same result.
  effects.command_results.push_back(
      {command.token, WorkflowReplyKind::kAccepted});
  if (command.queue_configuration.version <= m_queue_configuration.version)
    return;
  m_queue_configuration = command.queue_configuration;
  IndexQueues();
  effects.has_new_queue_configuration = true;
}

void WorkflowState::IndexQueues() {
  m_queue_by_route.clear();
  for (size_t i = 0; i < m_queue_configuration.queues.size(); ++i)
    m_queue_by_route[RouteOf(m_queue_configuration.queues[i])] = i;
}

void WorkflowState::Register(const RegisterWorker& command,
                             WorkflowEffects& effects) {
  const WorkerEntry* known = FindWorkerOf(command.agent);
  if (known && known->worker_incarnation == command.worker_incarnation)
    return;
  if (known && known->worker_incarnation.start_time_unix_ms >
                   command.worker_incarnation.start_time_unix_ms)
    return;
  if (known)
    Release({known->number, true}, effects);
  for (const LostRun& lost : command.lost_runs)
    CountCrash(lost, effects);
  WorkerEntry entry;
  entry.number = ++m_last_worker;
  entry.agent = command.agent;
  entry.worker_incarnation = command.worker_incarnation;
  entry.attributes = command.attributes;
  m_worker_by_agent[entry.agent] = entry.number;
  effects.registered.push_back(entry.number);
  m_workers.emplace(entry.number, std::move(entry));
}

void WorkflowState::Record(const RecordEvents& command,
                           WorkflowEffects& effects) {
  if (command.events.empty())
    return;
  for (const RunEvent& event : command.events)
    RecordEvent(event, effects);
  effects.stored.push_back({command.agent, command.incarnation,
                            command.events.front().sequence,
                            command.events.back().sequence});
}

void WorkflowState::RecordEvent(const RunEvent& event,
                                WorkflowEffects& effects) {
  WorkflowRecord* workflow = FindMutable(event.task.workflow);
  const WorkflowTask* task = FindTask(event.task);
  if (!workflow || !task || task->stage != TaskStage::kActive ||
      task->run != event.run) {
    return;
  }
  const StepSpec& step = workflow->spec.steps[event.task.step];
  const WorkerNumber worker = task->worker;
  const bool is_done = event.kind == RunOutcome::kDone && !step.is_long_running;
  Deactivate(*workflow, event.task,
             is_done ? TaskStage::kDone : TaskStage::kPending);
  WorkflowTask& changed = workflow->occurrences[event.task.occurrence]
                              .steps[event.task.step]
                              .tasks[event.task.index];
  if (!event.checkpoint.empty())
    changed.checkpoint = event.checkpoint;
  if (event.kind == RunOutcome::kFailed)
    ++changed.failed_runs;
  effects.runs.push_back(
      {RunChange::Kind::kEnded, event.task, event.run, worker, event.kind});
  if (is_done && step.is_gang)
    CompleteGang(*workflow, event.task, effects);
  const bool is_exhausted =
      !step.is_long_running && changed.stage == TaskStage::kPending &&
      CountFailedRuns(*workflow, event.task) >= QueueOf(*workflow).max_attempts;
  if (is_exhausted)
    End(*workflow, WorkflowPhase::kFailed, effects);
  else if (is_done)
    CheckCompletion(*workflow, effects);
  CloseIfEnded(*workflow);
}

uint32_t WorkflowState::CountFailedRuns(const WorkflowRecord& workflow,
                                        const TaskName& name) {
  const auto& tasks =
      workflow.occurrences[name.occurrence].steps[name.step].tasks;
  if (!workflow.spec.steps[name.step].is_gang)
    return tasks[name.index].failed_runs;
  // In a failed attempt of a gang only one member has the outcome kFailed.
  uint32_t count = 0;
  for (const WorkflowTask& task : tasks)
    count += task.failed_runs;
  return count;
}

void WorkflowState::CompleteGang(WorkflowRecord& workflow,
                                 const TaskName& name,
                                 WorkflowEffects& effects) {
  // All members complete together, so the completion of one completes the gang.
  const auto& tasks =
      workflow.occurrences[name.occurrence].steps[name.step].tasks;
  for (uint32_t i = 0; i < tasks.size(); ++i) {
    if (tasks[i].stage != TaskStage::kActive)
      continue;
    const TaskName member{name.workflow, name.occurrence, name.step, i};
    effects.runs.push_back({RunChange::Kind::kEnded, member, tasks[i].run,
                            tasks[i].worker, RunOutcome::kDone});
    Deactivate(workflow, member, TaskStage::kDone);
  }
}

void WorkflowState::Release(const ReleaseWorker& command,
                            WorkflowEffects& effects) {
  const auto it = m_workers.find(command.worker);
  if (it == m_workers.end())
    return;
  effects.released.push_back(command.worker);
  const std::set<TaskName> runs = RunsOf(command.worker);
  for (const TaskName& name : runs) {
    WorkflowRecord* workflow = FindMutable(name.workflow);
    const RunNumber run = FindTask(name)->run;
    Deactivate(*workflow, name, TaskStage::kPending);
    effects.runs.push_back(
        {RunChange::Kind::kReleased, name, run, command.worker});
    CloseIfEnded(*workflow);
  }
  if (!command.removes_worker)
    return;
  const auto by_agent = m_worker_by_agent.find(it->second.agent);
  if (by_agent != m_worker_by_agent.end() &&
      by_agent->second == command.worker) {
    m_worker_by_agent.erase(by_agent);
  }
  m_runs.erase(command.worker);
  m_workers.erase(it);
  effects.removed.push_back(command.worker);
}

void WorkflowState::CountCrash(const LostRun& lost, WorkflowEffects& effects) {
  WorkflowRecord* workflow = FindMutable(lost.task.workflow);
  if (!workflow || !FindTask(lost.task))
    return;
  WorkflowTask& task = workflow->occurrences[lost.task.occurrence]
                           .steps[lost.task.step]
                           .tasks[lost.task.index];
  // A crash may be reported again, and after the task runs elsewhere.
  if (lost.run <= task.crashed_run || lost.run > task.run ||
      task.stage == TaskStage::kDone) {
    return;
  }
  task.crashed_run = lost.run;
  ++task.worker_crashes;
  if (lost.has_just_started)
    ++task.startup_crashes;
  const bool is_long_running =
      workflow->spec.steps[lost.task.step].is_long_running;
  const uint32_t max_startup_crashes =
      is_long_running ? kMaxStartupCrashesOfLongRunning : kMaxStartupCrashes;
  const bool is_cause =
      task.startup_crashes >= max_startup_crashes ||
      (!is_long_running && task.worker_crashes >= kMaxWorkerCrashes);
  if (!is_cause)
    return;
  End(*workflow, WorkflowPhase::kFailed, effects);
  CloseIfEnded(*workflow);
}

void WorkflowState::Submit(const SubmitWorkflow& command,
                           WorkflowEffects& effects) {
  CommandResult result{command.token, WorkflowReplyKind::kAccepted};
  const QueueSettings* queue = FindQueue(command.host, command.path);
  if (Find(command.spec.key))
    result.kind = WorkflowReplyKind::kAccepted;
  else if (!queue)
    result.kind = WorkflowReplyKind::kQueueNotFound;
  else if (m_open.size() >= kMaxOpen)
    result.kind = WorkflowReplyKind::kRefused;
  else
    Add(command, *queue);
  effects.command_results.push_back(result);
}

void WorkflowState::Add(const SubmitWorkflow& command,
                        const QueueSettings& queue) {
  WorkflowRecord workflow;
  workflow.spec = command.spec;
  workflow.queue = queue;
  workflow.accepted_at = m_now;
  const uint32_t count = std::max(command.spec.repeat_count, 1u);
  for (uint32_t k = 0; k < count; ++k) {
    WorkflowOccurrence& occurrence = workflow.occurrences.emplace_back();
    if (command.spec.repeat_count > 0) {
      occurrence.due_unix_ms =
          command.spec.first_due_unix_ms + command.spec.interval.count() * k;
    }
    for (const StepSpec& step : command.spec.steps) {
      WorkflowTask task;
      task.since = m_now;
      occurrence.steps.emplace_back().tasks.assign(step.count, task);
    }
  }
  CountTasks(workflow);
  m_open.insert(command.spec.key);
  m_workflows.emplace(command.spec.key, std::move(workflow));
}

void WorkflowState::Cancel(const CancelWorkflow& command,
                           WorkflowEffects& effects) {
  CommandResult result{command.token, WorkflowReplyKind::kCancelled};
  const auto it = m_workflows.find(command.key);
  if (it == m_workflows.end()) {
    // A duplicate of the submission may still arrive; the record of the
    // cancellation keeps it from running.
    WorkflowRecord& workflow = m_workflows[command.key];
    workflow.spec.key = command.key;
    workflow.phase = WorkflowPhase::kCancelled;
    workflow.ended_at = m_now;
    m_ended.emplace(m_now, command.key);
    result.kind = WorkflowReplyKind::kWorkflowNotFound;
  } else if (!IsFinal(it->second.phase)) {
    End(it->second, WorkflowPhase::kCancelled, effects);
    CloseIfEnded(it->second);
  }
  effects.command_results.push_back(result);
}

bool WorkflowState::CanAssign(const AssignRun& command) const {
  const WorkflowRecord* workflow = Find(command.task.workflow);
  const WorkflowTask* task = FindTask(command.task);
  if (!workflow || !task || IsFinal(workflow->phase))
    return false;
  return task->stage == TaskStage::kPending && command.run > task->run &&
         m_workers.contains(command.worker) &&
         workflow->IsStepReady(workflow->occurrences[command.task.occurrence],
                               command.task.step);
}

void WorkflowState::Assign(const AssignRun& command, WorkflowEffects& effects) {
  if (!CanAssign(command))
    return;
  WorkflowRecord& workflow = m_workflows.at(command.task.workflow);
  WorkflowStep& step =
      workflow.occurrences[command.task.occurrence].steps[command.task.step];
  WorkflowTask& task = step.tasks[command.task.index];
  task.stage = TaskStage::kActive;
  task.run = command.run;
  task.worker = command.worker;
  task.since = m_now;
  --step.pending;
  ++workflow.active;
  workflow.phase = WorkflowPhase::kRunning;
  m_runs[command.worker].insert(command.task);
  effects.runs.push_back(
      {RunChange::Kind::kAssigned, command.task, command.run, command.worker});
}

void WorkflowState::Deactivate(WorkflowRecord& workflow,
                               const TaskName& name,
                               TaskStage next) {
  WorkflowStep& step = workflow.occurrences[name.occurrence].steps[name.step];
  WorkflowTask& task = step.tasks[name.index];
  m_runs[task.worker].erase(name);
  task.worker = kNoWorkerNumber;
  task.stage = next;
  task.since = m_now;
  --workflow.active;
  if (next == TaskStage::kDone)
    ++step.done;
  else
    ++step.pending;
}

void WorkflowState::CheckCompletion(WorkflowRecord& workflow,
                                    WorkflowEffects& effects) {
  if (IsFinal(workflow.phase))
    return;
  for (const WorkflowOccurrence& occurrence : workflow.occurrences) {
    for (const WorkflowStep& step : occurrence.steps) {
      if (!step.IsDone())
        return;
    }
  }
  End(workflow, WorkflowPhase::kCompleted, effects);
}

void WorkflowState::End(WorkflowRecord& workflow,
                        WorkflowPhase phase,
                        WorkflowEffects& effects) {
  if (IsFinal(workflow.phase))
    return;
  workflow.phase = phase;
  workflow.ended_at = m_now;
  m_ended.emplace(m_now, workflow.spec.key);
  effects.ended.push_back(workflow.spec.key);
}

void WorkflowState::CloseIfEnded(WorkflowRecord& workflow) {
  if (IsFinal(workflow.phase) && workflow.active == 0)
    m_open.erase(workflow.spec.key);
}

void WorkflowState::Prune() {
  while (!m_ended.empty() && m_ended.begin()->first + kRetention < m_now) {
    const WorkflowKey key = m_ended.begin()->second;
    // A workflow with runs that are not known to have ended is kept.
    if (m_open.contains(key))
      return;
    m_workflows.erase(key);
    m_ended.erase(m_ended.begin());
  }
}

const QueueSettings* WorkflowState::FindQueue(std::string_view host,
                                              std::string_view path) const {
  // The longest prefix wins, so the path is shortened from its end.
  std::string route = std::string(host) + "\n";
  const size_t start = route.size();
  route += path;
  for (;;) {
    const auto it = m_queue_by_route.find(route);
    if (it != m_queue_by_route.end())
      return &m_queue_configuration.queues[it->second];
    if (route.size() <= start)
      return nullptr;
    route.pop_back();
  }
}

const QueueSettings& WorkflowState::QueueOf(
    const WorkflowRecord& workflow) const {
  const auto it = m_queue_by_route.find(RouteOf(workflow.queue));
  return it == m_queue_by_route.end()
             ? workflow.queue
             : m_queue_configuration.queues[it->second];
}

const WorkflowRecord* WorkflowState::Find(WorkflowKey key) const {
  const auto it = m_workflows.find(key);
  return it == m_workflows.end() ? nullptr : &it->second;
}

WorkflowRecord* WorkflowState::FindMutable(WorkflowKey key) {
  const auto it = m_workflows.find(key);
  return it == m_workflows.end() ? nullptr : &it->second;
}

const WorkflowTask* WorkflowState::FindTask(const TaskName& name) const {
  const WorkflowRecord* workflow = Find(name.workflow);
  if (!workflow || name.occurrence >= workflow->occurrences.size())
    return nullptr;
  const WorkflowOccurrence& occurrence = workflow->occurrences[name.occurrence];
  if (name.step >= occurrence.steps.size() ||
      name.index >= occurrence.steps[name.step].tasks.size()) {
    return nullptr;
  }
  return &occurrence.steps[name.step].tasks[name.index];
}

const StepSpec* WorkflowState::FindStep(const TaskName& name) const {
  const WorkflowRecord* workflow = Find(name.workflow);
  return workflow && name.step < workflow->spec.steps.size()
             ? &workflow->spec.steps[name.step]
             : nullptr;
}

const WorkerEntry* WorkflowState::FindWorker(WorkerNumber number) const {
  const auto it = m_workers.find(number);
  return it == m_workers.end() ? nullptr : &it->second;
}

const WorkerEntry* WorkflowState::FindWorkerOf(const NodeId& agent) const {
  const auto it = m_worker_by_agent.find(agent);
  return it == m_worker_by_agent.end() ? nullptr : FindWorker(it->second);
}

const std::set<TaskName>& WorkflowState::RunsOf(WorkerNumber number) const {
  const auto it = m_runs.find(number);
  return it == m_runs.end() ? kNoRuns : it->second;
}

uint32_t WorkflowState::CountPending(const QueueSettings& queue) const {
  const std::string route = RouteOf(queue);
  uint32_t count = 0;
  for (const WorkflowKey key : m_open) {
    const WorkflowRecord& workflow = m_workflows.at(key);
    if (workflow.phase == WorkflowPhase::kQueued &&
        RouteOf(workflow.queue) == route) {
      ++count;
    }
  }
  return count;
}

void WorkflowState::StoreCoefficient(
    const InterferenceCoefficient& coefficient) {
  const auto pair = std::make_pair(coefficient.latency_critical_image,
                                   coefficient.best_effort_image);
  if (m_interference_coefficients.size() < kMaxInterferenceCoefficients ||
      m_interference_coefficients.contains(pair))
    m_interference_coefficients[pair] = coefficient.growth_per_core;
}

std::optional<double> WorkflowState::FindInterferenceCoefficient(
    const InterferenceCoefficient& pair) const {
  const auto it = m_interference_coefficients.find(
      {pair.latency_critical_image, pair.best_effort_image});
  if (it == m_interference_coefficients.end())
    return std::nullopt;
  return it->second;
}

std::vector<InterferenceCoefficient> WorkflowState::InterferenceCoefficients()
    const {
  std::vector<InterferenceCoefficient> interference_coefficients;
  for (const auto& [pair, growth] : m_interference_coefficients)
    interference_coefficients.push_back({pair.first, pair.second, growth});
  return interference_coefficients;
}

}  // namespace fulmarrock
