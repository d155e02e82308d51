#ifndef SOURCE_PLACEMENT_EVICTION_POLICY_H_
#define SOURCE_PLACEMENT_EVICTION_POLICY_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

#include "source/placement/bounded_map.h"
#include "source/placement/cluster.h"
#include "source/placement/usage_estimator.h"

namespace fulmarrock {

/// Why tasks are evicted.
enum class EvictionCause : uint8_t { kUrgentWork, kOverloadedService };

/// Tasks of one worker to evict together.
struct EvictionPlan {
  std::vector<TaskId> tasks;
  double cost = 0;
};

/// Selects batch tasks to evict. Never selects kernels or services.
class EvictionPolicy {
 public:
  virtual ~EvictionPolicy() = default;

  /// Returns tasks of the worker whose eviction makes `need` fit into its
  /// usable capacity, or nothing if the tasks that may be evicted do not free
  /// enough.
  virtual std::optional<EvictionPlan> Plan(const Worker& worker,
                                           const Resources& need,
                                           Millis now) const = 0;

  /// Returns the task with the lowest eviction cost, or nothing.
  virtual std::optional<TaskId> ChooseVictim(const Worker& worker,
                                             Millis now) const = 0;

  /// Number of evictions allowed now while `batch_tasks` batch tasks run.
  virtual size_t Allowance(EvictionCause cause,
                           size_t batch_tasks,
                           Millis now) const = 0;

  virtual void RecordEviction(TaskId task, Millis now) = 0;
};

/// Baseline: evicts the most recently started task, without limits.
class NewestFirstEviction : public EvictionPolicy {
 public:
  std::optional<EvictionPlan> Plan(const Worker& worker,
                                   const Resources& need,
                                   Millis now) const override;
  std::optional<TaskId> ChooseVictim(const Worker& worker,
                                     Millis now) const override;
  size_t Allowance(EvictionCause, size_t, Millis) const override {
    return SIZE_MAX;
  }
  void RecordEviction(TaskId, Millis) override {}
};

/// Evicts the tasks that lose the least work, within limits per task and per
/// time window.
class CheapestEviction : public EvictionPolicy {
 public:
  /// `estimator` outlives the policy.
  explicit CheapestEviction(const UsageEstimator& estimator)
      : m_estimator(estimator) {}

  std::optional<EvictionPlan> Plan(const Worker& worker,
                                   const Resources& need,
                                   Millis now) const override;
  std::optional<TaskId> ChooseVictim(const Worker& worker,
                                     Millis now) const override;
  size_t Allowance(EvictionCause cause,
                   size_t batch_tasks,
                   Millis now) const override;
  void RecordEviction(TaskId task, Millis now) override;

  /// Returns the cost of evicting a task in milliseconds of lost work, or
  /// nothing if its limit is reached.
  std::optional<double> Cost(const RunningTask& task, Millis now) const;

 private:
  struct History {
    uint32_t count = 0;
    Millis last;
  };

  const UsageEstimator& m_estimator;
  BoundedMap<TaskId, History> m_history{20'000};
  // Times of the evictions within the window.
  std::deque<Millis> m_recent;
};

}  // namespace fulmarrock

#endif  // SOURCE_PLACEMENT_EVICTION_POLICY_H_
