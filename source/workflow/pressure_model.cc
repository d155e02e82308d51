#include "source/workflow/pressure_model.h"

#include <algorithm>

namespace fulmarrock {
namespace {

/// Expectations before anything is measured: a task that serves is at half its
/// target by itself, and an unknown filler disturbs it a little.
constexpr double kPriorBase = 45;
constexpr double kPriorSlope = 4;
constexpr double kPriorBaseVariance = 400;
constexpr double kPriorSlopeVariance = 225;

/// Variance of one figure around the model: the load of a serving task swings.
constexpr double kFigureVariance = 500;

/// Variance that the coefficients gain with each figure.
constexpr double kBaseDrift = 0.5;
constexpr double kSlopeDrift = 0.02;

/// Variance of a slope below which it is relied on.
constexpr double kKnownVariance = 25;

constexpr size_t kMaxFillerImages = 32;
constexpr size_t kMaxServingImages = 256;
constexpr double kMaxLatencyPercent = 400;
constexpr double kMillicores = 1'000;

}  // namespace

void LinearPressureModel::Record(std::span<const ServingFigure> serving,
                                 std::span<const FillerFigure> fillers) {
  if (serving.empty())
    return;
  std::vector<double> inputs(1 + m_indices.size(), 0.0);
  inputs[0] = 1;
  for (const FillerFigure& filler : fillers) {
    const size_t index = IndexOf(filler.image);
    if (index == 0)
      continue;
    if (index >= inputs.size())
      inputs.resize(index + 1, 0.0);
    inputs[index] += static_cast<double>(filler.cpu_millicores) / kMillicores;
  }
  for (const ServingFigure& figure : serving) {
    const bool is_full = m_estimates.size() >= kMaxServingImages &&
                         !m_estimates.contains(figure.image);
    if (is_full)
      continue;
    Estimate& estimate = m_estimates[figure.image];
    Grow(estimate, inputs.size());
    Update(estimate, inputs,
           std::min(static_cast<double>(figure.latency_percent),
                    kMaxLatencyPercent));
  }
}

void LinearPressureModel::Grow(Estimate& estimate, size_t size) {
  const size_t old_size = estimate.mean.size();
  if (size <= old_size)
    return;
  estimate.mean.resize(size, kPriorSlope);
  if (old_size == 0)
    estimate.mean[0] = kPriorBase;
  for (std::vector<double>& row : estimate.covariance)
    row.resize(size, 0.0);
  for (size_t i = old_size; i < size; ++i) {
    std::vector<double>& row =
        estimate.covariance.emplace_back(std::vector<double>(size, 0.0));
    row[i] = i == 0 ? kPriorBaseVariance : kPriorSlopeVariance;
  }
}

void LinearPressureModel::Update(Estimate& estimate,
                                 const std::vector<double>& inputs,
                                 double latency_percent) {
  const size_t size = inputs.size();
  std::vector<double> gain(size, 0.0);
  double expected = 0;
  double variance = kFigureVariance;
  for (size_t i = 0; i < size; ++i) {
    for (size_t j = 0; j < size; ++j)
      gain[i] += estimate.covariance[i][j] * inputs[j];
    expected += estimate.mean[i] * inputs[i];
    variance += gain[i] * inputs[i];
  }
  const double error = latency_percent - expected;
  for (size_t i = 0; i < size; ++i)
    estimate.mean[i] += gain[i] / variance * error;
  for (size_t i = 0; i < size; ++i) {
    for (size_t j = 0; j < size; ++j)
      estimate.covariance[i][j] -= gain[i] * gain[j] / variance;
    estimate.covariance[i][i] += i == 0 ? kBaseDrift : kSlopeDrift;
  }
}

size_t LinearPressureModel::IndexOf(std::string_view filler_image) {
  const auto it = m_indices.find(filler_image);
  if (it != m_indices.end())
    return it->second;
  if (m_indices.size() >= kMaxFillerImages)
    return 0;
  return m_indices.emplace(filler_image, m_indices.size() + 1).first->second;
}

std::optional<size_t> LinearPressureModel::FindIndex(
    std::string_view filler_image) const {
  const auto it = m_indices.find(filler_image);
  if (it == m_indices.end())
    return std::nullopt;
  return it->second;
}

Pressure LinearPressureModel::Expect(std::string_view serving_image,
                                     std::string_view filler_image) const {
  const auto estimate = m_estimates.find(serving_image);
  const std::optional<size_t> index = FindIndex(filler_image);
  if (estimate == m_estimates.end() || !index ||
      *index >= estimate->second.mean.size()) {
    return {kPriorSlope, false};
  }
  return {std::max(estimate->second.mean[*index], 0.0),
          estimate->second.covariance[*index][*index] < kKnownVariance};
}

double LinearPressureModel::BaseOf(std::string_view serving_image) const {
  const auto it = m_estimates.find(serving_image);
  return it == m_estimates.end() ? kPriorBase : it->second.mean[0];
}

std::vector<PressureSlope> LinearPressureModel::KnownSlopes() const {
  std::vector<PressureSlope> slopes;
  for (const auto& [serving, estimate] : m_estimates) {
    for (const auto& [filler, index] : m_indices) {
      const Pressure pressure = Expect(serving, filler);
      if (pressure.is_known)
        slopes.push_back({serving, filler, pressure.percent_per_core});
    }
  }
  return slopes;
}

void LinearPressureModel::Clear() {
  m_indices.clear();
  m_estimates.clear();
}

}  // namespace fulmarrock
