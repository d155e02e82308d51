#ifndef TESTS_SUPPORT_ROUND_ROBIN_SCHEDULER_H_
#define TESTS_SUPPORT_ROUND_ROBIN_SCHEDULER_H_

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "source/placement/scheduler.h"

namespace fulmarrock::test {

/// Places tasks in order of arrival; the search for a worker with enough free
/// capacity starts behind the previously chosen one. Evicts the tasks in
/// `to_evict`.
class RoundRobinScheduler : public Scheduler {
 public:
  void Clear() override;
  void SetConfiguration(const Configuration&) override {}
  void UpsertWorker(const WorkerInfo& worker) override;
  void RemoveWorker(const NodeId& worker) override;
  void Enqueue(const PendingTask& task) override;
  void RemovePending(TaskId task) override;
  void AddRunning(const PendingTask& task,
                  const NodeId& worker,
                  Millis started) override;
  void Release(TaskId task, AttemptResult result, Millis runtime) override;
  std::vector<Placement> Schedule(size_t limit, Millis now) override;
  std::vector<Eviction> ChooseEvictions(Millis now) override;
  std::vector<UnplaceableTask> TakeUnplaceable() override;
  void OnUsage(const NodeId&, const UsageReport&, Millis) override {
    ++usage_count;
  }
  bool IsQuarantined(const NodeId&) const override { return false; }
  size_t pending_count() const override { return m_pending.size(); }
  size_t running_count() const override { return m_running.size(); }
  std::string DumpState() const override { return "{}"; }

  /// Tasks to evict at the next ChooseEvictions().
  std::vector<TaskId> to_evict;
  size_t usage_count = 0;

 private:
  struct Worker {
    WorkerInfo info;
    Resources total_allocated;
  };
  struct Running {
    size_t worker = 0;
    Resources resources;
  };

  bool Place(const PendingTask& task, std::vector<Placement>& placements);

  std::vector<Worker> m_workers;
  std::unordered_map<NodeId, size_t> m_index;
  std::deque<PendingTask> m_pending;
  std::unordered_map<TaskId, Running> m_running;
  std::vector<UnplaceableTask> m_unplaceable;
  size_t m_next_worker = 0;
};

}  // namespace fulmarrock::test

#endif  // TESTS_SUPPORT_ROUND_ROBIN_SCHEDULER_H_
