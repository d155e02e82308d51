#include "source/placement/usage_estimator.h"

#include <algorithm>
#include <cmath>

namespace fulmarrock {
namespace {

// Run time assumed for a task that declares none.
constexpr Millis kDefaultRuntime = Millis::FromSeconds(60);

// The size estimate follows the declaration until this many measurements exist.
constexpr int64_t kMinUsageSamples = 3;

// Fraction of the difference by which each lower measurement decays a peak.
constexpr double kPeakDecay = 0.02;

// Minimum weight of a new sample in the mean run time, in which the declared
// run time counts as one sample.
constexpr double kMinRuntimeWeight = 0.1;

// Estimates are rounded up to steps of about an eighth, so that the sizes of
// pending tasks change rarely.
int64_t RoundUp(double value) {
  if (value <= 0)
    return 0;
  const double step = std::exp2(std::floor(std::log2(value)) - 3);
  return static_cast<int64_t>(std::ceil(value / step) * step);
}

double UpdatePeak(double peak, double sample) {
  return sample >= peak ? sample : peak + (sample - peak) * kPeakDecay;
}

}  // namespace

Millis DeclaredEstimator::EstimateRuntime(WorkloadKey, Millis declared) const {
  return declared > Millis(0) ? declared : kDefaultRuntime;
}

bool MeasuredEstimator::RecordUsage(WorkloadKey workload,
                                    int64_t cpu_millicores,
                                    int64_t memory_mib) {
  Record& record = m_records.Get(workload);
  ++record.usage_samples;
  record.cpu_millicores =
      UpdatePeak(record.cpu_millicores, static_cast<double>(cpu_millicores));
  record.memory_mib =
      UpdatePeak(record.memory_mib, static_cast<double>(memory_mib));
  if (record.usage_samples < kMinUsageSamples)
    return false;
  const int64_t cpu =
      std::min(RoundUp(record.cpu_millicores), Resources::kMaxAmount);
  const int64_t memory =
      std::min(RoundUp(record.memory_mib), Resources::kMaxAmount);
  if (cpu == record.cpu_estimate && memory == record.memory_estimate)
    return false;
  record.cpu_estimate = cpu;
  record.memory_estimate = memory;
  return true;
}

void MeasuredEstimator::RecordRuntime(WorkloadKey workload,
                                      Millis declared,
                                      Millis runtime) {
  Record& record = m_records.Get(workload);
  if (record.runtime_samples == 0) {
    record.runtime_ms = static_cast<double>(
        declared > Millis(0) ? declared.count() : runtime.count());
  }
  ++record.runtime_samples;
  const double weight = std::max(
      1.0 / static_cast<double>(record.runtime_samples + 1), kMinRuntimeWeight);
  record.runtime_ms +=
      (static_cast<double>(runtime.count()) - record.runtime_ms) * weight;
}

Resources MeasuredEstimator::EstimateSize(WorkloadKey workload,
                                          const Resources& declared) const {
  const Record* record = m_records.Find(workload);
  if (!record)
    return declared;
  return {std::max(declared.cpu_millicores, record->cpu_estimate),
          std::max(declared.memory_mib, record->memory_estimate),
          declared.accelerators};
}

Millis MeasuredEstimator::EstimateRuntime(WorkloadKey workload,
                                          Millis declared) const {
  const Record* record = m_records.Find(workload);
  if (record && record->runtime_samples > 0)
    return Millis(static_cast<int64_t>(record->runtime_ms));
  return declared > Millis(0) ? declared : kDefaultRuntime;
}

}  // namespace fulmarrock
