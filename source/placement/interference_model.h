#ifndef SOURCE_PLACEMENT_INTERFERENCE_MODEL_H_
#define SOURCE_PLACEMENT_INTERFERENCE_MODEL_H_

#include <cstdint>
#include <span>

#include "source/base/millis.h"
#include "source/placement/bounded_map.h"
#include "source/placement/workload_key.h"

namespace fulmarrock {

/// Learns how much the tasks of one workload slow a service or kernel down.
class InterferenceModel {
 public:
  virtual ~InterferenceModel() = default;

  /// Takes one measurement: the ratio of the service's p99 to its objective
  /// while these workloads ran beside it. Each workload is named once.
  virtual void Record(WorkloadKey service,
                      std::span<const WorkloadKey> neighbours,
                      double latency_ratio,
                      Millis now) = 0;

  /// Returns the expected growth of the logarithm of the service's latency
  /// caused by the neighbour; zero when nothing is known.
  virtual double Disturbance(WorkloadKey service,
                             WorkloadKey neighbour,
                             Millis now) const = 0;

  /// Whether anything at all is known to disturb the service.
  virtual bool HasRecords(WorkloadKey service) const = 0;
};

/// Baseline: every pair is harmless.
class NoInterferenceModel : public InterferenceModel {
 public:
  void Record(WorkloadKey,
              std::span<const WorkloadKey>,
              double,
              Millis) override {}
  double Disturbance(WorkloadKey, WorkloadKey, Millis) const override {
    return 0;
  }
  bool HasRecords(WorkloadKey) const override { return false; }
};

/// Compares a service's measurements with and without each neighbour. Old
/// measurements lose weight, and a pair counts only with enough of them.
class PairwiseInterferenceModel : public InterferenceModel {
 public:
  void Record(WorkloadKey service,
              std::span<const WorkloadKey> neighbours,
              double latency_ratio,
              Millis now) override;
  double Disturbance(WorkloadKey service,
                     WorkloadKey neighbour,
                     Millis now) const override;
  bool HasRecords(WorkloadKey service) const override {
    return m_services.Find(service) != nullptr;
  }

 private:
  /// A mean whose samples lose weight over time.
  struct DecayingSum {
    double weight = 0;
    double sum = 0;
    Millis updated;

    DecayingSum At(Millis now) const;
    void Add(double value, Millis now);
  };
  using PairKey = uint64_t;

  static PairKey KeyOf(WorkloadKey service, WorkloadKey neighbour) {
    return service * 0x9E3779B97F4A7C15u ^ neighbour;
  }

  BoundedMap<WorkloadKey, DecayingSum> m_services{5'000};
  BoundedMap<PairKey, DecayingSum> m_pairs{50'000};
};

}  // namespace fulmarrock

#endif  // SOURCE_PLACEMENT_INTERFERENCE_MODEL_H_
