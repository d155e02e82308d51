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

/// Latency, in percent of the target, that expected shares aim at.
constexpr double kAimedPercent = 82;

/// Largest growth of a share from one look to the next, in percent.
constexpr int64_t kStepUpPercent = 25;

constexpr int64_t kTargetPercent = 100;
/// A latency that has been over its target for this long is not explained by
/// what is known of the images, and all fillers stop. It takes up to two
/// seconds to come down again.
constexpr Millis kStopAllAfter{2'200};

/// Shares are left alone while the wanted change is this small, in percent.
constexpr int64_t kDeadBandPercent = 4;

constexpr Millis kRaiseInterval{300};

/// An image that was not seen for this long starts again at full speed.
constexpr Millis kForgetAfter{4'000};

/// Processor use that is expected of fillers before they were seen.
constexpr int64_t kUnknownCpu = 1'000;

}  // namespace

void FillerControl::Reset() {
  m_images.clear();
  m_serving.clear();
  m_over_since = Millis(0);
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
  const int64_t emergency = EmergencyShare(now);
  for (auto it = m_images.begin(); it != m_images.end();) {
    if (now - it->second.seen_at > kForgetAfter) {
      it = m_images.erase(it);
      continue;
    }
    Image& image = it->second;
    image.percent = std::min(ChoosePercent(it->first, image, now), emergency);
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

int64_t FillerControl::ChoosePercent(const std::string& name,
                                     Image& image,
                                     Millis now) {
  const std::optional<int64_t> expected = ExpectedShare(name, image);
  const int64_t guided = image.policy->Update(LatencyFor(name, image), now);
  if (!expected)
    return guided;
  // The policy reacts to latencies alone. It goes first only while it slows
  // down, which shows that the expectation is too high.
  const int64_t limit = guided < image.percent ? guided : 100;
  const int64_t wanted = std::min(*expected, std::max(limit, int64_t{0}));
  if (wanted < image.percent - kDeadBandPercent || wanted == 0)
    return wanted;
  // Latencies follow with a delay; a share is raised only after the last change
  // has shown its effect.
  if (wanted <= image.percent + kDeadBandPercent ||
      now - image.raised_at < kRaiseInterval) {
    return image.percent;
  }
  image.raised_at = now;
  return std::min(wanted, image.percent + kStepUpPercent);
}

std::optional<double> FillerControl::SlopeOf(const std::string& filler,
                                             const std::string& serving) const {
  const auto slopes = m_slopes.find(filler);
  if (slopes == m_slopes.end())
    return std::nullopt;
  const auto slope = slopes->second.find(serving);
  if (slope == slopes->second.end())
    return std::nullopt;
  return slope->second;
}

ServingLatency FillerControl::LatencyFor(const std::string& image,
                                         const Image& state) const {
  ServingLatency latency;
  const double cores =
      static_cast<double>(std::max(state.full_cpu, kUnknownCpu)) / 1'000;
  for (const ServingFigure& figure : m_serving) {
    const std::optional<double> slope = SlopeOf(image, figure.image);
    if (!slope || *slope * cores >= kNegligiblePercent)
      latency.worst_percent =
          std::max(latency.worst_percent, figure.latency_percent);
  }
  return latency;
}

std::optional<int64_t> FillerControl::ExpectedShare(const std::string& image,
                                                    const Image& state) const {
  double share = 100;
  const double cores =
      static_cast<double>(std::max(state.full_cpu, kUnknownCpu)) / 1'000;
  for (const ServingFigure& figure : m_serving) {
    const std::optional<double> own = SlopeOf(image, figure.image);
    if (!own)
      return std::nullopt;
    if (*own * cores < kNegligiblePercent)
      continue;
    double now = 0;
    double at_full_speed = 0;
    for (const auto& [name, other] : m_images) {
      const double slope = SlopeOf(name, figure.image).value_or(0.0);
      now += slope * other.smoothed_cpu / 1'000;
      at_full_speed += slope * static_cast<double>(other.full_cpu) / 1'000;
    }
    const double base = static_cast<double>(figure.latency_percent) - now;
    const double room = std::max(kAimedPercent - base, 0.0);
    share = std::min(share, 100 * room / std::max(at_full_speed, 1.0));
  }
  return static_cast<int64_t>(share);
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
