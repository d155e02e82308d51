#ifndef SOURCE_PLACEMENT_USAGE_RECORDER_H_
#define SOURCE_PLACEMENT_USAGE_RECORDER_H_

#include <set>

#include "source/placement/cluster.h"
#include "source/placement/overload_tracker.h"
#include "source/placement/pending_queue.h"
#include "source/placement/scheduler.h"
#include "source/placement/scheduler_policies.h"

namespace fulmarrock {

/// Evaluates the usage reports of the workers: adjusts the allocations of the
/// running tasks, and records what the policies learn from.
class UsageRecorder {
 public:
  /// All references outlive the recorder.
  UsageRecorder(const SchedulerPolicies& policies,
                Cluster& cluster,
                PendingQueue& queue,
                OverloadTracker& overloads)
      : m_policies(policies),
        m_cluster(cluster),
        m_queue(queue),
        m_overloads(overloads) {}

  /// Evaluates the report of a worker.
  void Record(WorkerIndex worker, const UsageReport& report, Millis now);

  /// Returns the workloads whose size estimate changed since the last call.
  std::set<WorkloadKey> TakeChangedWorkloads();

 private:
  void RecordTaskUsage(WorkerIndex worker, const TaskUsage& usage);
  /// Services and colocated tasks are named in the report by their workload.
  void RecordServiceLatencies(WorkerIndex worker,
                              const UsageReport& report,
                              Millis now);

  const SchedulerPolicies& m_policies;
  Cluster& m_cluster;
  PendingQueue& m_queue;
  OverloadTracker& m_overloads;
  std::set<WorkloadKey> m_changed_workloads;
};

}  // namespace fulmarrock

#endif  // SOURCE_PLACEMENT_USAGE_RECORDER_H_
