#include "source/placement/interference_model.h"

#include <algorithm>
#include <cmath>

namespace fulmarrock {
namespace {

// Half-life of the weight of a measurement. Workloads change within hours,
// while a service reports every few seconds.
constexpr Millis kHalfLife = Millis::FromSeconds(1800);

// A mean with less weight than this is not used.
constexpr double kMinWeight = 8;

// Latency ratios are clamped to these bounds, so that one outlier does not
// outweigh many measurements.
constexpr double kMinRatio = 0.05;
constexpr double kMaxRatio = 20;

}  // namespace

PairwiseInterferenceModel::DecayingSum
PairwiseInterferenceModel::DecayingSum::At(Millis now) const {
  if (now <= updated)
    return *this;
  const double factor =
      std::exp2(-static_cast<double>((now - updated).count()) /
                static_cast<double>(kHalfLife.count()));
  return {weight * factor, sum * factor, now};
}

void PairwiseInterferenceModel::DecayingSum::Add(double value, Millis now) {
  *this = At(now);
  weight += 1;
  sum += value;
}

void PairwiseInterferenceModel::Record(
    WorkloadKey service,
    std::span<const WorkloadKey> colocated_workloads,
    double latency_ratio,
    Millis now) {
  const double value =
      std::log(std::clamp(latency_ratio, kMinRatio, kMaxRatio));
  m_services.Get(service).Add(value, now);
  for (const WorkloadKey colocated : colocated_workloads)
    m_pairs.Get(KeyOf(service, colocated)).Add(value, now);
}

double PairwiseInterferenceModel::Interference(WorkloadKey service,
                                               WorkloadKey colocated,
                                               Millis now) const {
  const DecayingSum* pair = m_pairs.Find(KeyOf(service, colocated));
  if (!pair)
    return 0;
  const DecayingSum with = pair->At(now);
  if (with.weight < kMinWeight)
    return 0;
  const double mean_with = with.sum / with.weight;
  const DecayingSum* service_sum = m_services.Find(service);
  const DecayingSum all = service_sum ? service_sum->At(now) : DecayingSum();
  const double weight_without = all.weight - with.weight;
  // If the service has too few measurements without this workload, its latency
  // objective (ratio 1) is the reference.
  if (weight_without < kMinWeight)
    return std::max(mean_with, 0.0);
  const double mean_without = (all.sum - with.sum) / weight_without;
  return std::max(mean_with - mean_without, 0.0);
}

}  // namespace fulmarrock
