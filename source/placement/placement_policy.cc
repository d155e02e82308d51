#include "source/placement/placement_policy.h"

namespace fulmarrock {

bool HasCapacityFor(const Worker& worker, const Resources& need) {
  return worker.IsSchedulable() && need.FitsIn(worker.UsableCapacity());
}

std::optional<WorkerIndex> FirstFitPlacement::Choose(
    const Cluster& cluster,
    const PlacementRequest& request) {
  for (const WorkerIndex i : request.candidate_workers) {
    if (HasCapacityFor(cluster.worker(i), request.need))
      return i;
  }
  if (!request.candidate_workers.empty())
    return std::nullopt;
  for (WorkerIndex i = 0; i < cluster.worker_slots(); ++i) {
    if (HasCapacityFor(cluster.worker(i), request.need))
      return i;
  }
  return std::nullopt;
}

}  // namespace fulmarrock
