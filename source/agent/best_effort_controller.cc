#include "source/agent/best_effort_controller.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fulmarrock {
namespace {

/// Latencies follow the use of processors with about this time constant.
constexpr double kSmoothingMs = 600;

constexpr double kMillicores = 1'000;

/// Fillers that cause at least this part of the largest contribution to a
/// latency answer for it from the start, in percent.
constexpr double kCulpritPercent = 80;

constexpr int64_t kTargetPercent = 100;
/// A latency that has been over its target for this long is not explained by
/// what is known of the images, and all fillers stop. It takes up to two
/// seconds to come down again.
constexpr Millis kStopAllAfter{2'200};

/// An image that was not seen for this long starts again at full speed.
constexpr Millis kForgetAfter{4'000};

}  // namespace

void BestEffortController::Reset() {
  m_images.clear();
  m_latency_critical_samples.clear();
  m_over_since = Millis(0);
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
    std::span<const ImageCpuUse> uses,
    Millis now) {
  m_latency_critical_samples.assign(latency_critical_samples.begin(),
                                    latency_critical_samples.end());
  Smooth(uses, now);
  const int64_t emergency = EmergencyShare(now);
  for (auto it = m_images.begin(); it != m_images.end();) {
    Image& image = it->second;
    if (now - image.seen_at > kForgetAfter) {
      it = m_images.erase(it);
      continue;
    }
    const int64_t share =
        image.policy->Update(LatencyFor(it->first, image), image.percent, now);
    image.percent = std::min(share, emergency);
    ++it;
  }
}

void BestEffortController::Smooth(std::span<const ImageCpuUse> uses,
                                  Millis now) {
  std::map<std::string, int64_t> totals;
  for (const ImageCpuUse& use : uses)
    totals[use.image] += std::max<int64_t>(use.cpu_millicores, 0);
  for (const auto& [name, cpu] : totals) {
    Image& image = m_images[name];
    if (!image.policy)
      image.policy = m_make_policy();
    image.seen_at = now;
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

int64_t BestEffortController::EmergencyShare(Millis now) {
  int64_t worst = 0;
  for (const LatencyCriticalSample& sample : m_latency_critical_samples)
    worst = std::max(worst, sample.latency_percent);
  if (worst <= kTargetPercent) {
    m_over_since = Millis(0);
    return 100;
  }
  if (m_over_since == Millis(0))
    m_over_since = now;
  return now - m_over_since >= kStopAllAfter ? 0 : 100;
}

std::optional<double> BestEffortController::Contribution(
    const std::string& filler,
    const Image& state,
    const std::string& serving) const {
  const auto interference_coefficients =
      m_interference_coefficients.find(filler);
  if (interference_coefficients == m_interference_coefficients.end())
    return std::nullopt;
  const auto coefficient = interference_coefficients->second.find(serving);
  if (coefficient == interference_coefficients->second.end())
    return std::nullopt;
  return coefficient->second * state.smoothed_cpu / kMillicores;
}

double BestEffortController::LargestContribution(
    const std::string& serving) const {
  double largest = 0;
  for (const auto& [filler, state] : m_images) {
    largest =
        std::max(largest, Contribution(filler, state, serving).value_or(0.0));
  }
  return largest;
}

ServingLatency BestEffortController::LatencyFor(const std::string& image,
                                                const Image& state) const {
  ServingLatency latency;
  for (const LatencyCriticalSample& sample : m_latency_critical_samples) {
    const std::optional<double> caused =
        Contribution(image, state, sample.image);
    const bool is_culprit =
        !caused ||
        *caused >= LargestContribution(sample.image) * kCulpritPercent / 100;
    if (is_culprit) {
      latency.worst_percent =
          std::max(latency.worst_percent, sample.latency_percent);
    }
  }
  return latency;
}

int64_t BestEffortController::PercentOf(std::string_view image) const {
  const auto it = m_images.find(image);
  return it == m_images.end() ? 100 : it->second.percent;
}

std::vector<BestEffortSample> BestEffortController::Figures() const {
  std::vector<BestEffortSample> figures;
  for (const auto& [name, image] : m_images) {
    figures.push_back(
        {name, static_cast<int64_t>(image.smoothed_cpu), image.percent});
  }
  return figures;
}

}  // namespace fulmarrock
