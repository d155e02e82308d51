#ifndef SOURCE_PLACEMENT_PENDING_QUEUE_H_
#define SOURCE_PLACEMENT_PENDING_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "source/placement/customer_order.h"
#include "source/placement/free_capacity_index.h"
#include "source/placement/scheduler.h"
#include "source/placement/task_class.h"
#include "source/placement/workload_key.h"

namespace fulmarrock {

/// A customer with its plan and what its running tasks use.
struct CustomerState {
  std::string name;
  /// False for a customer that is not in the configuration or has no known
  /// plan.
  bool is_listed = false;
  int64_t weight = 1;
  Resources quota;
  bool allows_urgent = false;
  /// Sum of the requested resources of all running tasks, for the quota.
  Resources requested;
  /// Whether a group of the customer may be blocked on the quota.
  bool is_over_quota = false;
  /// Sum of the allocated sizes of the running tasks by class, for the fair
  /// share.
  std::array<Resources, kTaskClassCount> running;
};

/// A pending task with the values that its scheduling depends on.
struct PendingEntry {
  PendingTask task;
  CustomerIndex customer = 0;
  TaskClass task_class = TaskClass::kBatch;
  WorkloadKey workload = 0;
  /// Per resource, the larger of the requested and the estimated amount.
  Resources need;
  /// Sort key among the tasks of the customer and class: the time at which the
  /// task became pending; for batch tasks plus the estimated run time, capped.
  Millis order;
};

/// The pending tasks. Tasks of one customer, class and size form a group. When
/// no worker fits a size, all groups of that size are blocked until the usable
/// capacity of some worker has increased enough. The search for the next task
/// therefore skips tasks that cannot start.
class PendingQueue {
 public:
  explicit PendingQueue(const CustomerOrder& order) : m_order(order) {}

  /// Returns the customer's index, adding the customer if needed.
  CustomerIndex InternCustomer(const std::string& name);
  CustomerState& customer(CustomerIndex index) { return m_customers[index]; }
  const CustomerState& customer(CustomerIndex index) const {
    return m_customers[index];
  }
  CustomerIndex customer_count() const {
    return static_cast<CustomerIndex>(m_customers.size());
  }

  void Add(const PendingEntry& entry);
  bool Remove(TaskId task);
  const PendingEntry* Find(TaskId task) const;
  size_t size() const { return m_entries.size(); }

  /// Returns the next task of a class to schedule, or null if none of them may
  /// start now.
  const PendingEntry* Next(TaskClass task_class, const Resources& total);

  /// Blocks all tasks of this size until OnCapacityIncrease() reports a worker
  /// that fits it.
  void BlockSize(const Resources& need);

  bool IsSizeBlocked(const Resources& need) const;

  /// Unblocks the sizes that fit a worker whose usable capacity has increased,
  /// and adds the worker to their candidates.
  void OnCapacityIncrease(WorkerIndex worker, const Resources& usable);

  /// Removes a worker whose usable capacity has decreased from the candidates
  /// of the sizes that no longer fit, and blocks those without other
  /// candidates.
  void OnCapacityDecrease(WorkerIndex worker, const Resources& usable);

  /// Returns the only workers that may fit a size: those whose usable capacity
  /// increased after the size was blocked. Empty if any worker may fit.
  std::span<const WorkerIndex> CandidateWorkersFor(const Resources& need) const;

  /// Blocks the task's group until UnblockCustomer().
  void BlockOnQuota(const PendingEntry& entry);
  void UnblockCustomer(CustomerIndex customer);

  /// Visits the first task of each group of a class that is blocked because no
  /// worker fits its size, in no particular order of customers.
  void VisitBlocked(
      TaskClass task_class,
      const std::function<void(const PendingEntry&)>& visit) const;

  /// Returns up to `limit` tasks of a class that are blocked because no worker
  /// fits their size, by customer and in queue order.
  std::vector<TaskId> BlockedTasks(TaskClass task_class, size_t limit) const;

  /// Returns the pending tasks of a customer or a workload.
  std::vector<TaskId> TasksOfCustomer(CustomerIndex customer) const;
  std::vector<TaskId> TasksOfWorkload(WorkloadKey workload) const;

  /// Returns the first task of every group. All tasks of a group have the same
  /// customer and requested resources.
  std::vector<TaskId> GroupHeads() const;

  /// Returns all tasks of the group of a task.
  std::vector<TaskId> TasksOfGroup(TaskId task) const;

  size_t CountOfClass(TaskClass task_class) const {
    return m_class_counts[static_cast<size_t>(task_class)];
  }
  size_t blocked_size_count() const { return m_blocked_sizes.size(); }

 private:
  using SizeKey = std::tuple<int64_t, int64_t, int64_t>;
  using GroupKey = std::tuple<TaskClass, CustomerIndex, SizeKey, SizeKey>;
  using TaskOrder = std::pair<Millis, TaskId>;

  struct SizeState {
    Resources need;
    bool is_blocked = false;
    size_t group_count = 0;
    // Workers whose usable capacity increased after the size was blocked; no
    // other worker fits it. Empty for a size that was never blocked.
    std::vector<WorkerIndex> candidate_workers;
  };
  struct Group {
    GroupKey key;
    uint64_t sequence = 0;
    SizeState* size = nullptr;
    bool is_over_quota = false;
    std::set<TaskOrder> tasks;

    bool IsStartable() const { return !size->is_blocked && !is_over_quota; }
  };
  // Groups of one customer and class, ordered by their first task.
  using GroupOrder = std::map<std::tuple<Millis, uint64_t>, Group*>;
  struct CustomerClass {
    GroupOrder groups;
    // Value of m_unblock_count at which no group was startable.
    uint64_t no_startable_at = ~uint64_t{0};
  };
  struct QueuedEntry {
    PendingEntry entry;
    Group* group = nullptr;
  };

  static SizeKey KeyOf(const Resources& size) {
    return {size.cpu_millicores, size.memory_mib, size.accelerators};
  }

  Group& GroupFor(const PendingEntry& entry);
  CustomerClass& ClassOf(const Group& group);
  /// Updates the position of a group after its first task changed, or removes
  /// the group if it is empty.
  void Reorder(Group& group, Millis old_first);
  /// Returns the first startable group, or null.
  Group* FirstStartable(CustomerClass& customer_class) const;

  const CustomerOrder& m_order;
  std::vector<CustomerState> m_customers;
  std::unordered_map<std::string, CustomerIndex> m_customer_by_name;
  std::array<std::vector<CustomerClass>, kTaskClassCount> m_classes;
  std::array<std::set<CustomerIndex>, kTaskClassCount> m_pending_customers;
  std::array<size_t, kTaskClassCount> m_class_counts{};
  std::unordered_map<TaskId, QueuedEntry> m_entries;
  std::map<GroupKey, std::unique_ptr<Group>> m_groups;
  std::map<SizeKey, SizeState> m_sizes;
  std::vector<SizeState*> m_blocked_sizes;
  // Sizes that are not blocked but have candidate workers.
  std::vector<SizeState*> m_sizes_with_candidates;
  std::unordered_map<WorkloadKey, std::unordered_set<TaskId>> m_workloads;
  uint64_t m_next_sequence = 0;
  uint64_t m_unblock_count = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_PLACEMENT_PENDING_QUEUE_H_
