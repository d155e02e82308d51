#include "source/placement/fair_scheduler.h"

#include <algorithm>
#include <utility>

#include "source/placement/scheduler_dump.h"

namespace fulmarrock {

FairScheduler::State::State(SchedulerPolicies selected)
    : policies(std::move(selected)),
      queue(*policies.customer_order),
      cluster([this](WorkerIndex index, const Worker& worker) {
        if (worker.IsSchedulable())
          queue.OnCapacityIncrease(index, worker.UsableCapacity());
      }),
      reservations(cluster, queue),
      admission(*policies.estimator, cluster, queue, reservations),
      usage(policies, cluster, queue, overloads),
      evictable_workers(cluster),
      reservation_planner(policies,
                          cluster,
                          queue,
                          evictable_workers,
                          reservations),
      evictions(*policies.eviction,
                cluster,
                queue,
                evictable_workers,
                reservations,
                overloads) {}

FairScheduler::FairScheduler(PolicyFactory make_policies)
    : m_make_policies(std::move(make_policies)),
      m_state(std::make_unique<State>(m_make_policies())) {}

void FairScheduler::Clear() {
  m_state = std::make_unique<State>(m_make_policies());
}

void FairScheduler::SetConfiguration(const Configuration& configuration) {
  m_state->admission.SetConfiguration(configuration);
}

void FairScheduler::UpsertWorker(const WorkerInfo& worker) {
  m_state->cluster.Upsert(worker);
}

void FairScheduler::RemoveWorker(const NodeId& worker) {
  const std::optional<WorkerIndex> index = m_state->cluster.Find(worker);
  if (!index)
    return;
  m_state->reservations.RemoveOnWorker(*index);
  const Resources reserved = m_state->overloads.RemoveWorkerRecord(*index);
  m_state->cluster.RemoveReservation(*index, reserved);
  m_state->policies.failure_attribution->RemoveWorkerRecord(*index);
  m_state->cluster.SetQuarantined(*index, false);
  m_state->cluster.Remove(worker);
}

bool FairScheduler::IsQuarantined(const NodeId& worker) const {
  const std::optional<WorkerIndex> index = m_state->cluster.Find(worker);
  return index && m_state->policies.failure_attribution->IsQuarantined(*index);
}

void FairScheduler::Enqueue(const PendingTask& task) {
  m_state->admission.Enqueue(task);
}

void FairScheduler::RemovePending(TaskId task) {
  m_state->admission.Remove(task);
}

void FairScheduler::AddRunning(const PendingTask& task,
                               const NodeId& worker,
                               Millis started) {
  if (m_state->cluster.FindTask(task.task))
    return;
  RemovePending(task.task);
  const PendingEntry entry = m_state->admission.MakeEntry(task);
  RecordAllocation(entry, m_state->cluster.FindOrAdd(worker), started);
}

void FairScheduler::Release(TaskId task, AttemptResult result, Millis runtime) {
  const RunningTask* running = m_state->cluster.FindTask(task);
  if (!running)
    return;
  const JobSpec& spec = *running->spec;
  const WorkerIndex worker = running->worker;
  CustomerState& customer = m_state->queue.customer(running->customer);
  customer.requested -= spec.resources;
  customer.running[static_cast<size_t>(running->task_class)] -=
      running->allocated;
  const SchedulerPolicies& policies = m_state->policies;
  const Millis* checkpointed_runtime = m_state->checkpointed_runtime.Find(task);
  const Millis total =
      checkpointed_runtime ? *checkpointed_runtime + runtime : runtime;
  if (result == AttemptResult::kCompleted) {
    policies.estimator->RecordRuntime(running->workload, spec.expected_runtime,
                                      total);
    policies.failure_attribution->RecordSuccess(worker, task.job);
  } else if (result == AttemptResult::kFailed) {
    policies.failure_attribution->RecordFailure(worker, task.job, m_state->now);
  } else if (spec.can_checkpoint) {
    m_state->checkpointed_runtime.Get(task) = total;
  }
  if (result != AttemptResult::kStopped)
    m_state->checkpointed_runtime.Erase(task);
  const CustomerIndex owner = running->customer;
  m_state->cluster.RemoveTask(task);
  m_state->queue.UnblockCustomer(owner);
  ApplyQuarantine();
}

std::vector<Placement> FairScheduler::Schedule(size_t limit, Millis now) {
  m_state->now = now;
  std::vector<Placement> placements;
  for (const WorkloadKey workload : m_state->usage.TakeChangedWorkloads())
    m_state->admission.RequeueWorkload(workload);
  m_state->admission.RemoveUnplaceable();
  RemoveStaleReservations(now);
  UnblockForProbes(now);
  PlaceUrgent(limit, now, placements);
  PlaceReserved(TaskClass::kBatch, limit, now, placements);
  PlaceClass(TaskClass::kInteractive, limit, now, placements);
  PlaceClass(TaskClass::kBatch, limit, now, placements);
  m_state->reservation_planner.ReserveWorkers(now);
  return placements;
}

std::vector<Eviction> FairScheduler::ChooseEvictions(Millis now) {
  m_state->now = now;
  return m_state->evictions.Choose(now);
}

std::vector<UnplaceableTask> FairScheduler::TakeUnplaceable() {
  return m_state->admission.TakeUnplaceable();
}

void FairScheduler::OnUsage(const NodeId& worker,
                            const UsageReport& report,
                            Millis now) {
  m_state->now = now;
  const std::optional<WorkerIndex> index = m_state->cluster.Find(worker);
  if (index)
    m_state->usage.Record(*index, report, now);
}

void FairScheduler::RemoveStaleReservations(Millis now) {
  m_state->reservations.RemoveStale(now);
  for (const OverloadTracker::ReleasedCapacity& released_capacity :
       m_state->overloads.Release(now))
    m_state->cluster.RemoveReservation(released_capacity.worker,
                                       released_capacity.size);
}

void FairScheduler::RecordAllocation(const PendingEntry& entry,
                                     WorkerIndex worker,
                                     Millis started) {
  RunningTask running;
  running.task = entry.task.task;
  running.spec = entry.task.spec;
  running.worker = worker;
  running.allocated = entry.need;
  running.workload = entry.workload;
  running.pending_since = entry.task.pending_since;
  running.started = started;
  running.customer = entry.customer;
  running.task_class = entry.task_class;
  CustomerState& customer = m_state->queue.customer(entry.customer);
  customer.requested += entry.task.spec->resources;
  customer.running[static_cast<size_t>(entry.task_class)] += entry.need;
  m_state->cluster.AddTask(running);
}

void FairScheduler::Start(TaskId task,
                          WorkerIndex worker,
                          Millis now,
                          std::vector<Placement>& out) {
  const PendingEntry entry = *m_state->queue.Find(task);
  m_state->queue.Remove(task);
  // The capacity is allocated before the reservation is removed, so that the
  // reserved capacity never appears to be free.
  RecordAllocation(entry, worker, now);
  m_state->reservations.Remove(task);
  m_state->queue.OnCapacityDecrease(
      worker, m_state->cluster.worker(worker).UsableCapacity());
  out.push_back({task, m_state->cluster.worker(worker).info.node});
}

void FairScheduler::PlaceUrgent(size_t limit,
                                Millis now,
                                std::vector<Placement>& out) {
  PlaceReserved(TaskClass::kUrgent, limit, now, out);
  PlaceClass(TaskClass::kUrgent, limit, now, out);
  if (m_state->reservations.CountOfClass(TaskClass::kInteractive) == 0 &&
      m_state->reservations.CountOfClass(TaskClass::kBatch) == 0)
    return;
  const std::vector<TaskId> blocked =
      m_state->queue.BlockedTasks(TaskClass::kUrgent, kMaxUrgentReservations);
  if (std::all_of(blocked.begin(), blocked.end(), [&](TaskId task) {
        return m_state->reservations.HasWorker(task);
      }))
    return;
  m_state->reservations.RemoveNonUrgent();
  PlaceClass(TaskClass::kUrgent, limit, now, out);
}

void FairScheduler::PlaceReserved(TaskClass last_class,
                                  size_t limit,
                                  Millis now,
                                  std::vector<Placement>& out) {
  for (const Reservation& reservation :
       m_state->reservations.ReadyReservations()) {
    if (out.size() >= limit || reservation.task_class > last_class)
      return;
    const PendingEntry* entry = m_state->queue.Find(reservation.task);
    const Worker& worker = m_state->cluster.worker(*reservation.worker);
    // A task placed earlier in this loop may have taken the capacity.
    if (m_state->reservations.FitsQuota(*entry) &&
        entry->need.FitsIn(worker.FreeCapacity()))
      Start(reservation.task, *reservation.worker, now, out);
  }
  PlaceQuotaReserved(last_class, limit, now, out);
}

// The task need not be the first of its group, so PlaceClass() may not reach
// it; it is therefore placed individually.
void FairScheduler::PlaceQuotaReserved(TaskClass last_class,
                                       size_t limit,
                                       Millis now,
                                       std::vector<Placement>& out) {
  for (const TaskId task :
       m_state->reservations.ReadyQuotaReservations(last_class)) {
    if (out.size() >= limit)
      return;
    const PendingEntry entry = *m_state->queue.Find(task);
    // A task placed earlier in this loop may have used up the quota.
    if (!m_state->reservations.FitsQuota(entry))
      continue;
    std::optional<WorkerIndex> worker;
    if (!m_state->queue.IsSizeBlocked(entry.need))
      worker = ChooseWorker(entry, now);
    if (worker) {
      Start(task, *worker, now, out);
      continue;
    }
    m_state->queue.BlockSize(entry.need);
    m_state->reservation_planner.ReserveWorker(entry, now);
  }
}

void FairScheduler::PlaceClass(TaskClass task_class,
                               size_t limit,
                               Millis now,
                               std::vector<Placement>& out) {
  while (out.size() < limit) {
    const PendingEntry* entry =
        m_state->queue.Next(task_class, m_state->cluster.total_capacity());
    if (!entry)
      return;
    if (!m_state->reservations.FitsQuota(*entry)) {
      m_state->reservation_planner.ReserveQuota(*entry, now);
      m_state->queue.BlockOnQuota(*entry);
      continue;
    }
    const std::optional<WorkerIndex> worker = ChooseWorker(*entry, now);
    if (worker)
      Start(entry->task.task, *worker, now, out);
    else
      m_state->queue.BlockSize(entry->need);
  }
}

std::optional<WorkerIndex> FairScheduler::ChooseWorker(
    const PendingEntry& entry,
    Millis now) {
  if (entry.task_class == TaskClass::kBatch) {
    const std::optional<WorkerIndex> probe = ChooseProbe(entry, now);
    if (probe)
      return probe;
  }
  const PlacementRequest request{
      entry.task.task,
      entry.task.spec,
      entry.workload,
      entry.need,
      now,
      m_state->queue.CandidateWorkersFor(entry.need)};
  const std::optional<WorkerIndex> chosen =
      m_state->policies.placement->Choose(m_state->cluster, request);
  // Tasks of the other classes run as probes only if no other worker fits.
  return chosen ? chosen : ChooseProbe(entry, now);
}

std::optional<WorkerIndex> FairScheduler::ChooseProbe(const PendingEntry& entry,
                                                      Millis now) {
  FailureAttribution& failure_attribution =
      *m_state->policies.failure_attribution;
  if (failure_attribution.IsJobAtFault(entry.task.task.job))
    return std::nullopt;
  for (const WorkerIndex index : failure_attribution.DueProbes(now)) {
    const Worker& worker = m_state->cluster.worker(index);
    if (!worker.is_known || !worker.info.accepts_tasks ||
        !entry.need.FitsIn(worker.UsableCapacity()))
      continue;
    failure_attribution.OnProbeStarted(index, now);
    return index;
  }
  return std::nullopt;
}

void FairScheduler::UnblockForProbes(Millis now) {
  for (const WorkerIndex index :
       m_state->policies.failure_attribution->DueProbes(now))
    m_state->queue.OnCapacityIncrease(
        index, m_state->cluster.worker(index).UsableCapacity());
}

void FairScheduler::ApplyQuarantine() {
  FailureAttribution& failure_attribution =
      *m_state->policies.failure_attribution;
  for (const WorkerIndex worker : failure_attribution.TakeChanges())
    m_state->cluster.SetQuarantined(worker,
                                    failure_attribution.IsQuarantined(worker));
}

std::string FairScheduler::DumpState() const {
  return DumpScheduler(m_state->queue, m_state->cluster, m_state->reservations);
}

}  // namespace fulmarrock
