#include "source/placement/placement_policy.h"

namespace fulmarrock {

std::optional<WorkerIndex> FirstFitPlacement::Choose(
    const Cluster& cluster,
    const PlacementRequest& request) {
  for (WorkerIndex i = 0; i < cluster.worker_slots(); ++i) {
    const Worker& worker = cluster.worker(i);
    if (worker.IsOpen() && request.need.FitsIn(worker.Usable()))
      return i;
  }
  return std::nullopt;
}

}  // namespace fulmarrock
