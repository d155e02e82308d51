#include "source/control/control_state.h"

#include <algorithm>
#include <utility>

namespace fulmarrock {
namespace {

// Limits the size of the texts that agents add to the state.
constexpr size_t kMaxDetailBytes = 512;

TaskState StateAfterStop(const TaskRecord& task) {
  return task.state == TaskState::kCancelling ? TaskState::kCancelled
                                              : TaskState::kPending;
}

TaskEffect MakeEffect(TaskEffect::Kind kind,
                      const JobRecord& job,
                      uint32_t index) {
  TaskEffect effect;
  effect.kind = kind;
  effect.task = {job.id, index};
  effect.epoch = job.tasks[index].epoch;
  effect.worker = job.tasks[index].worker;
  return effect;
}

}  // namespace

ApplyEffects ControlState::Apply(std::string_view payload) {
  ApplyEffects effects;
  Result<CommandBatch> decoded = DecodeBatch(payload);
  if (!decoded) {
    effects.is_malformed = true;
    return effects;
  }
  CommandBatch& batch = *decoded;
  m_time = std::max(m_time, batch.time);
  // Pruning comes first: jobs that end below must remain until the leader's
  // scheduler no longer refers to their specifications.
  m_jobs.Prune(m_time);
  m_operations.Prune(m_time);
  m_claims.Prune(m_time);
  m_evacuations.Prune(m_time);
  for (const auto& command : batch.evacuations)
    Evacuate(command, effects);
  for (const auto& command : batch.configurations)
    ApplyConfiguration(command, effects);
  for (const auto& command : batch.submissions)
    Submit(command, effects);
  for (const auto& command : batch.cancellations)
    Cancel(command, effects);
  for (const auto& command : batch.announcements)
    Announce(command, effects);
  for (const auto& command : batch.drains)
    Drain(command, effects);
  for (const auto& command : batch.events)
    ApplyEvents(command, effects);
  for (const auto& lease : batch.expired)
    Expire(lease, effects);
  for (const auto& command : batch.removed_workers)
    RemoveWorker(command, effects);
  for (const auto& command : batch.evictions)
    Evict(command, effects);
  for (const auto& command : batch.unplaceable)
    SetReason(command);
  for (const auto& command : batch.grants)
    Grant(command, effects);
  for (const auto& command : batch.claims)
    effects.claims.emplace_back(command.entry, m_claims.Claim(command, m_time));
  for (const auto& command : batch.claim_outcomes) {
    m_claims.Finish(command.outcome);
    effects.claim_outcomes.emplace_back(command.entry,
                                        ClaimOutcomeAck{command.outcome.id});
  }
  ApplyWorkflows(batch.workflow, effects);
  return effects;
}

void ControlState::Evacuate(const EvacuationCommand& command,
                            ApplyEffects& effects) {
  effects.evacuations.push_back({command.token, command.data_centre,
                                 command.is_evacuated,
                                 m_evacuations.Apply(command, m_time)});
}

void ControlState::ApplyWorkflows(WorkflowBatch& batch, ApplyEffects& effects) {
  const bool has_assignments = !batch.assignments.empty();
  // They may have been planned before the evacuation was applied.
  std::erase_if(batch.assignments, [this](const AssignRun& assignment) {
    const WorkerEntry* worker = m_workflows.FindWorker(assignment.worker);
    return worker && m_evacuations.IsEvacuated(worker->attributes.data_centre);
  });
  effects.workflow = m_workflows.Apply(batch, m_time);
  effects.workflow.has_assignments = has_assignments;
}

void ControlState::ApplyConfiguration(const ApplyCommand& command,
                                      ApplyEffects& effects) {
  const auto* first =
      m_operations.Find(command.operation_id, command.fingerprint);
  if (first) {
    effects.operations.push_back({command.token, *first});
    return;
  }
  const Result<uint64_t> result =
      m_config.Apply(command.base_version, command.configuration);
  effects.has_new_configuration |= result.has_value();
  m_operations.Record(command.operation_id, command.fingerprint, m_time,
                      result);
  effects.operations.push_back({command.token, result});
}

void ControlState::Submit(const SubmitCommand& command, ApplyEffects& effects) {
  const auto* first =
      m_operations.Find(command.operation_id, command.fingerprint);
  if (first) {
    effects.operations.push_back({command.token, *first});
    return;
  }
  Result<uint64_t> result;
  const Result<void> valid =
      ValidateAgainstPlan(command.spec, m_config.configuration(), m_jobs);
  if (!valid) {
    result = tl::make_unexpected(valid.error());
  } else {
    const JobRecord& job = m_jobs.Add(command.spec, m_time);
    result = job.id;
    for (uint32_t i = 0; i < job.tasks.size(); ++i)
      effects.tasks.push_back(MakeEffect(TaskEffect::Kind::kQueued, job, i));
  }
  m_operations.Record(command.operation_id, command.fingerprint, m_time,
                      result);
  effects.operations.push_back({command.token, result});
}

void ControlState::Cancel(const CancelCommand& command, ApplyEffects& effects) {
  uint64_t affected = 0;
  bool is_any_known = false;
  for (const JobId id : command.jobs) {
    JobRecord* job = m_jobs.Find(id);
    if (!job)
      continue;
    is_any_known = true;
    const uint64_t count = CancelOpenTasks(*job, effects);
    affected += count;
    if (count > 0)
      job->reason = "cancelled";
  }
  Result<uint64_t> result = affected;
  if (!is_any_known && !command.jobs.empty()) {
    result = MakeError(ErrorKind::kNotFound, "none of the jobs is known",
                       "list the customer's jobs for their numbers");
  }
  effects.operations.push_back({command.token, result});
}

uint64_t ControlState::CancelOpenTasks(JobRecord& job, ApplyEffects& effects) {
  uint64_t affected = 0;
  for (uint32_t i = 0; i < job.tasks.size(); ++i) {
    const TaskState state = job.tasks[i].state;
    if (state == TaskState::kPending) {
      effects.tasks.push_back(MakeEffect(TaskEffect::Kind::kDequeued, job, i));
      m_jobs.SetState(job, i, TaskState::kCancelled, m_time);
    } else if (state == TaskState::kRunning || state == TaskState::kEvicting) {
      m_jobs.SetState(job, i, TaskState::kCancelling, m_time);
      effects.tasks.push_back(
          MakeEffect(TaskEffect::Kind::kStopRequested, job, i));
    } else {
      continue;
    }
    ++affected;
  }
  return affected;
}

void ControlState::Announce(const AnnounceCommand& command,
                            ApplyEffects& effects) {
  const auto result = m_workers.Announce(command);
  if (result == WorkerTable::AnnounceResult::kRefused)
    return;
  const WorkerIndex index = m_workers.Find(command.node);
  const bool is_restart = result == WorkerTable::AnnounceResult::kRestarted;
  if (is_restart) {
    for (const TaskId task : m_workers.Get(index)->orphans)
      m_jobs.FindTask(task)->is_orphan = true;
  }
  effects.workers.push_back({is_restart ? WorkerEffect::Kind::kRestarted
                                        : WorkerEffect::Kind::kAnnounced,
                             index, command.node});
}

void ControlState::Drain(const DrainCommand& command, ApplyEffects& effects) {
  const WorkerIndex index = m_workers.Find(command.node);
  if (index == kNoWorker) {
    effects.operations.push_back(
        {command.token, MakeError(ErrorKind::kNotFound,
                                  "worker " + command.node + " is not known",
                                  "see the status for the workers' names")});
    return;
  }
  m_workers.GetMutable(index)->is_draining_by_operator = command.is_draining;
  effects.workers.push_back(
      {WorkerEffect::Kind::kChanged, index, command.node});
  effects.operations.push_back({command.token, command.is_draining ? 1 : 0});
}

void ControlState::ApplyEvents(const EventsCommand& command,
                               ApplyEffects& effects) {
  WorkerRecord* worker = m_workers.GetMutable(command.worker);
  if (!worker)
    return;
  const TaskEvents& events = command.events;
  const bool is_current = events.incarnation == worker->incarnation;
  // Agents send from the first event that was not acknowledged, so that a gap
  // in the numbers appears only if the worker was removed in between.
  uint64_t sequence = events.first_sequence;
  for (const TaskEvent& event : events.events) {
    if (is_current && sequence <= worker->last_event_sequence) {
      ++sequence;
      continue;
    }
    ApplyEvent(command.worker, event, effects);
    if (is_current)
      worker->last_event_sequence = sequence;
    ++sequence;
  }
  if (is_current)
    effects.acknowledged.push_back(command.worker);
}

void ControlState::ApplyEvent(WorkerIndex worker,
                              const TaskEvent& event,
                              ApplyEffects& effects) {
  JobRecord* job = m_jobs.Find(event.task.job);
  if (!job || event.task.index >= job->tasks.size())
    return;
  const uint32_t index = event.task.index;
  TaskRecord& task = job->tasks[index];
  if (task.epoch != event.epoch || task.worker != worker || !task.IsActive())
    return;
  TaskEffect effect = MakeEffect(TaskEffect::Kind::kReleased, *job, index);
  effect.runtime = event.runtime;
  const std::string detail = event.detail.substr(0, kMaxDetailBytes);
  switch (event.kind) {
    case TaskEventKind::kStarted:
      task.is_started = true;
      return;
    case TaskEventKind::kCompleted:
      effect.result = AttemptResult::kCompleted;
      Release(*job, index, TaskState::kCompleted, effect, effects);
      job->task_details.erase(index);
      return;
    case TaskEventKind::kFailed:
      effect.result = AttemptResult::kFailed;
      Release(*job, index, StateAfterStop(task), effect, effects);
      if (task.state == TaskState::kPending)
        FailAttempt(*job, index, detail, effects);
      break;
    case TaskEventKind::kCheckpointed:
      if (task.state != TaskState::kCancelling) {
        job->task_details[index].index = index;
        job->task_details[index].checkpoint = detail;
      }
      [[fallthrough]];
    case TaskEventKind::kStopped:
      if (task.state != TaskState::kCancelling)
        ++task.evictions;
      Release(*job, index, StateAfterStop(task), effect, effects);
      break;
    case TaskEventKind::kRejected:
      effect.is_rejected = true;
      Release(*job, index, StateAfterStop(task), effect, effects);
      break;
  }
  if (task.state == TaskState::kPending) {
    TaskEffect queued = MakeEffect(TaskEffect::Kind::kQueued, *job, index);
    queued.result = effect.result;
    effects.tasks.push_back(queued);
  }
}

void ControlState::Release(JobRecord& job,
                           uint32_t index,
                           TaskState next,
                           TaskEffect effect,
                           ApplyEffects& effects) {
  TaskRecord& task = job.tasks[index];
  m_workers.Unassign(task.worker, effect.task, task.epoch, job.spec.resources);
  if (effect.result != AttemptResult::kStopped) {
    const bool has_failed = effect.result == AttemptResult::kFailed;
    if (m_workers.CountAttempt(task.worker, job.id, has_failed)) {
      effects.workers.push_back({WorkerEffect::Kind::kChanged, task.worker,
                                 m_workers.Get(task.worker)->node});
    }
  }
  task.worker = kNoWorker;
  task.is_started = false;
  task.is_orphan = false;
  m_jobs.SetState(job, index, next, m_time);
  effects.tasks.push_back(effect);
}

void ControlState::FailAttempt(JobRecord& job,
                               uint32_t index,
                               const std::string& detail,
                               ApplyEffects& effects) {
  TaskRecord& task = job.tasks[index];
  ++task.failed_attempts;
  job.task_details[index].index = index;
  job.task_details[index].detail = detail;
  if (task.failed_attempts < job.spec.max_attempts)
    return;
  m_jobs.SetState(job, index, TaskState::kFailed, m_time);
  job.reason = "task " + std::to_string(index) + " failed " +
               std::to_string(task.failed_attempts) + " times: " + detail;
  CancelOpenTasks(job, effects);
}

void ControlState::Expire(const HeldLease& lease, ApplyEffects& effects) {
  JobRecord* job = m_jobs.Find(lease.task.job);
  if (!job || lease.task.index >= job->tasks.size())
    return;
  const uint32_t index = lease.task.index;
  TaskRecord& task = job->tasks[index];
  if (task.epoch != lease.epoch || !task.IsActive())
    return;
  Release(*job, index, StateAfterStop(task),
          MakeEffect(TaskEffect::Kind::kReleased, *job, index), effects);
  if (task.state == TaskState::kPending) {
    effects.tasks.push_back(MakeEffect(TaskEffect::Kind::kQueued, *job, index));
  }
}

void ControlState::RemoveWorker(const RemoveWorkerCommand& command,
                                ApplyEffects& effects) {
  const WorkerRecord* worker = m_workers.Get(command.worker);
  const NodeId node = worker ? worker->node : NodeId();
  if (m_workers.RemoveWorker(command.worker, command.incarnation)) {
    effects.workers.push_back(
        {WorkerEffect::Kind::kRemoved, command.worker, node});
  }
}

void ControlState::Evict(const EvictCommand& command, ApplyEffects& effects) {
  const TaskId id = command.lease.task;
  JobRecord* job = m_jobs.Find(id.job);
  if (!job || id.index >= job->tasks.size())
    return;
  const TaskRecord& task = job->tasks[id.index];
  const bool is_evictable = task.epoch == command.lease.epoch &&
                            task.state == TaskState::kRunning &&
                            job->spec.kind != TaskKind::kService;
  if (!is_evictable)
    return;
  m_jobs.SetState(*job, id.index, TaskState::kEvicting, m_time);
  job->task_details[id.index].index = id.index;
  job->task_details[id.index].detail =
      "evicted: " + command.reason.substr(0, kMaxDetailBytes);
  effects.tasks.push_back(
      MakeEffect(TaskEffect::Kind::kStopRequested, *job, id.index));
}

void ControlState::SetReason(const UnplaceableCommand& command) {
  const TaskRecord* task = m_jobs.FindTask(command.task);
  if (task && task->state == TaskState::kPending) {
    m_jobs.Find(command.task.job)->reason =
        command.reason.substr(0, kMaxDetailBytes);
  }
}

bool ControlState::CanGrant(const GrantCommand& command) const {
  const TaskRecord* task = m_jobs.FindTask(command.task);
  const WorkerRecord* worker = m_workers.Get(command.worker);
  if (!task || !worker || task->state != TaskState::kPending)
    return false;
  if (command.epoch != Epoch{task->epoch} + 1 ||
      command.incarnation != worker->incarnation || worker->IsDraining() ||
      m_evacuations.IsEvacuated(worker->data_centre))
    return false;
  const JobRecord* job = m_jobs.Find(command.task.job);
  return (worker->used + job->spec.resources).FitsIn(worker->capacity);
}

void ControlState::Grant(const GrantCommand& command, ApplyEffects& effects) {
  if (!CanGrant(command)) {
    TaskEffect effect;
    effect.kind = TaskEffect::Kind::kGrantRefused;
    effect.task = command.task;
    effect.epoch = command.epoch;
    effect.worker = command.worker;
    effects.tasks.push_back(effect);
    return;
  }
  JobRecord& job = *m_jobs.Find(command.task.job);
  const uint32_t index = command.task.index;
  TaskRecord& task = job.tasks[index];
  task.epoch = static_cast<uint32_t>(command.epoch);
  task.worker = command.worker;
  job.reason.clear();
  m_jobs.SetState(job, index, TaskState::kRunning, m_time);
  m_workers.Assign(command.worker, command.task, command.epoch,
                   job.spec.resources, /*is_orphan=*/false);
  effects.tasks.push_back(MakeEffect(TaskEffect::Kind::kGranted, job, index));
}

}  // namespace fulmarrock
