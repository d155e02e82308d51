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

void FillerControl::Reset() {
  m_images.clear();
  m_serving.clear();
  m_over_since = Millis(0);
}

void FillerControl::SetSlopes(std::span<const PressureSlope> slopes) {
  for (const PressureSlope& slope : slopes)
    m_slopes[slope.filler_image][slope.serving_image] = slope.growth_per_core;
}

void FillerControl::Update(std::span<const ServingFigure> serving,
                           std::span<const FillerUse> uses,
                           Millis now) {
  m_serving.assign(serving.begin(), serving.end());
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

void FillerControl::Smooth(std::span<const FillerUse> uses, Millis now) {
  std::map<std::string, int64_t> totals;
  for (const FillerUse& use : uses)
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

int64_t FillerControl::EmergencyShare(Millis now) {
  int64_t worst = 0;
  for (const ServingFigure& figure : m_serving)
    worst = std::max(worst, figure.latency_percent);
  if (worst <= kTargetPercent) {
    m_over_since = Millis(0);
    return 100;
  }
  if (m_over_since == Millis(0))
    m_over_since = now;
  return now - m_over_since >= kStopAllAfter ? 0 : 100;
}

std::optional<double> FillerControl::Contribution(
    const std::string& filler,
    const Image& state,
    const std::string& serving) const {
  const auto slopes = m_slopes.find(filler);
  if (slopes == m_slopes.end())
    return std::nullopt;
  const auto slope = slopes->second.find(serving);
  if (slope == slopes->second.end())
    return std::nullopt;
  return slope->second * state.smoothed_cpu / kMillicores;
}

double FillerControl::LargestContribution(const std::string& serving) const {
  double largest = 0;
  for (const auto& [filler, state] : m_images) {
    largest =
        std::max(largest, Contribution(filler, state, serving).value_or(0.0));
  }
  return largest;
}

ServingLatency FillerControl::LatencyFor(const std::string& image,
                                         const Image& state) const {
  ServingLatency latency;
  for (const ServingFigure& figure : m_serving) {
    const std::optional<double> caused =
        Contribution(image, state, figure.image);
    const bool is_culprit =
        !caused ||
        *caused >= LargestContribution(figure.image) * kCulpritPercent / 100;
    if (is_culprit) {
      latency.worst_percent =
          std::max(latency.worst_percent, figure.latency_percent);
    }
  }
  return latency;
}

int64_t FillerControl::PercentOf(std::string_view image) const {
  const auto it = m_images.find(image);
  return it == m_images.end() ? 100 : it->second.percent;
}

std::vector<FillerFigure> FillerControl::Figures() const {
  std::vector<FillerFigure> figures;
  for (const auto& [name, image] : m_images) {
    figures.push_back(
        {name, static_cast<int64_t>(image.smoothed_cpu), image.percent});
  }
  return figures;
}

}  // namespace fulmarrock
