#include "source/agent/best_effort_controller.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fulmarrock {
namespace {

/// Time constant with which latencies react to a change of the CPU use.
constexpr double kSmoothingMs = 600;

constexpr double kMillicores = 1'000;

/// An image that causes at least this part of the largest contribution to a
/// latency, in percent, is limited as soon as the latency is too high.
constexpr double kMajorContributorPercent = 80;

constexpr int64_t kLatencyTargetPercent = 100;
/// A latency that has been over its target for this long is not explained by
/// the known coefficients, and all best-effort tasks are stopped. A latency
/// takes up to two seconds to come down after the limits were lowered.
constexpr Millis kStopAllAfter{2'200};

/// The state of an image without runs is removed after this time; a new run of
/// it starts at full speed.
constexpr Millis kImageRetention{4'000};

}  // namespace

void BestEffortController::Reset() {
  m_images.clear();
  m_latency_critical_samples.clear();
  m_over_target_since = Millis(0);
}

void BestEffortController::SetInterferenceCoefficients(
    std::span<const InterferenceCoefficient> interference_coefficients) {
  for (const InterferenceCoefficient& coefficient : interference_coefficients)
    m_interference_coefficients[coefficient.best_effort_image]
                               [coefficient.latency_critical_image] =
                                   coefficient.growth_per_core;
}

void BestEffortController::Update(
    std::span<const LatencyCriticalSample> latency_critical_samples,
    std::span<const ImageCpuUse> cpu_uses,
    Millis now) {
  m_latency_critical_samples.assign(latency_critical_samples.begin(),
                                    latency_critical_samples.end());
  SmoothCpuUse(cpu_uses, now);
  const int64_t emergency = EmergencySpeedLimit(now);
  for (auto it = m_images.begin(); it != m_images.end();) {
    ImageState& image = it->second;
    if (now - image.last_seen_at > kImageRetention) {
      it = m_images.erase(it);
      continue;
    }
    const int64_t limit = image.policy->Update(
        WorstAffectedLatency(it->first, image), image.speed_limit_percent, now);
    image.speed_limit_percent = std::min(limit, emergency);
    ++it;
  }
}

void BestEffortController::SmoothCpuUse(std::span<const ImageCpuUse> cpu_uses,
                                        Millis now) {
  std::map<std::string, int64_t> totals;
  for (const ImageCpuUse& use : cpu_uses)
    totals[use.image] += std::max<int64_t>(use.cpu_millicores, 0);
  for (const auto& [name, cpu] : totals) {
    ImageState& image = m_images[name];
    if (!image.policy)
      image.policy = m_make_policy();
    image.last_seen_at = now;
  }
  const double elapsed = static_cast<double>((now - m_updated_at).count());
  m_updated_at = now;
  const double weight = 1.0 - std::exp(-elapsed / kSmoothingMs);
  for (auto& [name, image] : m_images) {
    const auto total = totals.find(name);
    const double cpu =
        total == totals.end() ? 0.0 : static_cast<double>(total->second);
    image.smoothed_cpu += weight * (cpu - image.smoothed_cpu);
  }
}

int64_t BestEffortController::EmergencySpeedLimit(Millis now) {
  int64_t worst = 0;
  for (const LatencyCriticalSample& sample : m_latency_critical_samples)
    worst = std::max(worst, sample.latency_percent);
  if (worst <= kLatencyTargetPercent) {
    m_over_target_since = Millis(0);
    return 100;
  }
  if (m_over_target_since == Millis(0))
    m_over_target_since = now;
  return now - m_over_target_since >= kStopAllAfter ? 0 : 100;
}

std::optional<double> BestEffortController::Contribution(
    const std::string& best_effort,
    const ImageState& state,
    const std::string& latency_critical) const {
  const auto interference_coefficients =
      m_interference_coefficients.find(best_effort);
  if (interference_coefficients == m_interference_coefficients.end())
    return std::nullopt;
  const auto coefficient =
      interference_coefficients->second.find(latency_critical);
  if (coefficient == interference_coefficients->second.end())
    return std::nullopt;
  return coefficient->second * state.smoothed_cpu / kMillicores;
}

double BestEffortController::LargestContribution(
    const std::string& latency_critical) const {
  double largest = 0;
  for (const auto& [best_effort, state] : m_images) {
    largest = std::max(
        largest,
        Contribution(best_effort, state, latency_critical).value_or(0.0));
  }
  return largest;
}

TailLatency BestEffortController::WorstAffectedLatency(
    const std::string& image,
    const ImageState& state) const {
  TailLatency latency;
  for (const LatencyCriticalSample& sample : m_latency_critical_samples) {
    const std::optional<double> caused =
        Contribution(image, state, sample.image);
    const bool is_major_contributor =
        !caused || *caused >= LargestContribution(sample.image) *
                                  kMajorContributorPercent / 100;
    if (is_major_contributor) {
      latency.worst_percent_of_target =
          std::max(latency.worst_percent_of_target, sample.latency_percent);
    }
  }
  return latency;
}

int64_t BestEffortController::SpeedLimitOf(std::string_view image) const {
  const auto it = m_images.find(image);
  return it == m_images.end() ? 100 : it->second.speed_limit_percent;
}

std::vector<BestEffortSample> BestEffortController::BestEffortSamples() const {
  std::vector<BestEffortSample> samples;
  for (const auto& [name, image] : m_images) {
    samples.push_back({name, static_cast<int64_t>(image.smoothed_cpu),
                       image.speed_limit_percent});
  }
  return samples;
}

}  // namespace fulmarrock
