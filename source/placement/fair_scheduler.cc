#include "source/placement/fair_scheduler.h"

#include <algorithm>
#include <utility>

#include "source/placement/scheduler_dump.h"

namespace fulmarrock {
namespace {

// Batch tasks of a customer are ordered by the time they became pending plus
// their estimated run time, capped at this, so that no task waits longer than
// this for shorter ones.
constexpr Millis kMaxOrderDelay = Millis::FromSeconds(600);

// Blocked tasks that have been pending for this long may reserve a worker.
constexpr Millis kReserveInteractiveAfter = Millis::FromSeconds(5);
constexpr Millis kReserveBatchAfter = Millis::FromSeconds(30);
constexpr Millis kReservationInterval = Millis::FromSeconds(1);

// Reservations per class: one in small clusters, otherwise one per this many
// workers, so that about two percent of the capacity is reserved.
constexpr size_t kWorkersPerReservation = 50;

// Limit of the reservations of urgent tasks at a time, and the number of
// workers that are compared for one reservation.
constexpr size_t kMaxUrgentReservations = 512;
constexpr size_t kEvictionCandidates = 16;

// Urgent tasks wait this long for a running task to end before others are
// evicted for them.
constexpr Millis kEvictAfter{300};

size_t MaxReservations(const Cluster& cluster) {
  return std::max<size_t>(
      1, cluster.known_worker_count() / kWorkersPerReservation);
}

}  // namespace

FairScheduler::State::State(SchedulerPolicies selected)
    : policies(std::move(selected)),
      queue(*policies.customer_order),
      cluster([this](WorkerIndex index, const Worker& worker) {
        if (worker.IsSchedulable())
          queue.OnCapacityIncrease(index, worker.UsableCapacity());
      }),
      reservations(cluster, queue) {}

FairScheduler::FairScheduler(PolicyFactory make_policies)
    : m_make_policies(std::move(make_policies)),
      m_state(std::make_unique<State>(m_make_policies())) {}

void FairScheduler::Clear() {
  m_state = std::make_unique<State>(m_make_policies());
}

void FairScheduler::SetConfiguration(const Configuration& configuration) {
  m_state->configuration = configuration;
  for (CustomerIndex i = 0; i < m_state->queue.customer_count(); ++i) {
    if (!RefreshCustomer(i))
      continue;
    for (const TaskId task : m_state->queue.TasksOfCustomer(i)) {
      m_state->reservations.Remove(task);
      Requeue(task);
      m_state->unchecked_tasks.push_back(task);
    }
    m_state->queue.UnblockCustomer(i);
  }
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
  if (m_state->queue.Find(task.task) || m_state->cluster.FindTask(task.task))
    return;
  if (!m_state->configuration.FindPlanOfCustomer(task.spec->customer)) {
    ReportUnplaceable(task.task,
                      "customer " + task.spec->customer +
                          " is not in the list of customers or has "
                          "an unknown plan; add it to the configuration");
    return;
  }
  const CustomerIndex customer =
      m_state->queue.InternCustomer(task.spec->customer);
  RefreshCustomer(customer);
  m_state->queue.Add(MakeEntry(task, customer));
  m_state->unchecked_tasks.push_back(task.task);
}

void FairScheduler::RemovePending(TaskId task) {
  m_state->reservations.Remove(task);
  m_state->queue.Remove(task);
}

void FairScheduler::AddRunning(const PendingTask& task,
                               const NodeId& worker,
                               Millis started) {
  if (m_state->cluster.FindTask(task.task))
    return;
  RemovePending(task.task);
  const CustomerIndex customer =
      m_state->queue.InternCustomer(task.spec->customer);
  RefreshCustomer(customer);
  RecordAllocation(MakeEntry(task, customer),
                   m_state->cluster.FindOrAdd(worker), started);
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
  RequeueChanged();
  RemoveUnplaceable();
  m_state->reservations.RemoveStale(now);
  for (const OverloadTracker::ReleasedCapacity& released_capacity :
       m_state->overloads.Release(now))
    m_state->cluster.RemoveReservation(released_capacity.worker,
                                       released_capacity.size);
  UnblockForProbes(now);
  PlaceUrgent(limit, now, placements);
  PlaceReserved(TaskClass::kBatch, limit, now, placements);
  PlaceClass(TaskClass::kInteractive, limit, now, placements);
  PlaceClass(TaskClass::kBatch, limit, now, placements);
  ReserveForLongPending(now);
  return placements;
}

std::vector<Eviction> FairScheduler::ChooseEvictions(Millis now) {
  m_state->now = now;
  std::vector<Eviction> evictions;
  EvictForUrgent(now, evictions);
  EvictForServices(now, evictions);
  return evictions;
}

std::vector<UnplaceableTask> FairScheduler::TakeUnplaceable() {
  RemoveUnplaceable();
  std::vector<UnplaceableTask> unplaceable =
      std::exchange(m_state->unplaceable, {});
  // A task may have been enqueued again in the meantime.
  std::erase_if(unplaceable, [&](const UnplaceableTask& item) {
    return m_state->queue.Find(item.task) ||
           m_state->cluster.FindTask(item.task);
  });
  return unplaceable;
}

bool FairScheduler::RefreshCustomer(CustomerIndex customer) {
  CustomerState& state = m_state->queue.customer(customer);
  const Plan* plan = m_state->configuration.FindPlanOfCustomer(state.name);
  const Plan wanted = plan ? *plan : Plan();
  const bool is_changed = state.is_listed != (plan != nullptr) ||
                          state.weight != wanted.weight ||
                          !(state.quota == wanted.quota) ||
                          state.allows_urgent != wanted.allows_urgent;
  state.is_listed = plan != nullptr;
  state.weight = wanted.weight;
  state.quota = wanted.quota;
  state.allows_urgent = wanted.allows_urgent;
  return is_changed;
}

TaskClass FairScheduler::ClassOf(const JobSpec& spec,
                                 const CustomerState& customer) const {
  if (spec.is_urgent && customer.allows_urgent)
    return TaskClass::kUrgent;
  return spec.kind == TaskKind::kBatch ? TaskClass::kBatch
                                       : TaskClass::kInteractive;
}

PendingEntry FairScheduler::MakeEntry(const PendingTask& task,
                                      CustomerIndex customer) const {
  const JobSpec& spec = *task.spec;
  PendingEntry entry;
  entry.task = task;
  entry.customer = customer;
  entry.task_class = ClassOf(spec, m_state->queue.customer(customer));
  entry.workload = WorkloadKeyOf(spec);
  const UsageEstimator& estimator = *m_state->policies.estimator;
  entry.need = m_state->cluster.ClampToCapacity(
      estimator.EstimateSize(entry.workload, spec.resources), spec.resources);
  entry.order = task.pending_since;
  if (entry.task_class == TaskClass::kBatch)
    entry.order += std::min(
        estimator.EstimateRuntime(entry.workload, spec.expected_runtime),
        kMaxOrderDelay);
  return entry;
}

void FairScheduler::Requeue(TaskId task) {
  const PendingEntry* entry = m_state->queue.Find(task);
  if (!entry)
    return;
  const PendingEntry renewed = MakeEntry(entry->task, entry->customer);
  if (renewed.task_class == entry->task_class && renewed.need == entry->need)
    return;
  m_state->reservations.Remove(task);
  m_state->queue.Remove(task);
  m_state->queue.Add(renewed);
}

void FairScheduler::RequeueChanged() {
  for (const WorkloadKey workload :
       std::exchange(m_state->changed_workloads, {}))
    for (const TaskId task : m_state->queue.TasksOfWorkload(workload))
      Requeue(task);
}

std::optional<std::string> FairScheduler::FindUnplaceableReason(
    const PendingEntry& entry) const {
  const CustomerState& customer = m_state->queue.customer(entry.customer);
  const Resources& requested = entry.task.spec->resources;
  if (!customer.is_listed)
    return "customer " + customer.name +
           " is not in the list of customers or has an unknown plan; add it "
           "to the configuration";
  if (!requested.FitsIn(customer.quota))
    return "the task needs " + requested.ToString() + ", but the plan of " +
           customer.name + " allows " + customer.quota.ToString() +
           "; reduce the size or raise the quota";
  // Sizes are not checked before the first worker is known.
  if (m_state->cluster.known_worker_count() > 0 &&
      !m_state->cluster.FitsSomeCapacity(requested))
    return "the task needs " + requested.ToString() +
           ", but no worker is that large; reduce the size or add such a "
           "worker";
  return std::nullopt;
}

void FairScheduler::RemoveUnplaceable() {
  std::vector<TaskId> tasks = std::exchange(m_state->unchecked_tasks, {});
  const uint64_t version = m_state->cluster.capacity_version();
  if (version != m_state->checked_capacity_version) {
    m_state->checked_capacity_version = version;
    for (const TaskId head : m_state->queue.GroupHeads()) {
      const PendingEntry& entry = *m_state->queue.Find(head);
      const bool is_resized =
          !(MakeEntry(entry.task, entry.customer).need == entry.need);
      if (!is_resized && !FindUnplaceableReason(entry))
        continue;
      for (const TaskId task : m_state->queue.TasksOfGroup(head)) {
        Requeue(task);
        tasks.push_back(task);
      }
    }
  }
  for (const TaskId task : tasks) {
    const PendingEntry* entry = m_state->queue.Find(task);
    if (!entry)
      continue;
    const std::optional<std::string> unplaceable_reason =
        FindUnplaceableReason(*entry);
    if (!unplaceable_reason)
      continue;
    RemovePending(task);
    ReportUnplaceable(task, *unplaceable_reason);
  }
}

void FairScheduler::ReportUnplaceable(TaskId task, const std::string& reason) {
  m_state->unplaceable.push_back({task, reason});
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
    const std::optional<WorkerIndex> earliest = FindEarliestWorker(entry, now);
    if (earliest)
      m_state->reservations.Add(entry, earliest, now);
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
      HandleQuotaExceeded(*entry, now);
      continue;
    }
    const std::optional<WorkerIndex> worker = ChooseWorker(*entry, now);
    if (worker)
      Start(entry->task.task, *worker, now, out);
    else
      m_state->queue.BlockSize(entry->need);
  }
}

