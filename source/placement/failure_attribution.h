#ifndef SOURCE_PLACEMENT_FAILURE_ATTRIBUTION_H_
#define SOURCE_PLACEMENT_FAILURE_ATTRIBUTION_H_

#include <map>
#include <set>
#include <vector>

#include "source/base/ids.h"
#include "source/base/millis.h"
#include "source/placement/free_index.h"

namespace fulmarrock {

/// Decides whether failed attempts are the fault of the worker or of the job.
class FailureAttribution {
 public:
  virtual ~FailureAttribution() = default;

  /// Takes the result of an attempt.
  virtual void RecordFailure(WorkerIndex worker, JobId job, Millis now) = 0;
  virtual void RecordSuccess(WorkerIndex worker, JobId job) = 0;

  /// Returns workers whose quarantine began or ended since the last call.
  virtual std::vector<WorkerIndex> TakeChanges() = 0;

  virtual bool IsQuarantined(WorkerIndex worker) const = 0;
  virtual bool IsJobBlamed(JobId job) const = 0;

  /// Whether the job has failed on this worker and not completed since.
  virtual bool HasFailed(WorkerIndex worker, JobId job) const = 0;

  /// Returns quarantined workers that may run one task as a probe now.
  virtual std::vector<WorkerIndex> DueProbes(Millis now) const = 0;

  /// Tells that a probe started; none is due until it is resolved or lost.
  virtual void OnProbeStarted(WorkerIndex worker, Millis now) = 0;

  /// Forgets a worker that was removed.
  virtual void ForgetWorker(WorkerIndex worker) = 0;
};

/// Baseline: blames nobody.
class NoFailureAttribution : public FailureAttribution {
 public:
  void RecordFailure(WorkerIndex, JobId, Millis) override {}
  void RecordSuccess(WorkerIndex, JobId) override {}
  std::vector<WorkerIndex> TakeChanges() override { return {}; }
  bool IsQuarantined(WorkerIndex) const override { return false; }
  bool IsJobBlamed(JobId) const override { return false; }
  bool HasFailed(WorkerIndex, JobId) const override { return false; }
  std::vector<WorkerIndex> DueProbes(Millis) const override { return {}; }
  void OnProbeStarted(WorkerIndex, Millis) override {}
  void ForgetWorker(WorkerIndex) override {}
};

/// Counts distinct jobs that fail on a worker and distinct workers on which a
/// job fails. Success clears the counts.
class DistinctFailureAttribution : public FailureAttribution {
 public:
  void RecordFailure(WorkerIndex worker, JobId job, Millis now) override;
  void RecordSuccess(WorkerIndex worker, JobId job) override;
  std::vector<WorkerIndex> TakeChanges() override;
  bool IsQuarantined(WorkerIndex worker) const override;
  bool IsJobBlamed(JobId job) const override;
  bool HasFailed(WorkerIndex worker, JobId job) const override;
  std::vector<WorkerIndex> DueProbes(Millis now) const override;
  void OnProbeStarted(WorkerIndex worker, Millis now) override;
  void ForgetWorker(WorkerIndex worker) override;

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

  void Blame(JobId job, const JobRecord& record);
  void EndQuarantine(WorkerIndex worker, WorkerRecord& record);
  void DropOldestJob();

  std::map<WorkerIndex, WorkerRecord> m_workers;
  std::set<WorkerIndex> m_quarantined;
  // Only jobs that have failed and not completed since.
  std::map<JobId, JobRecord> m_jobs;
  std::vector<WorkerIndex> m_changes;
};

}  // namespace fulmarrock

#endif  // SOURCE_PLACEMENT_FAILURE_ATTRIBUTION_H_
