#ifndef SOURCE_PLACEMENT_INTERFERENCE_MODEL_H_
#define SOURCE_PLACEMENT_INTERFERENCE_MODEL_H_

#include <cstdint>
#include <span>

#include "source/base/millis.h"
#include "source/placement/bounded_map.h"
#include "source/placement/workload_key.h"

namespace fulmarrock {

/// Learns how much the tasks of one workload slow down a service or kernel that
/// runs on the same worker.
class InterferenceModel {
 public:
  virtual ~InterferenceModel() = default;

  /// Records one measurement: the ratio of the service's p99 latency to its
  /// objective while these workloads ran on the same worker. Each workload is
  /// named once.
  virtual void Record(WorkloadKey service,
                      std::span<const WorkloadKey> colocated_workloads,
                      double latency_ratio,
                      Millis now) = 0;

  /// Returns the expected increase of the natural logarithm of the service's
  /// p99 latency caused by the colocated workload; zero when nothing is known.
  virtual double Interference(WorkloadKey service,
                              WorkloadKey colocated,
                              Millis now) const = 0;

  /// Whether any measurement of the service was recorded.
  virtual bool HasRecords(WorkloadKey service) const = 0;
};

/// Baseline: no workload interferes with any other.
class NoInterferenceModel : public InterferenceModel {
 public:
  void Record(WorkloadKey,
              std::span<const WorkloadKey>,
              double,
              Millis) override {}
  double Interference(WorkloadKey, WorkloadKey, Millis) const override {
    return 0;
  }
  bool HasRecords(WorkloadKey) const override { return false; }
};

/// Compares the mean of a service's measurements with each colocated workload
/// to the mean of those without it. The weight of measurements decays, and a
/// pair counts only with enough of them.
class PairwiseInterferenceModel : public InterferenceModel {
 public:
  void Record(WorkloadKey service,
              std::span<const WorkloadKey> colocated_workloads,
              double latency_ratio,
              Millis now) override;
  double Interference(WorkloadKey service,
                      WorkloadKey colocated,
                      Millis now) const override;
  bool HasRecords(WorkloadKey service) const override {
    return m_services.Find(service) != nullptr;
  }

 private:
  /// Sum of measurements whose weight decays exponentially over time.
  struct DecayingSum {
    double weight = 0;
    double sum = 0;
    Millis updated;

    DecayingSum At(Millis now) const;
    void Add(double value, Millis now);
  };
  using PairKey = uint64_t;

  static PairKey KeyOf(WorkloadKey service, WorkloadKey colocated) {
    return service * 0x9E3779B97F4A7C15u ^ colocated;
  }

  BoundedMap<WorkloadKey, DecayingSum> m_services{5'000};
  BoundedMap<PairKey, DecayingSum> m_pairs{50'000};
};

}  // namespace fulmarrock

#endif  // SOURCE_PLACEMENT_INTERFERENCE_MODEL_H_
