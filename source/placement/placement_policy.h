#ifndef SOURCE_PLACEMENT_PLACEMENT_POLICY_H_
#define SOURCE_PLACEMENT_PLACEMENT_POLICY_H_

#include <optional>
#include <span>

#include "source/placement/cluster.h"

namespace fulmarrock {

/// A task that is to be placed.
struct PlacementRequest {
  TaskId task;
  const JobSpec* spec = nullptr;
  WorkloadKey workload = 0;
  /// The larger of the declared and the estimated size.
  Resources need;
  Millis now;
  /// The only workers to consider, or empty for all.
  std::span<const WorkerIndex> hints;
};

/// Whether a task of this size may be placed on the worker now.
bool HasRoom(const Worker& worker, const Resources& need);

/// Selects the worker for one task.
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;

  /// Returns an open worker whose usable capacity holds the request, or nothing
  /// if there is none among the workers to consider.
  virtual std::optional<WorkerIndex> Choose(
      const Cluster& cluster,
      const PlacementRequest& request) = 0;
};

/// Baseline: the first worker of the table that fits.
class FirstFitPlacement : public PlacementPolicy {
 public:
  std::optional<WorkerIndex> Choose(const Cluster& cluster,
                                    const PlacementRequest& request) override;
};

}  // namespace fulmarrock

#endif  // SOURCE_PLACEMENT_PLACEMENT_POLICY_H_
