#include "source/agent/filler_control.h"

#include <algorithm>
#include <cmath>

namespace fulmarrock {
namespace {

/// Latencies follow the use of processors with about this time constant.
constexpr double kSmoothingMs = 600;

/// Fillers whose full speed would add less than this to a latency, in percent
/// of its target, are not slowed down for it.
constexpr double kNegligiblePercent = 6;

/// An image that was not seen for this long starts again at full speed.
constexpr Millis kForgetAfter{4'000};

/// Processor use that is expected of fillers before they were seen.
constexpr int64_t kUnknownCpu = 1'000;

}  // namespace

void FillerControl::Reset() {
  m_images.clear();
  m_serving.clear();
}

void FillerControl::SetSlopes(std::span<const PressureSlope> slopes) {
  for (const PressureSlope& slope : slopes)
    m_slopes[slope.filler_image][slope.serving_image] = slope.percent_per_core;
}

void FillerControl::Update(std::span<const ServingFigure> serving,
                           std::span<const FillerUse> uses,
                           Millis now) {
  m_serving.assign(serving.begin(), serving.end());
  Smooth(uses, now);
  for (auto it = m_images.begin(); it != m_images.end();) {
    if (now - it->second.seen_at > kForgetAfter) {
      it = m_images.erase(it);
      continue;
    }
    Image& image = it->second;
    image.percent = image.policy->Update(LatencyFor(it->first, image), now);
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
    if (image.percent == 100 || cpu > image.full_cpu)
      image.full_cpu = cpu;
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

ServingLatency FillerControl::LatencyFor(const std::string& image,
                                         const Image& state) const {
  ServingLatency latency;
  const auto slopes = m_slopes.find(image);
  const double cores =
      static_cast<double>(std::max(state.full_cpu, kUnknownCpu)) / 1'000;
  for (const ServingFigure& figure : m_serving) {
    bool is_disturbed = true;
    if (slopes != m_slopes.end()) {
      const auto slope = slopes->second.find(figure.image);
      is_disturbed = slope == slopes->second.end() ||
                     slope->second * cores >= kNegligiblePercent;
    }
    if (is_disturbed)
      latency.worst_percent =
          std::max(latency.worst_percent, figure.latency_percent);
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