void FairScheduler::HandleQuotaExceeded(const PendingEntry& entry, Millis now) {
  if (now - entry.task.pending_since >= kReserveBatchAfter &&
      !m_state->reservations.HasQuotaReservation(entry.customer,
                                                 entry.task_class) &&
      !m_state->reservations.Find(entry.task.task))
    m_state->reservations.Add(entry, std::nullopt, now);
  m_state->queue.BlockOnQuota(entry);
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

void FairScheduler::ReserveForLongPending(Millis now) {
  if (now < m_state->next_reservation)
    return;
  m_state->next_reservation = now + kReservationInterval;
  ReserveForClass(TaskClass::kInteractive, now);
  ReserveForClass(TaskClass::kBatch, now);
}

void FairScheduler::ReserveForClass(TaskClass task_class, Millis now) {
  const size_t max_reservations = MaxReservations(m_state->cluster);
  if (m_state->reservations.CountOfClass(task_class) >= max_reservations)
    return;
  const Millis delay = task_class == TaskClass::kBatch
                           ? kReserveBatchAfter
                           : kReserveInteractiveAfter;
  struct LongPendingTask {
    double rank = 0;
    Millis pending_since;
    TaskId task;
  };
  std::vector<LongPendingTask> long_pending_tasks;
  const auto index = static_cast<size_t>(task_class);
  m_state->queue.VisitBlocked(task_class, [&](const PendingEntry& entry) {
    if (now - entry.task.pending_since < delay ||
        !m_state->reservations.FitsQuota(entry) ||
        m_state->reservations.HasWorker(entry.task.task))
      return;
    const CustomerState& customer = m_state->queue.customer(entry.customer);
    const CustomerDemand demand{customer.running[index], customer.weight,
                                entry.order};
    long_pending_tasks.push_back(
        {m_state->policies.customer_order->Rank(
             demand, m_state->cluster.total_capacity()),
         entry.task.pending_since, entry.task.task});
  });
  std::sort(long_pending_tasks.begin(), long_pending_tasks.end(),
            [](const LongPendingTask& left, const LongPendingTask& right) {
              return std::tie(left.rank, left.pending_since, left.task) <
                     std::tie(right.rank, right.pending_since, right.task);
            });
  for (const LongPendingTask& item : long_pending_tasks) {
    if (m_state->reservations.CountOfClass(task_class) >= max_reservations)
      return;
    const PendingEntry& entry = *m_state->queue.Find(item.task);
    const std::optional<WorkerIndex> worker = FindEarliestWorker(entry, now);
    if (worker)
      m_state->reservations.Add(entry, *worker, now);
  }
}

std::optional<WorkerIndex> FairScheduler::FindEarliestWorker(
    const PendingEntry& entry,
    Millis now) {
  std::vector<WorkerIndex> candidates;
  m_state->cluster.evictable_index().Collect(entry.need, kEvictionCandidates,
                                             ++m_state->rotation, candidates);
  std::optional<WorkerIndex> best;
  Millis earliest;
  for (const WorkerIndex index : candidates) {
    const Millis time_until_fit =
        EstimateTimeUntilFit(m_state->cluster.worker(index), entry.need, now);
    if (!best || time_until_fit < earliest) {
      best = index;
      earliest = time_until_fit;
    }
  }
  return best;
}

Millis FairScheduler::EstimateTimeUntilFit(const Worker& worker,
                                           const Resources& need,
                                           Millis now) const {
  std::vector<std::pair<Millis, const RunningTask*>> ends;
  for (const RunningTask* task : worker.tasks) {
    if (!task->IsEvictable())
      continue;
    const Millis runtime = m_state->policies.estimator->EstimateRuntime(
        task->workload, task->spec->expected_runtime);
    ends.emplace_back(std::max(task->started + runtime, now), task);
  }
  std::sort(ends.begin(), ends.end(), [](const auto& left, const auto& right) {
    return left.first < right.first;
  });
  Resources usable = worker.UsableCapacity();
  for (const auto& [end, task] : ends) {
    if (need.FitsIn(usable))
      return end - now;
    usable += task->allocated;
  }
  return ends.empty() ? Millis(0) : ends.back().first - now;
}

void FairScheduler::EvictForUrgent(Millis now, std::vector<Eviction>& out) {
  EvictionPolicy& policy = *m_state->policies.eviction;
  for (const TaskId task : m_state->queue.BlockedTasks(
           TaskClass::kUrgent, kMaxUrgentReservations)) {
    const PendingEntry& entry = *m_state->queue.Find(task);
    const size_t allowance = policy.Allowance(
        EvictionCause::kUrgentWork, m_state->cluster.batch_task_count(), now);
    if (allowance == 0)
      return;
    if (now - entry.task.pending_since < kEvictAfter ||
        !m_state->reservations.FitsQuota(entry) ||
        m_state->reservations.HasWorker(task))
      continue;
    std::vector<WorkerIndex> candidates;
    m_state->cluster.evictable_index().Collect(entry.need, kEvictionCandidates,
                                               ++m_state->rotation, candidates);
    std::optional<EvictionPlan> best;
    WorkerIndex best_worker = 0;
    for (const WorkerIndex index : candidates) {
      std::optional<EvictionPlan> plan =
          policy.Plan(m_state->cluster.worker(index), entry.need, now);
      if (plan && (!best || plan->cost < best->cost)) {
        best = std::move(plan);
        best_worker = index;
      }
    }
    if (!best || best->tasks.size() > allowance)
      continue;
    m_state->reservations.Add(entry, best_worker, now);
    for (const TaskId victim : best->tasks)
      Evict(victim, "frees capacity for urgent task " + ToString(task), now,
            out);
  }
}

void FairScheduler::EvictForServices(Millis now, std::vector<Eviction>& out) {
  EvictionPolicy& policy = *m_state->policies.eviction;
  for (const WorkerIndex worker : m_state->overloads.Due(now)) {
    if (policy.Allowance(EvictionCause::kOverloadedService,
                         m_state->cluster.batch_task_count(), now) == 0)
      return;
    const std::optional<TaskId> victim =
        policy.ChooseVictim(m_state->cluster.worker(worker), now);
    if (!victim)
      continue;
    const Resources size = m_state->cluster.FindTask(*victim)->allocated;
    Evict(*victim, "a service on the worker exceeds its latency objective", now,
          out);
    m_state->cluster.AddReservation(worker, size);
    m_state->overloads.OnEviction(worker, size, now);
  }
}

void FairScheduler::Evict(TaskId task,
                          const std::string& reason,
                          Millis now,
                          std::vector<Eviction>& out) {
  m_state->cluster.MarkEvicting(*m_state->cluster.FindTask(task));
  m_state->policies.eviction->RecordEviction(task, now);
  out.push_back({task, reason});
}

std::string FairScheduler::DumpState() const {
  return DumpScheduler(m_state->queue, m_state->cluster, m_state->reservations);
}

}  // namespace fulmarrock
