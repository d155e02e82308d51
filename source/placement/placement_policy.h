#ifndef SOURCE_PLACEMENT_PLACEMENT_POLICY_H_
#define SOURCE_PLACEMENT_PLACEMENT_POLICY_H_

#include <optional>
#include <span>

#include "source/placement/cluster.h"

namespace fulmarrock {

/// A task to place.
struct PlacementRequest {
  TaskId task;
  const JobSpec* spec = nullptr;
  WorkloadKey workload = 0;
  /// Per resource, the larger of the requested and the estimated amount.
  Resources need;
  Millis now;
  /// The only workers to consider, or empty for all.
  std::span<const WorkerIndex> candidate_workers;
};

/// Whether a task of this size may be placed on the worker now.
bool HasCapacityFor(const Worker& worker, const Resources& need);

/// Selects the worker for one task.
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;

  /// Returns a schedulable worker whose usable capacity fits the request, or
  /// nothing if there is none among the workers to consider.
  virtual std::optional<WorkerIndex> Choose(
      const Cluster& cluster,
      const PlacementRequest& request) = 0;
};

/// Baseline: first fit in the order of the worker table.
class FirstFitPlacement : public PlacementPolicy {
 public:
  std::optional<WorkerIndex> Choose(const Cluster& cluster,
                                    const PlacementRequest& request) override;
};

}  // namespace fulmarrock

#endif  // SOURCE_PLACEMENT_PLACEMENT_POLICY_H_
