#ifndef SOURCE_PLACEMENT_USAGE_ESTIMATOR_H_
#define SOURCE_PLACEMENT_USAGE_ESTIMATOR_H_

#include "source/base/millis.h"
#include "source/base/resources.h"
#include "source/placement/bounded_map.h"
#include "source/placement/workload_key.h"

namespace fulmarrock {

/// Estimates the resource usage and the run time of tasks by workload.
/// `declared` is the value from the job specification: the requested resources
/// or the expected run time.
class UsageEstimator {
 public:
  virtual ~UsageEstimator() = default;

  /// Records the measured usage of one task. Returns whether the size estimate
  /// of the workload has changed.
  virtual bool RecordUsage(WorkloadKey workload,
                           int64_t cpu_millicores,
                           int64_t memory_mib) = 0;

  /// Records the run time of a completed task.
  virtual void RecordRuntime(WorkloadKey workload,
                             Millis declared,
                             Millis runtime) = 0;

  /// Returns the size to allocate to a new task, at least the declared one.
  virtual Resources EstimateSize(WorkloadKey workload,
                                 const Resources& declared) const = 0;

  /// Returns the expected run time of one task.
  virtual Millis EstimateRuntime(WorkloadKey workload,
                                 Millis declared) const = 0;
};

/// Baseline: returns the declared values.
class DeclaredEstimator : public UsageEstimator {
 public:
  bool RecordUsage(WorkloadKey, int64_t, int64_t) override { return false; }
  void RecordRuntime(WorkloadKey, Millis, Millis) override {}
  Resources EstimateSize(WorkloadKey,
                         const Resources& declared) const override {
    return declared;
  }
  Millis EstimateRuntime(WorkloadKey, Millis declared) const override;
};

/// Corrects the declared values by measurements of earlier tasks of the
/// workload.
class MeasuredEstimator : public UsageEstimator {
 public:
  bool RecordUsage(WorkloadKey workload,
                   int64_t cpu_millicores,
                   int64_t memory_mib) override;
  void RecordRuntime(WorkloadKey workload,
                     Millis declared,
                     Millis runtime) override;
  Resources EstimateSize(WorkloadKey workload,
                         const Resources& declared) const override;
  Millis EstimateRuntime(WorkloadKey workload, Millis declared) const override;

 private:
  struct Record {
    int64_t usage_samples = 0;
    // Slowly decaying peaks of the measurements.
    double cpu_millicores = 0;
    double memory_mib = 0;
    // The peaks rounded up, as used in estimates.
    int64_t cpu_estimate = 0;
    int64_t memory_estimate = 0;
    int64_t runtime_samples = 0;
    double runtime_ms = 0;
  };

  // 20,000 records take about 2 MB; a deployment runs 54,000 jobs a day, most
  // of them under a shared workload name.
  BoundedMap<WorkloadKey, Record> m_records{20'000};
};

}  // namespace fulmarrock

#endif  // SOURCE_PLACEMENT_USAGE_ESTIMATOR_H_
