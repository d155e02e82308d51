#ifndef SOURCE_PLACEMENT_FAILURE_ATTRIBUTION_H_
#define SOURCE_PLACEMENT_FAILURE_ATTRIBUTION_H_

#include <map>
#include <set>
#include <vector>

#include "source/base/ids.h"
#include "source/base/millis.h"
#include "source/placement/free_capacity_index.h"

namespace fulmarrock {

/// Attributes failed attempts to the worker or to the job.
class FailureAttribution {
 public:
  virtual ~FailureAttribution() = default;

  /// Records the result of an attempt.
  virtual void RecordFailure(WorkerIndex worker, JobId job, Millis now) = 0;
  virtual void RecordSuccess(WorkerIndex worker, JobId job) = 0;

  /// Returns workers whose quarantine began or ended since the last call.
  virtual std::vector<WorkerIndex> TakeChanges() = 0;

  virtual bool IsQuarantined(WorkerIndex worker) const = 0;
  virtual bool IsJobAtFault(JobId job) const = 0;

  /// Whether the job has failed on this worker and had no success on any worker
  /// since.
  virtual bool HasFailed(WorkerIndex worker, JobId job) const = 0;

  /// Returns the quarantined workers on which one task may now run as a probe.
  virtual std::vector<WorkerIndex> DueProbes(Millis now) const = 0;

  /// Records that a probe started. No other one is due until it ends or the
  /// maximum probe delay has passed.
  virtual void OnProbeStarted(WorkerIndex worker, Millis now) = 0;

  /// Removes the records of a worker that was removed.
  virtual void RemoveWorkerRecord(WorkerIndex worker) = 0;
};

/// Baseline: attributes failures to nobody.
class NoFailureAttribution : public FailureAttribution {
 public:
  void RecordFailure(WorkerIndex, JobId, Millis) override {}
  void RecordSuccess(WorkerIndex, JobId) override {}
  std::vector<WorkerIndex> TakeChanges() override { return {}; }
  bool IsQuarantined(WorkerIndex) const override { return false; }
  bool IsJobAtFault(JobId) const override { return false; }
  bool HasFailed(WorkerIndex, JobId) const override { return false; }
  std::vector<WorkerIndex> DueProbes(Millis) const override { return {}; }
  void OnProbeStarted(WorkerIndex, Millis) override {}
  void RemoveWorkerRecord(WorkerIndex) override {}
};

/// Attributes failures to a worker on which many distinct jobs fail, or to a
/// job that fails on many distinct workers. A success clears the records of
/// both.
class DistinctFailureAttribution : public FailureAttribution {
 public:
  void RecordFailure(WorkerIndex worker, JobId job, Millis now) override;
  void RecordSuccess(WorkerIndex worker, JobId job) override;
  std::vector<WorkerIndex> TakeChanges() override;
  bool IsQuarantined(WorkerIndex worker) const override;
  bool IsJobAtFault(JobId job) const override;
  bool HasFailed(WorkerIndex worker, JobId job) const override;
  std::vector<WorkerIndex> DueProbes(Millis now) const override;
  void OnProbeStarted(WorkerIndex worker, Millis now) override;
  void RemoveWorkerRecord(WorkerIndex worker) override;

 private:
  struct WorkerRecord {
    std::set<JobId> failing_jobs;
    bool is_quarantined = false;
    Millis next_probe;
    Millis probe_delay;
  };
  struct JobRecord {
    std::set<WorkerIndex> failing_workers;
    Millis last_failure;
  };

  void AttributeToJob(JobId job, const JobRecord& record);
  void EndQuarantine(WorkerIndex worker, WorkerRecord& record);
  void DropOldestJob();

  std::map<WorkerIndex, WorkerRecord> m_workers;
  std::set<WorkerIndex> m_quarantined;
  // Only jobs that have failed and had no success since.
  std::map<JobId, JobRecord> m_jobs;
  std::vector<WorkerIndex> m_changes;
};

}  // namespace fulmarrock

#endif  // SOURCE_PLACEMENT_FAILURE_ATTRIBUTION_H_
