#ifndef SOURCE_PLACEMENT_PACKING_PLACEMENT_H_
#define SOURCE_PLACEMENT_PACKING_PLACEMENT_H_

#include <optional>
#include <vector>

#include "source/placement/failure_attribution.h"
#include "source/placement/interference_model.h"
#include "source/placement/placement_policy.h"

namespace fulmarrock {

/// Takes a bounded number of candidates from the free-capacity indexes and
/// selects the one with the lowest score. The score prefers little remaining
/// capacity, keeps accelerators for tasks that need them, spreads the tasks of
/// a job or workload over racks and data centres, and avoids interference
/// between workloads.
class PackingPlacement : public PlacementPolicy {
 public:
  /// Both references outlive the policy.
  PackingPlacement(const InterferenceModel& interference,
                   const FailureAttribution& failures)
      : m_interference(interference), m_failures(failures) {}

  std::optional<WorkerIndex> Choose(const Cluster& cluster,
                                    const PlacementRequest& request) override;

 private:
  void CollectCandidates(const Cluster& cluster,
                         const PlacementRequest& request);
  double PackingScore(const Worker& worker, const Resources& need) const;
  double InterferenceScore(const Worker& worker,
                           const PlacementRequest& request) const;

  const InterferenceModel& m_interference;
  const FailureAttribution& m_failures;
  uint32_t m_rotation = 0;
  // A member to avoid a memory allocation per placement.
  std::vector<WorkerIndex> m_candidates;
};

}  // namespace fulmarrock

#endif  // SOURCE_PLACEMENT_PACKING_PLACEMENT_H_
