#ifndef SOURCE_PLACEMENT_OVERLOAD_TRACKER_H_
#define SOURCE_PLACEMENT_OVERLOAD_TRACKER_H_

#include <cstddef>
#include <map>
#include <vector>

#include "source/base/millis.h"
#include "source/base/resources.h"
#include "source/placement/free_index.h"

namespace fulmarrock {

/// Finds workers whose services stay above their objective although the agent
/// throttles the batch tasks there, and paces the evictions that follow.
class OverloadTracker {
 public:
  /// Takes one report: the worst ratio of p99 to objective on the worker.
  void Record(WorkerIndex worker, double latency_ratio, Millis now);

  /// Returns the workers that may lose a batch task now.
  std::vector<WorkerIndex> Due(Millis now) const;

  /// Tells that a task of this size is being evicted. The capacity is held back
  /// until Release() reports that the worker has recovered.
  void OnEviction(WorkerIndex worker, const Resources& size, Millis now);

  /// Capacity that is no longer held back on a worker.
  struct Hold {
    WorkerIndex worker = 0;
    Resources size;
  };

  /// Returns the holds that end now.
  std::vector<Hold> Release(Millis now);

  /// Forgets a worker and returns what was held back there.
  Resources ForgetWorker(WorkerIndex worker);

 private:
  struct WorkerRecord {
    Millis above_since;
    Millis last_report;
    size_t reports_above = 0;
    bool is_above = false;
    Millis last_eviction;
    bool has_evicted = false;
    Resources held;
  };

  // Only workers that are above their objective or hold capacity back.
  std::map<WorkerIndex, WorkerRecord> m_workers;
};

}  // namespace fulmarrock

#endif  // SOURCE_PLACEMENT_OVERLOAD_TRACKER_H_
