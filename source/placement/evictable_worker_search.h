#ifndef SOURCE_PLACEMENT_EVICTABLE_WORKER_SEARCH_H_
#define SOURCE_PLACEMENT_EVICTABLE_WORKER_SEARCH_H_

#include <cstdint>
#include <vector>

#include "source/placement/cluster.h"

namespace fulmarrock {

/// Finds workers that would fit a size without their batch tasks. Each search
/// starts at another position of the index, so that the searches are spread
/// over the cluster.
class EvictableWorkerSearch {
 public:
  /// `cluster` outlives the search.
  explicit EvictableWorkerSearch(const Cluster& cluster) : m_cluster(cluster) {}

  /// Returns some of the workers whose usable and evictable capacity together
  /// fit `need`.
  std::vector<WorkerIndex> Find(const Resources& need) {
    std::vector<WorkerIndex> workers;
    m_cluster.evictable_index().Collect(need, kMaxWorkers, ++m_rotation,
                                        workers);
    return workers;
  }

 private:
  /// Number of workers that are compared for one reservation.
  static constexpr size_t kMaxWorkers = 16;

  const Cluster& m_cluster;
  uint32_t m_rotation = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_PLACEMENT_EVICTABLE_WORKER_SEARCH_H_
