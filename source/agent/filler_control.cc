#include "source/agent/filler_control.h"

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

void FillerControl::Reset() {
  m_images.clear();
  m_serving.clear();
  m_over_target_since = Millis(0);
}

void FillerControl::SetSlopes(std::span<const PressureSlope> slopes) {
  for (const PressureSlope& slope : slopes)
    m_slopes[slope.filler_image][slope.serving_image] = slope.growth_per_core;
}

void FillerControl::Update(std::span<const ServingFigure> serving,
                           std::span<const FillerUse> uses,
                           Millis now) {
  m_serving.assign(serving.begin(), serving.end());
  SmoothCpuUse(uses, now);
  const int64_t emergency = EmergencySpeedLimit(now);
  for (auto it = m_images.begin(); it != m_images.end();) {
    ImageState& image = it->second;
    if (now - image.last_seen_at > kImageRetention) {
      it = m_images.erase(it);
      continue;
    }
    const int64_t limit = image.policy->Update(
        WorstAffectedLatency(it->first, image), image.percent, now);
    image.percent = std::min(limit, emergency);
    ++it;
  }
}

void FillerControl::SmoothCpuUse(std::span<const FillerUse> uses, Millis now) {
  std::map<std::string, int64_t> totals;
  for (const FillerUse& use : uses)
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

int64_t FillerControl::EmergencySpeedLimit(Millis now) {
  int64_t worst = 0;
  for (const ServingFigure& figure : m_serving)
    worst = std::max(worst, figure.latency_percent);
  if (worst <= kLatencyTargetPercent) {
    m_over_target_since = Millis(0);
    return 100;
  }
  if (m_over_target_since == Millis(0))
    m_over_target_since = now;
  return now - m_over_target_since >= kStopAllAfter ? 0 : 100;
}

std::optional<double> FillerControl::Contribution(
    const std::string& filler,
    const ImageState& state,
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

TailLatency FillerControl::WorstAffectedLatency(const std::string& image,
                                                const ImageState& state) const {
  TailLatency latency;
  for (const ServingFigure& figure : m_serving) {
    const std::optional<double> caused =
        Contribution(image, state, figure.image);
    const bool is_major_contributor =
        !caused || *caused >= LargestContribution(figure.image) *
                                  kMajorContributorPercent / 100;
    if (is_major_contributor) {
      latency.worst_percent_of_target =
          std::max(latency.worst_percent_of_target, figure.latency_percent);
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
