#include "source/placement/placement_policy.h"

namespace fulmarrock {

bool HasRoom(const Worker& worker, const Resources& need) {
  return worker.IsOpen() && need.FitsIn(worker.Usable());
}

std::optional<WorkerIndex> FirstFitPlacement::Choose(
    const Cluster& cluster,
    const PlacementRequest& request) {
  for (const WorkerIndex i : request.hints) {
    if (HasRoom(cluster.worker(i), request.need))
      return i;
  }
  if (!request.hints.empty())
    return std::nullopt;
  for (WorkerIndex i = 0; i < cluster.worker_slots(); ++i) {
    if (HasRoom(cluster.worker(i), request.need))
      return i;
  }
  return std::nullopt;
}

}  // namespace fulmarrock
