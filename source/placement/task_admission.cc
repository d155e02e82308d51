#include "source/placement/task_admission.h"

#include <algorithm>
#include <utility>

namespace fulmarrock {
namespace {

// Batch tasks of a customer are ordered by the time they became pending plus
// their estimated run time, capped at this, so that no task waits longer than
// this for shorter ones.
constexpr Millis kMaxOrderDelay = Millis::FromSeconds(600);

TaskClass ClassOf(const JobSpec& spec, const CustomerState& customer) {
  if (spec.is_urgent && customer.allows_urgent)
    return TaskClass::kUrgent;
  return spec.kind == TaskKind::kBatch ? TaskClass::kBatch
                                       : TaskClass::kInteractive;
}

std::string DescribeUnlistedCustomer(const std::string& customer) {
  return "customer " + customer +
         " is not in the list of customers or has an unknown plan; add it to "
         "the configuration";
}

}  // namespace

void TaskAdmission::SetConfiguration(const Configuration& configuration) {
  m_configuration = configuration;
  for (CustomerIndex i = 0; i < m_queue.customer_count(); ++i) {
    if (!RefreshCustomer(i))
      continue;
    for (const TaskId task : m_queue.TasksOfCustomer(i)) {
      m_reservations.Remove(task);
      Requeue(task);
      m_unchecked_tasks.push_back(task);
    }
    m_queue.UnblockCustomer(i);
  }
}

void TaskAdmission::Enqueue(const PendingTask& task) {
  if (m_queue.Find(task.task) || m_cluster.FindTask(task.task))
    return;
  const std::string& customer = task.spec->customer;
  if (!m_configuration.FindPlanOfCustomer(customer)) {
    m_unplaceable.push_back({task.task, DescribeUnlistedCustomer(customer)});
    return;
  }
  m_queue.Add(MakeEntry(task));
  m_unchecked_tasks.push_back(task.task);
}

void TaskAdmission::Remove(TaskId task) {
  m_reservations.Remove(task);
  m_queue.Remove(task);
}

PendingEntry TaskAdmission::MakeEntry(const PendingTask& task) {
  const CustomerIndex customer = m_queue.InternCustomer(task.spec->customer);
  RefreshCustomer(customer);
  return MakeEntryOfCustomer(task, customer);
}

void TaskAdmission::RequeueWorkload(WorkloadKey workload) {
  for (const TaskId task : m_queue.TasksOfWorkload(workload))
    Requeue(task);
}

void TaskAdmission::RemoveUnplaceable() {
  RequeueForCapacityChange();
  for (const TaskId task : std::exchange(m_unchecked_tasks, {})) {
    const PendingEntry* entry = m_queue.Find(task);
    if (!entry)
      continue;
    const std::optional<std::string> unplaceable_reason =
        FindUnplaceableReason(*entry);
    if (!unplaceable_reason)
      continue;
    Remove(task);
    m_unplaceable.push_back({task, *unplaceable_reason});
  }
}

std::vector<UnplaceableTask> TaskAdmission::TakeUnplaceable() {
  RemoveUnplaceable();
  std::vector<UnplaceableTask> unplaceable = std::exchange(m_unplaceable, {});
  // A task may have been enqueued again in the meantime.
  std::erase_if(unplaceable, [&](const UnplaceableTask& item) {
    return m_queue.Find(item.task) || m_cluster.FindTask(item.task);
  });
  return unplaceable;
}

bool TaskAdmission::RefreshCustomer(CustomerIndex customer) {
  CustomerState& state = m_queue.customer(customer);
  const Plan* plan = m_configuration.FindPlanOfCustomer(state.name);
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

PendingEntry TaskAdmission::MakeEntryOfCustomer(const PendingTask& task,
                                                CustomerIndex customer) const {
  const JobSpec& spec = *task.spec;
  PendingEntry entry;
  entry.task = task;
  entry.customer = customer;
  entry.task_class = ClassOf(spec, m_queue.customer(customer));
  entry.workload = WorkloadKeyOf(spec);
  entry.need = m_cluster.ClampToCapacity(
      m_estimator.EstimateSize(entry.workload, spec.resources), spec.resources);
  entry.order = task.pending_since;
  if (entry.task_class == TaskClass::kBatch)
    entry.order += std::min(
        m_estimator.EstimateRuntime(entry.workload, spec.expected_runtime),
        kMaxOrderDelay);
  return entry;
}

void TaskAdmission::Requeue(TaskId task) {
  const PendingEntry* entry = m_queue.Find(task);
  if (!entry)
    return;
  const PendingEntry renewed =
      MakeEntryOfCustomer(entry->task, entry->customer);
  if (renewed.task_class == entry->task_class && renewed.need == entry->need)
    return;
  Remove(task);
  m_queue.Add(renewed);
}

void TaskAdmission::RequeueForCapacityChange() {
  const uint64_t version = m_cluster.capacity_version();
  if (version == m_checked_capacity_version)
    return;
  m_checked_capacity_version = version;
  for (const TaskId head : m_queue.GroupHeads()) {
    const PendingEntry& entry = *m_queue.Find(head);
    const PendingEntry renewed =
        MakeEntryOfCustomer(entry.task, entry.customer);
    if (renewed.need == entry.need && !FindUnplaceableReason(entry))
      continue;
    for (const TaskId task : m_queue.TasksOfGroup(head)) {
      Requeue(task);
      m_unchecked_tasks.push_back(task);
    }
  }
}

std::optional<std::string> TaskAdmission::FindUnplaceableReason(
    const PendingEntry& entry) const {
  const CustomerState& customer = m_queue.customer(entry.customer);
  const Resources& requested = entry.task.spec->resources;
  if (!customer.is_listed)
    return DescribeUnlistedCustomer(customer.name);
  if (!requested.FitsIn(customer.quota))
    return "the task needs " + requested.ToString() + ", but the plan of " +
           customer.name + " allows " + customer.quota.ToString() +
           "; reduce the size or raise the quota";
  // Sizes are not checked before the first worker is known.
  if (m_cluster.known_worker_count() > 0 &&
      !m_cluster.FitsSomeCapacity(requested))
    return "the task needs " + requested.ToString() +
           ", but no worker is that large; reduce the size or add such a "
           "worker";
  return std::nullopt;
}

}  // namespace fulmarrock
