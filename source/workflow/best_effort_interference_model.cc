#include "source/workflow/best_effort_interference_model.h"

#include <algorithm>
#include <cmath>

namespace fulmarrock {
namespace {

/// Latency of a latency-critical task, in percent of its objective, that is
/// assumed before the first sample.
constexpr double kPriorBasePercent = 45;
/// Growth per core that is assumed for a pair without samples.
constexpr double kPriorGrowth = 0.12;
constexpr double kPriorBaseVariance = 0.2;
constexpr double kPriorGrowthVariance = 0.05;

/// Variance of one sample around the model, because the load of a
/// latency-critical task varies.
constexpr double kSampleVariance = 0.15;

/// Variance that the coefficients gain with each sample.
constexpr double kBaseDrift = 0.0005;
constexpr double kGrowthDrift = 0.00004;

/// Variance of a coefficient below which it counts as known.
constexpr double kKnownVariance = 0.006;

/// Variance of a coefficient that an earlier leader learned.
constexpr double kRestoredVariance = 0.004;

constexpr size_t kMaxLatencyCriticalImages = 256;
constexpr double kMinLatencyPercent = 5;
constexpr double kMaxLatencyPercent = 1'000;
constexpr double kMillicores = 1'000;

/// Mean logarithm of the latencies of each image. The loads of one image's
/// tasks on one worker vary together, so that they count as one sample.
std::map<std::string_view, double> MeanLogs(
    std::span<const LatencyCriticalSample> latency_critical_samples) {
  std::map<std::string_view, double> sums;
  std::map<std::string_view, int> counts;
  for (const LatencyCriticalSample& sample : latency_critical_samples) {
    const double percent =
        std::clamp(static_cast<double>(sample.latency_percent),
                   kMinLatencyPercent, kMaxLatencyPercent);
    sums[sample.image] += std::log(percent);
    ++counts[sample.image];
  }
  for (auto& [image, sum] : sums)
    sum /= counts[image];
  return sums;
}

}  // namespace

void ExponentialInterferenceModel::Record(
    std::span<const LatencyCriticalSample> latency_critical_samples,
    std::span<const BestEffortSample> best_effort_samples) {
  if (latency_critical_samples.empty())
    return;
  std::vector<double> inputs(1 + m_indices.size(), 0.0);
  inputs[0] = 1;
  for (const BestEffortSample& best_effort : best_effort_samples) {
    const size_t index = IndexOf(best_effort.image);
    if (index == 0)
      continue;
    if (index >= inputs.size())
      inputs.resize(index + 1, 0.0);
    inputs[index] +=
        static_cast<double>(best_effort.cpu_millicores) / kMillicores;
  }
  for (const auto& [image, log_latency] : MeanLogs(latency_critical_samples)) {
    const bool is_full = m_estimates.size() >= kMaxLatencyCriticalImages &&
                         !m_estimates.contains(image);
    if (is_full)
      continue;
    Estimate& estimate = m_estimates[std::string(image)];
    Grow(estimate, inputs.size());
    Update(estimate, inputs, log_latency);
  }
}

void ExponentialInterferenceModel::Grow(Estimate& estimate, size_t size) {
  const size_t old_size = estimate.mean.size();
  if (size <= old_size)
    return;
  estimate.mean.resize(size, kPriorGrowth);
  if (old_size == 0)
    estimate.mean[0] = std::log(kPriorBasePercent);
  for (std::vector<double>& row : estimate.covariance)
    row.resize(size, 0.0);
  for (size_t i = old_size; i < size; ++i) {
    std::vector<double>& row =
        estimate.covariance.emplace_back(std::vector<double>(size, 0.0));
    row[i] = i == 0 ? kPriorBaseVariance : kPriorGrowthVariance;
  }
}

void ExponentialInterferenceModel::Update(Estimate& estimate,
                                          const std::vector<double>& inputs,
                                          double log_latency) {
  const size_t size = inputs.size();
  std::vector<double> gain(size, 0.0);
  double expected = 0;
  double variance = kSampleVariance;
  for (size_t i = 0; i < size; ++i) {
    for (size_t j = 0; j < size; ++j)
      gain[i] += estimate.covariance[i][j] * inputs[j];
    expected += estimate.mean[i] * inputs[i];
    variance += gain[i] * inputs[i];
  }
  const double error = log_latency - expected;
  for (size_t i = 0; i < size; ++i)
    estimate.mean[i] += gain[i] / variance * error;
  for (size_t i = 1; i < size; ++i)
    estimate.mean[i] = std::max(estimate.mean[i], 0.0);
  for (size_t i = 0; i < size; ++i) {
    for (size_t j = 0; j < size; ++j)
      estimate.covariance[i][j] -= gain[i] * gain[j] / variance;
    estimate.covariance[i][i] += i == 0 ? kBaseDrift : kGrowthDrift;
  }
}

size_t ExponentialInterferenceModel::IndexOf(
    std::string_view best_effort_image) {
  const auto it = m_indices.find(best_effort_image);
  if (it != m_indices.end())
    return it->second;
  if (m_indices.size() >= kMaxBestEffortImages)
    return 0;
  return m_indices.emplace(best_effort_image, m_indices.size() + 1)
      .first->second;
}

std::optional<size_t> ExponentialInterferenceModel::FindIndex(
    std::string_view best_effort_image) const {
  const auto it = m_indices.find(best_effort_image);
  if (it == m_indices.end())
    return std::nullopt;
  return it->second;
}

InterferenceEstimate ExponentialInterferenceModel::EstimateInterference(
    std::string_view latency_critical_image,
    std::string_view best_effort_image) const {
  const auto estimate = m_estimates.find(latency_critical_image);
  const std::optional<size_t> index = FindIndex(best_effort_image);
  if (estimate == m_estimates.end() || !index ||
      *index >= estimate->second.mean.size()) {
    return {kPriorGrowth, false};
  }
  return {estimate->second.mean[*index],
          estimate->second.covariance[*index][*index] < kKnownVariance};
}

double ExponentialInterferenceModel::BaselineLatency(
    std::string_view latency_critical_image) const {
  const auto it = m_estimates.find(latency_critical_image);
  return it == m_estimates.end() ? kPriorBasePercent
                                 : std::exp(it->second.mean[0]);
}

BestEffortImageSet ExponentialInterferenceModel::ImagesBelow(
    std::string_view latency_critical_image,
    double max_growth_per_core) const {
  BestEffortImageSet images;
  const auto estimate = m_estimates.find(latency_critical_image);
  for (size_t index = 1; index <= m_indices.size(); ++index) {
    const bool has_samples =
        estimate != m_estimates.end() && index < estimate->second.mean.size();
    const double growth =
        has_samples ? estimate->second.mean[index] : kPriorGrowth;
    images.set(index - 1, growth < max_growth_per_core);
  }
  return images;
}

std::vector<InterferenceCoefficient>
ExponentialInterferenceModel::KnownCoefficients() const {
  std::vector<InterferenceCoefficient> interference_coefficients;
  for (const auto& [latency_critical, estimate] : m_estimates) {
    for (const auto& [best_effort, index] : m_indices) {
      const InterferenceEstimate interference =
          EstimateInterference(latency_critical, best_effort);
      if (interference.is_known)
        interference_coefficients.push_back(
            {latency_critical, best_effort, interference.growth_per_core});
    }
  }
  return interference_coefficients;
}

void ExponentialInterferenceModel::Restore(
    std::span<const InterferenceCoefficient> interference_coefficients) {
  m_indices.clear();
  m_estimates.clear();
  for (const InterferenceCoefficient& coefficient : interference_coefficients) {
    const size_t index = IndexOf(coefficient.best_effort_image);
    if (index == 0)
      continue;
    Estimate& estimate = m_estimates[coefficient.latency_critical_image];
    Grow(estimate, index + 1);
    estimate.mean[index] = coefficient.growth_per_core;
    estimate.covariance[index][index] = kRestoredVariance;
  }
}

}  // namespace fulmarrock
