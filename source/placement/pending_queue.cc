#include "source/placement/pending_queue.h"

#include <algorithm>

namespace fulmarrock {

CustomerIndex PendingQueue::InternCustomer(const std::string& name) {
  const auto [it, is_new] = m_customer_by_name.emplace(name, customer_count());
  if (is_new) {
    m_customers.emplace_back().name = name;
    for (auto& customer_classes : m_classes)
      customer_classes.emplace_back();
  }
  return it->second;
}

void PendingQueue::Add(const PendingEntry& entry) {
  Group& group = GroupFor(entry);
  const auto [it, is_new] =
      m_entries.emplace(entry.task.task, QueuedEntry{entry, &group});
  if (!is_new)
    return;
  const Millis old_first =
      group.tasks.empty() ? Millis::Max() : group.tasks.begin()->first;
  group.tasks.emplace(entry.order, entry.task.task);
  Reorder(group, old_first);
  m_workloads[entry.workload].insert(entry.task.task);
  ++m_class_counts[static_cast<size_t>(entry.task_class)];
}

bool PendingQueue::Remove(TaskId task) {
  const auto it = m_entries.find(task);
  if (it == m_entries.end())
    return false;
  const PendingEntry& entry = it->second.entry;
  Group& group = *it->second.group;
  const auto workload = m_workloads.find(entry.workload);
  workload->second.erase(task);
  if (workload->second.empty())
    m_workloads.erase(workload);
  --m_class_counts[static_cast<size_t>(entry.task_class)];
  const Millis old_first = group.tasks.begin()->first;
  group.tasks.erase({entry.order, task});
  m_entries.erase(it);
  Reorder(group, old_first);
  return true;
}

const PendingEntry* PendingQueue::Find(TaskId task) const {
  const auto it = m_entries.find(task);
  return it == m_entries.end() ? nullptr : &it->second.entry;
}

const PendingEntry* PendingQueue::Next(TaskClass task_class,
                                       const Resources& total) {
  if (m_blocked_sizes.size() == m_sizes.size())
    return nullptr;
  const auto index = static_cast<size_t>(task_class);
  const Group* best = nullptr;
  double best_rank = 0;
  for (const CustomerIndex customer : m_pending_customers[index]) {
    CustomerClass& customer_class = m_classes[index][customer];
    const Group* group = FirstStartable(customer_class);
    if (!group)
      continue;
    const CustomerState& state = m_customers[customer];
    const double rank = m_order.Rank(
        {state.running[index], state.weight, group->tasks.begin()->first},
        total);
    if (!best || rank < best_rank ||
        (rank == best_rank && *group->tasks.begin() < *best->tasks.begin())) {
      best = group;
      best_rank = rank;
    }
  }
  return best ? Find(best->tasks.begin()->second) : nullptr;
}

void PendingQueue::BlockSize(const Resources& need) {
  const auto it = m_sizes.find(KeyOf(need));
  if (it == m_sizes.end() || it->second.is_blocked)
    return;
  SizeState& size = it->second;
  if (!size.candidate_workers.empty()) {
    size.candidate_workers.clear();
    std::erase(m_sizes_with_candidates, &size);
  }
  size.is_blocked = true;
  m_blocked_sizes.push_back(&size);
}

bool PendingQueue::IsSizeBlocked(const Resources& need) const {
  const auto it = m_sizes.find(KeyOf(need));
  return it != m_sizes.end() && it->second.is_blocked;
}

void PendingQueue::OnCapacityIncrease(WorkerIndex worker,
                                      const Resources& usable) {
  for (SizeState* size : m_sizes_with_candidates) {
    if (size->need.FitsIn(usable) &&
        std::find(size->candidate_workers.begin(),
                  size->candidate_workers.end(),
                  worker) == size->candidate_workers.end())
      size->candidate_workers.push_back(worker);
  }
  const auto first = std::partition(
      m_blocked_sizes.begin(), m_blocked_sizes.end(),
      [&](const SizeState* size) { return !size->need.FitsIn(usable); });
  if (first == m_blocked_sizes.end())
    return;
  for (auto it = first; it != m_blocked_sizes.end(); ++it) {
    (*it)->is_blocked = false;
    (*it)->candidate_workers.push_back(worker);
    m_sizes_with_candidates.push_back(*it);
  }
  m_blocked_sizes.erase(first, m_blocked_sizes.end());
  ++m_unblock_count;
}

void PendingQueue::OnCapacityDecrease(WorkerIndex worker,
                                      const Resources& usable) {
  std::erase_if(m_sizes_with_candidates, [&](SizeState* size) {
    if (size->need.FitsIn(usable))
      return false;
    std::erase(size->candidate_workers, worker);
    if (!size->candidate_workers.empty())
      return false;
    size->is_blocked = true;
    m_blocked_sizes.push_back(size);
    return true;
  });
}

std::span<const WorkerIndex> PendingQueue::CandidateWorkersFor(
    const Resources& need) const {
  const auto it = m_sizes.find(KeyOf(need));
  if (it == m_sizes.end())
    return {};
  return it->second.candidate_workers;
}

void PendingQueue::BlockOnQuota(const PendingEntry& entry) {
  m_entries.find(entry.task.task)->second.group->is_over_quota = true;
  m_customers[entry.customer].is_over_quota = true;
}

void PendingQueue::UnblockCustomer(CustomerIndex customer) {
  if (!std::exchange(m_customers[customer].is_over_quota, false))
    return;
  for (auto& customer_classes : m_classes) {
    for (const auto& [order, group] : customer_classes[customer].groups)
      group->is_over_quota = false;
  }
  ++m_unblock_count;
}

void PendingQueue::VisitBlocked(
    TaskClass task_class,
    const std::function<void(const PendingEntry&)>& visit) const {
  const auto index = static_cast<size_t>(task_class);
  for (const CustomerIndex customer : m_pending_customers[index]) {
    for (const auto& [order, group] : m_classes[index][customer].groups) {
      if (group->size->is_blocked && !group->is_over_quota)
        visit(*Find(group->tasks.begin()->second));
    }
  }
}

std::vector<TaskId> PendingQueue::BlockedTasks(TaskClass task_class,
                                               size_t limit) const {
  std::vector<TaskId> tasks;
  const auto index = static_cast<size_t>(task_class);
  for (const CustomerIndex customer : m_pending_customers[index]) {
    for (const auto& [order, group] : m_classes[index][customer].groups) {
      if (!group->size->is_blocked || group->is_over_quota)
        continue;
      for (const TaskOrder& task : group->tasks) {
        if (tasks.size() == limit)
          return tasks;
        tasks.push_back(task.second);
      }
    }
  }
  return tasks;
}

std::vector<TaskId> PendingQueue::TasksOfCustomer(
    CustomerIndex customer) const {
  std::vector<TaskId> tasks;
  for (const auto& customer_classes : m_classes) {
    for (const auto& [order, group] : customer_classes[customer].groups) {
      for (const TaskOrder& task : group->tasks)
        tasks.push_back(task.second);
    }
  }
  return tasks;
}

std::vector<TaskId> PendingQueue::TasksOfWorkload(WorkloadKey workload) const {
  const auto it = m_workloads.find(workload);
  if (it == m_workloads.end())
    return {};
  return {it->second.begin(), it->second.end()};
}

std::vector<TaskId> PendingQueue::GroupHeads() const {
  std::vector<TaskId> heads;
  heads.reserve(m_groups.size());
  for (const auto& [key, group] : m_groups)
    heads.push_back(group->tasks.begin()->second);
  return heads;
}

std::vector<TaskId> PendingQueue::TasksOfGroup(TaskId task) const {
  std::vector<TaskId> tasks;
  const auto it = m_entries.find(task);
  if (it == m_entries.end())
    return tasks;
  for (const TaskOrder& item : it->second.group->tasks)
    tasks.push_back(item.second);
  return tasks;
}

PendingQueue::Group& PendingQueue::GroupFor(const PendingEntry& entry) {
  const GroupKey key{entry.task_class, entry.customer,
                     KeyOf(entry.task.spec->resources), KeyOf(entry.need)};
  std::unique_ptr<Group>& group = m_groups[key];
  if (group)
    return *group;
  group = std::make_unique<Group>();
  group->key = key;
  group->sequence = m_next_sequence++;
  SizeState& size = m_sizes[KeyOf(entry.need)];
  size.need = entry.need;
  ++size.group_count;
  group->size = &size;
  ++m_unblock_count;
  return *group;
}

PendingQueue::CustomerClass& PendingQueue::ClassOf(const Group& group) {
  return m_classes[static_cast<size_t>(std::get<0>(group.key))]
                  [std::get<1>(group.key)];
}

void PendingQueue::Reorder(Group& group, Millis old_first) {
  CustomerClass& customer_class = ClassOf(group);
  auto& pending_customers =
      m_pending_customers[static_cast<size_t>(std::get<0>(group.key))];
  const CustomerIndex customer = std::get<1>(group.key);
  if (!group.tasks.empty()) {
    const Millis first = group.tasks.begin()->first;
    if (first == old_first)
      return;
    customer_class.groups.erase({old_first, group.sequence});
    customer_class.groups.emplace(std::make_tuple(first, group.sequence),
                                  &group);
    pending_customers.insert(customer);
    return;
  }
  customer_class.groups.erase({old_first, group.sequence});
  if (customer_class.groups.empty())
    pending_customers.erase(customer);
  SizeState& size = *group.size;
  if (--size.group_count == 0) {
    std::erase(m_blocked_sizes, &size);
    std::erase(m_sizes_with_candidates, &size);
    m_sizes.erase(KeyOf(size.need));
  }
  m_groups.erase(GroupKey(group.key));
}

PendingQueue::Group* PendingQueue::FirstStartable(
    CustomerClass& customer_class) const {
  if (customer_class.no_startable_at == m_unblock_count)
    return nullptr;
  for (const auto& [order, group] : customer_class.groups) {
    if (group->IsStartable())
      return group;
  }
  customer_class.no_startable_at = m_unblock_count;
  return nullptr;
}

}  // namespace fulmarrock
