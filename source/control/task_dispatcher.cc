#include "source/control/task_dispatcher.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace fulmarrock {
namespace {

constexpr size_t kPlacementsPerTick = 512;
constexpr Millis kResendInterval{1'000};
constexpr Millis kEvictionInterval{100};
constexpr Millis kUnplaceableInterval{1'000};
// A worker on which every task fails immediately is often the only one with
// free capacity, so that without a back-off it would use up all attempts of a
// task within a second.
constexpr Millis kFirstBackoff{1'000};
constexpr uint32_t kMaxBackoffDoublings = 6;
/// Time for which no tasks are placed on a worker after its agent refused a
/// grant, so that it is not chosen again immediately.
constexpr Millis kRejectionPause{1'000};
/// Time for which no tasks are placed on a quarantined worker after a failure,
/// so that it does not fail more jobs.
constexpr Millis kQuarantinePause{30'000};
/// Well below the frame limit, since the last grant may add up to 64 KiB.
constexpr size_t kMaxMessageBytes = size_t{1} << 20;

}  // namespace

TaskDispatcher::TaskDispatcher(const ControlState& state,
                               Scheduler& scheduler,
                               LeaseMonitor& leases,
                               Transport& transport,
                               Counters& counters)
    : m_state(state),
      m_scheduler(scheduler),
      m_leases(leases),
      m_transport(transport),
      m_counters(counters) {}

void TaskDispatcher::Rebuild(Millis time_offset, Millis now) {
  Clear();
  m_time_offset = time_offset;
  m_scheduler.SetConfiguration(m_state.config().configuration());
  const WorkerTable& workers = m_state.workers();
  for (WorkerIndex i = 0; i < workers.index_count(); ++i) {
    const WorkerRecord* worker = workers.Get(i);
    if (!worker)
      continue;
    m_transport.LearnAddress(worker->node, worker->address);
    if (worker->IsQuarantined())
      m_leases.PausePlacements(i, now + kQuarantinePause);
    UpdateWorker(i);
  }
  for (const auto& [id, job] : m_state.jobs().jobs()) {
    if (job.OpenCount() == 0)
      continue;
    for (uint32_t i = 0; i < job.tasks.size(); ++i) {
      const TaskRecord& task = job.tasks[i];
      if (task.state == TaskState::kPending) {
        Enqueue({id, i});
      } else if (task.IsActive()) {
        const Millis since = task.since - m_time_offset;
        m_scheduler.AddRunning({{id, i}, &job.spec, since},
                               workers.Get(task.worker)->node, since);
        const bool is_stop = task.state != TaskState::kRunning;
        if (is_stop || !task.is_started)
          m_immediate_messages.push_back({now, {{id, i}, task.epoch}, is_stop});
      }
    }
  }
}

void TaskDispatcher::Clear() {
  m_scheduler.Clear();
  m_scheduled_messages.clear();
  m_immediate_messages.clear();
  m_unplaceable.clear();
  m_backed_off.clear();
  m_should_retry_unplaceable = false;
}

void TaskDispatcher::OnEffects(const ApplyEffects& effects, Millis now) {
  if (effects.has_new_configuration) {
    m_scheduler.SetConfiguration(m_state.config().configuration());
    m_should_retry_unplaceable = true;
  }
  for (const WorkerEffect& effect : effects.workers) {
    if (effect.kind != WorkerEffect::Kind::kRemoved)
      OnWorkerEffect(effect, now);
  }
  const bool has_evacuation_change =
      std::any_of(effects.evacuations.begin(), effects.evacuations.end(),
                  [](const EvacuationEffect& effect) {
                    return effect.outcome == EvacuationOutcome::kChanged;
                  });
  if (has_evacuation_change) {
    for (WorkerIndex i = 0; i < m_state.workers().index_count(); ++i)
      UpdateWorker(i);
    m_should_retry_unplaceable = true;
  }
  for (const TaskEffect& effect : effects.tasks)
    OnTaskEffect(effect, now);
  for (const WorkerEffect& effect : effects.workers) {
    if (effect.kind == WorkerEffect::Kind::kRemoved)
      m_scheduler.RemoveWorker(effect.node);
  }
}

void TaskDispatcher::UpdateWorker(WorkerIndex worker) {
  const WorkerRecord* record = m_state.workers().Get(worker);
  if (!record)
    return;
  WorkerInfo info;
  info.node = record->node;
  info.data_centre = record->data_centre;
  info.rack = record->rack;
  info.capacity = record->capacity;
  info.accepts_tasks = !record->IsDraining() && m_leases.IsAvailable(worker) &&
                       !m_state.evacuations().IsEvacuated(record->data_centre);
  m_scheduler.UpsertWorker(info);
}

void TaskDispatcher::Propose(CommandBatch& batch, Millis now) {
  RetryUnplaceable(now);
  EnqueueBackedOff(now);
  for (const Placement& placement :
       m_scheduler.Schedule(kPlacementsPerTick, now)) {
    const TaskRecord* task = m_state.jobs().FindTask(placement.task);
    const WorkerIndex index = m_state.workers().Find(placement.worker);
    const WorkerRecord* worker = m_state.workers().Get(index);
    if (!task || !worker) {
      m_scheduler.Release(placement.task, AttemptResult::kStopped, Millis(0));
      continue;
    }
    batch.grants.push_back(
        {placement.task, Epoch{task->epoch} + 1, index, worker->incarnation});
  }
  ProposeUnplaceable(batch);
  if (now < m_next_evictions)
    return;
  m_next_evictions = now + kEvictionInterval;
  for (Eviction& eviction : m_scheduler.ChooseEvictions(now)) {
    const TaskRecord* task = m_state.jobs().FindTask(eviction.task);
    if (task) {
      batch.evictions.push_back(
          {{eviction.task, task->epoch}, std::move(eviction.reason)});
    }
  }
}

std::vector<HeldLease> TaskDispatcher::Compare(
    WorkerIndex worker,
    const std::vector<HeldLease>& held,
    Millis now) {
  const JobTable& jobs = m_state.jobs();
  std::vector<HeldLease> revoked;
  std::unordered_set<TaskId> current;
  for (const HeldLease& lease : held) {
    const TaskRecord* task = jobs.FindTask(lease.task);
    const bool is_current = task && task->IsActive() && !task->is_orphan &&
                            task->worker == worker &&
                            task->epoch == lease.epoch;
    if (is_current)
      current.insert(lease.task);
    else
      revoked.push_back(lease);
  }
  for (const TaskId task : m_state.workers().Get(worker)->tasks) {
    if (current.contains(task))
      continue;
    const TaskRecord* record = jobs.FindTask(task);
    m_immediate_messages.push_back({now,
                                    {task, record->epoch},
                                    record->state != TaskState::kRunning,
                                    /*is_repeated=*/false});
  }
  return revoked;
}

void TaskDispatcher::SendDue(Millis now) {
  std::map<WorkerIndex, Outgoing> outgoing;
  std::vector<PendingMessage> due = std::exchange(m_immediate_messages, {});
  while (!m_scheduled_messages.empty() &&
         m_scheduled_messages.front().due <= now) {
    due.push_back(m_scheduled_messages.front());
    m_scheduled_messages.pop_front();
  }
  for (PendingMessage& pending : due) {
    if (!IsNeeded(pending))
      continue;
    if (Add(pending, outgoing)) {
      pending.due = now + kResendInterval;
      if (pending.is_resent)
        m_scheduled_messages.push_back(pending);
    } else {
      // The agent has not renewed its leases at this leader yet; retry at the
      // next tick.
      m_immediate_messages.push_back(pending);
    }
  }
  for (auto& [worker, messages] : outgoing)
    Flush(worker, messages);
}

void TaskDispatcher::OnWorkerEffect(const WorkerEffect& effect, Millis now) {
  const WorkerRecord* worker = m_state.workers().Get(effect.worker);
  if (!worker)
    return;
  if (effect.kind == WorkerEffect::Kind::kChanged) {
    if (worker->IsQuarantined())
      m_counters.Add("control_workers_quarantined");
  } else {
    m_transport.LearnAddress(worker->node, worker->address);
    m_leases.OnAnnounced(effect.worker,
                         effect.kind == WorkerEffect::Kind::kRestarted, now);
    m_should_retry_unplaceable = true;
  }
  UpdateWorker(effect.worker);
}

void TaskDispatcher::OnTaskEffect(const TaskEffect& effect, Millis now) {
  switch (effect.kind) {
    case TaskEffect::Kind::kQueued:
      if (effect.result == AttemptResult::kFailed)
        EnqueueAfterBackoff(effect.task, now);
      else
        Enqueue(effect.task);
      return;
    case TaskEffect::Kind::kDequeued:
      m_scheduler.RemovePending(effect.task);
      return;
    case TaskEffect::Kind::kGranted:
      m_counters.Add("control_grants");
      m_immediate_messages.push_back({now, {effect.task, effect.epoch}, false});
      return;
    case TaskEffect::Kind::kGrantRefused: {
      m_counters.Add("control_grants_refused");
      m_scheduler.Release(effect.task, AttemptResult::kStopped, Millis(0));
      const TaskRecord* task = m_state.jobs().FindTask(effect.task);
      if (task && task->state == TaskState::kPending)
        Enqueue(effect.task);
      return;
    }
    case TaskEffect::Kind::kStopRequested:
      m_immediate_messages.push_back({now, {effect.task, effect.epoch}, true});
      return;
    case TaskEffect::Kind::kReleased:
      m_scheduler.Release(effect.task, effect.result, effect.runtime);
      PausePlacementsAfter(effect, now);
      return;
  }
}

void TaskDispatcher::PausePlacementsAfter(const TaskEffect& effect,
                                          Millis now) {
  const WorkerRecord* worker = m_state.workers().Get(effect.worker);
  if (!worker)
    return;
  if (effect.is_rejected) {
    m_counters.Add("control_grants_rejected_by_agent");
    m_leases.PausePlacements(effect.worker, now + kRejectionPause);
  } else if (effect.result == AttemptResult::kFailed &&
             worker->IsQuarantined()) {
    m_leases.PausePlacements(effect.worker, now + kQuarantinePause);
  } else {
    return;
  }
  UpdateWorker(effect.worker);
}

void TaskDispatcher::Enqueue(TaskId id) {
  const JobRecord* job = m_state.jobs().Find(id.job);
  const TaskRecord* task = m_state.jobs().FindTask(id);
  // Another command of the same log entry may have ended the task.
  if (!task || task->state != TaskState::kPending)
    return;
  m_scheduler.Enqueue({id, &job->spec, task->since - m_time_offset});
}

void TaskDispatcher::EnqueueAfterBackoff(TaskId id, Millis now) {
  const TaskRecord* task = m_state.jobs().FindTask(id);
  if (!task)
    return;
  const uint32_t doublings = std::min<uint32_t>(
      std::max<uint32_t>(task->failed_attempts, 1) - 1, kMaxBackoffDoublings);
  m_backed_off.emplace(now + kFirstBackoff * (int64_t{1} << doublings), id);
}

void TaskDispatcher::EnqueueBackedOff(Millis now) {
  while (!m_backed_off.empty() && m_backed_off.begin()->first <= now) {
    Enqueue(m_backed_off.begin()->second);
    m_backed_off.erase(m_backed_off.begin());
  }
}

void TaskDispatcher::RetryUnplaceable(Millis now) {
  if (!m_should_retry_unplaceable || now < m_next_retry)
    return;
  m_should_retry_unplaceable = false;
  m_next_retry = now + kUnplaceableInterval;
  for (const TaskId task : std::exchange(m_unplaceable, {}))
    Enqueue(task);
}

void TaskDispatcher::ProposeUnplaceable(CommandBatch& batch) {
  JobId last_job = 0;
  for (UnplaceableTask& item : m_scheduler.TakeUnplaceable()) {
    m_unplaceable.push_back(item.task);
    const JobRecord* job = m_state.jobs().Find(item.task.job);
    // One command per job: all of its tasks have the same specification.
    if (!job || job->id == last_job || job->reason == item.reason)
      continue;
    last_job = job->id;
    batch.unplaceable.push_back({item.task, std::move(item.reason)});
  }
}

bool TaskDispatcher::IsNeeded(const PendingMessage& pending) const {
  const TaskRecord* task = m_state.jobs().FindTask(pending.lease.task);
  if (!task || task->epoch != pending.lease.epoch || task->is_orphan)
    return false;
  if (pending.is_stop) {
    return task->state == TaskState::kEvicting ||
           task->state == TaskState::kCancelling;
  }
  return task->state == TaskState::kRunning && !task->is_started;
}

bool TaskDispatcher::Add(const PendingMessage& pending,
                         std::map<WorkerIndex, Outgoing>& outgoing) {
  const TaskId id = pending.lease.task;
  const JobRecord& job = *m_state.jobs().Find(id.job);
  const TaskRecord& task = job.tasks[id.index];
  const std::optional<Millis> sent_at = m_leases.LastSentAt(task.worker);
  if (!sent_at)
    return false;
  Outgoing& messages = outgoing[task.worker];
  messages.grants.lease_sent_at = *sent_at;
  if (pending.is_stop) {
    const StopMode mode = task.state == TaskState::kCancelling
                              ? StopMode::kCancel
                              : StopMode::kCheckpoint;
    messages.stops.stops.push_back({id, task.epoch, mode});
    return true;
  }
  TaskGrant& grant = messages.grants.grants.emplace_back();
  grant.task = id;
  grant.epoch = task.epoch;
  grant.kind = job.spec.kind;
  grant.resources = job.spec.resources;
  grant.customer = job.spec.customer;
  grant.workload =
      job.spec.workload.empty() ? job.spec.name : job.spec.workload;
  grant.payload = job.spec.payload;
  grant.can_checkpoint = job.spec.can_checkpoint;
  grant.checkpoint = job.Checkpoint(id.index);
  messages.bytes += grant.payload.size() + grant.checkpoint.size();
  if (messages.bytes > kMaxMessageBytes)
    Flush(task.worker, messages);
  return true;
}

void TaskDispatcher::Flush(WorkerIndex worker, Outgoing& messages) {
  const WorkerRecord* record = m_state.workers().Get(worker);
  if (record && !messages.grants.grants.empty()) {
    messages.grants.incarnation = record->incarnation;
    m_transport.Send(record->node, messages.grants);
  }
  if (record && !messages.stops.stops.empty()) {
    messages.stops.incarnation = record->incarnation;
    m_transport.Send(record->node, messages.stops);
  }
  messages.grants.grants.clear();
  messages.stops.stops.clear();
  messages.bytes = 0;
}

}  // namespace fulmarrock
