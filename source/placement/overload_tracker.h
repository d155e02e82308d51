#ifndef SOURCE_PLACEMENT_OVERLOAD_TRACKER_H_
#define SOURCE_PLACEMENT_OVERLOAD_TRACKER_H_

#include <cstddef>
#include <map>
#include <vector>

#include "source/base/millis.h"
#include "source/base/resources.h"
#include "source/placement/free_capacity_index.h"

namespace fulmarrock {

/// Finds workers whose services stay above their latency objective although the
/// agent throttles the batch tasks there, and limits the rate of evictions.
class OverloadTracker {
 public:
  /// Records one report: the highest ratio of p99 to objective on the worker.
  void Record(WorkerIndex worker, double latency_ratio, Millis now);

  /// Returns the workers on which a batch task may be evicted now.
  std::vector<WorkerIndex> Due(Millis now) const;

  /// Records that a task of this size is being evicted. The caller reserves its
  /// capacity until Release() returns it.
  void OnEviction(WorkerIndex worker, const Resources& size, Millis now);

  /// Capacity that was reserved on a worker after evictions.
  struct ReleasedCapacity {
    WorkerIndex worker = 0;
    Resources size;
  };

  /// Returns the capacity whose reservation expires now: the worker has
  /// recovered, or the time limit is reached.
  std::vector<ReleasedCapacity> Release(Millis now);

  /// Removes a worker's record and returns the capacity reserved there.
  Resources RemoveWorkerRecord(WorkerIndex worker);

 private:
  struct WorkerRecord {
    Millis overloaded_since;
    Millis last_report;
    size_t overloaded_reports = 0;
    bool is_overloaded = false;
    Millis last_eviction;
    bool has_evicted = false;
    Resources reserved;
  };

  // Only workers that are overloaded or have capacity reserved.
  std::map<WorkerIndex, WorkerRecord> m_workers;
};

}  // namespace fulmarrock

#endif  // SOURCE_PLACEMENT_OVERLOAD_TRACKER_H_
