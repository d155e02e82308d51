#include "source/placement/packing_placement.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace fulmarrock {
namespace {

// Candidates per placement over all data centres, and the minimum from each
// data centre.
constexpr size_t kCandidates = 24;
constexpr size_t kMinPerDataCentre = 4;

// Weights of the parts of a score. The part for CPU and memory packing lies
// between 0 and 3.
constexpr double kAcceleratorWaste = 4;
constexpr double kInterferenceWeight = 20;
constexpr double kFailedOnWorker = 20;
constexpr double kSpreadLatencySensitive = 2;
constexpr double kSpreadBatch = 0.3;

// Upper bound of the difference in task counts that the spread score considers.
constexpr uint32_t kMaxSpreadDifference = 4;

double ShareOf(int64_t part, int64_t total) {
  return total <= 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(total);
}

double SpreadWeight(const JobSpec& spec) {
  if (spec.kind != TaskKind::kBatch)
    return kSpreadLatencySensitive;
  return spec.task_count > 1 ? kSpreadBatch : 0;
}

}  // namespace

std::optional<WorkerIndex> PackingPlacement::Choose(
    const Cluster& cluster,
    const PlacementRequest& request) {
  CollectCandidates(cluster, request);
  const uint64_t key =
      Cluster::SpreadKey(*request.spec, request.task.job, request.workload);
  const double spread_weight = SpreadWeight(*request.spec);
  uint32_t lowest_data_centre = ~uint32_t{0};
  uint32_t lowest_rack = ~uint32_t{0};
  if (spread_weight > 0) {
    for (const WorkerIndex index : m_candidates) {
      const Worker& worker = cluster.worker(index);
      lowest_data_centre =
          std::min(lowest_data_centre,
                   cluster.CountInDataCentre(key, worker.data_centre));
      lowest_rack =
          std::min(lowest_rack, cluster.CountInRack(key, worker.rack));
    }
  }

  std::optional<WorkerIndex> best;
  double best_score = 0;
  for (const WorkerIndex index : m_candidates) {
    const Worker& worker = cluster.worker(index);
    double score =
        PackingScore(worker, request.need) + InterferenceScore(worker, request);
    if (spread_weight > 0) {
      const uint32_t extra =
          cluster.CountInDataCentre(key, worker.data_centre) -
          lowest_data_centre + cluster.CountInRack(key, worker.rack) -
          lowest_rack;
      score += spread_weight * std::min(extra, kMaxSpreadDifference);
    }
    if (m_failures.HasFailed(index, request.task.job))
      score += kFailedOnWorker;
    if (!best || score < best_score) {
      best = index;
      best_score = score;
    }
  }
  return best;
}

void PackingPlacement::CollectCandidates(const Cluster& cluster,
                                         const PlacementRequest& request) {
  m_candidates.clear();
  if (!request.candidate_workers.empty()) {
    std::copy_if(request.candidate_workers.begin(),
                 request.candidate_workers.end(),
                 std::back_inserter(m_candidates), [&](WorkerIndex index) {
                   return HasCapacityFor(cluster.worker(index), request.need);
                 });
    return;
  }
  const uint32_t data_centres = cluster.data_centre_count();
  if (data_centres == 0)
    return;
  const size_t share = std::max(kCandidates / data_centres, kMinPerDataCentre);
  ++m_rotation;
  for (uint32_t i = 0; i < data_centres; ++i)
    cluster.free_capacity_index(i).Collect(request.need, share, m_rotation,
                                           m_candidates);
}

double PackingPlacement::PackingScore(const Worker& worker,
                                      const Resources& need) const {
  const Resources left = worker.UsableCapacity() - need;
  const Resources& capacity = worker.info.capacity;
  const double cpu = ShareOf(left.cpu_millicores, capacity.cpu_millicores);
  const double memory = ShareOf(left.memory_mib, capacity.memory_mib);
  // A remainder of only CPU or only memory is of no use to other tasks.
  double score = cpu + memory + std::abs(cpu - memory);
  if (left.accelerators > 0) {
    const double idle = ShareOf(left.accelerators, capacity.accelerators);
    score += need.accelerators > 0 ? idle : kAcceleratorWaste * idle;
  }
  return score;
}

double PackingPlacement::InterferenceScore(
    const Worker& worker,
    const PlacementRequest& request) const {
  double interference = 0;
  if (request.spec->kind == TaskKind::kBatch) {
    for (const auto& [service, count] : worker.latency_sensitive) {
      const double own =
          m_interference.Interference(service, request.workload, request.now);
      if (own <= 0)
        continue;
      // Interference adds up, so the next interfering task goes to the worker
      // with the least of it.
      double present = 1;
      for (const RunningTask* task : worker.tasks)
        present +=
            m_interference.Interference(service, task->workload, request.now);
      interference += own * present;
    }
  } else if (m_interference.HasRecords(request.workload)) {
    for (const RunningTask* task : worker.tasks)
      interference += m_interference.Interference(request.workload,
                                                  task->workload, request.now);
  }
  return kInterferenceWeight * interference;
}

}  // namespace fulmarrock
