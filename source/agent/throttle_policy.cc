#include "source/agent/throttle_policy.h"

#include <algorithm>
#include <cmath>

namespace fulmarrock {
namespace {

constexpr double kMinShare = 5;
constexpr double kMaxShare = 100;

// Logarithm of a ratio that is unlikely to be noise, so that the share is
// reduced at once.
constexpr double kSevereExcess = 0.3;
constexpr Millis kMinSevereCutInterval{500};
constexpr double kMaxCut = 0.5;

// Time constant of the smoothing. The p99 of a thousand heavy-tailed latencies
// has a random variation of about a sixth, the p90 of about a twentieth.
constexpr double kSmoothingMs = 1'000;

// Time constant with which the ratio of the p99 to the p90 is averaged.
constexpr double kTailMs = 60'000;

// Decrease of the logarithm of the share per second and per unit of the
// smoothed logarithm of the ratio.
constexpr double kCutGain = 0.9;

// Smoothed logarithms above which the share is reduced and below which it is
// raised; the interval between them is the hysteresis. The share is reduced a
// little before the objective is reached, because measurements are late.
constexpr double kCutAbove = -0.02;
constexpr double kRaiseBelow = -0.04;

// Relative increase of the share per second; slower near the share at which the
// objective was last exceeded.
constexpr double kFastRaise = 0.2;
constexpr double kSlowRaise = 0.06;
constexpr double kNearViolation = 0.9;

// The share at the last violation moves towards the maximum by this part of the
// difference per second, so that a higher share is tried again after the load
// of the service has fallen.
constexpr double kViolationDecay = 0.03;

// A measurement older than this is not used.
constexpr Millis kStaleAfter = Millis::FromSeconds(3);

// Upper bound of the share while measurements are missing. At full speed a
// violation could go unnoticed, and the minimum would stop batch work whenever
// a service is idle.
constexpr double kFallbackShare = 50;

// A p99 over fewer requests never raises the share, but may reduce it.
constexpr int64_t kMinRequests = 20;

}  // namespace

int MultiplicativeThrottle::Update(const std::optional<LatencySample>& sample,
                                   Millis now) {
  const bool is_fresh =
      sample && now - sample->measured_at <= kStaleAfter &&
      (!m_has_sample || sample->measured_at > m_last_measured);
  if (is_fresh) {
    OnSample(*sample, now);
  } else if (m_has_sample && now - m_last_fresh > kStaleAfter) {
    OnMissingMeasurements();
  }
  return static_cast<int>(m_share);
}

void MultiplicativeThrottle::OnSample(const LatencySample& sample, Millis now) {
  const Millis previous = m_has_sample ? m_last_fresh : now;
  m_has_sample = true;
  m_last_measured = sample.measured_at;
  m_last_fresh = now;
  if (sample.objective <= Millis(0)) {
    m_share = kMaxShare;
    return;
  }
  const double elapsed_ms = static_cast<double>(
      std::clamp(now - previous, Millis(0), kStaleAfter).count());
  const double excess = EstimateExcess(sample, elapsed_ms);
  m_excess += (excess - m_excess) * (1 - std::exp(-elapsed_ms / kSmoothingMs));
  if (excess >= kSevereExcess) {
    // A window that ended before the last reduction does not show its effect.
    if (sample.measured_at >= m_last_cut + kMinSevereCutInterval) {
      m_share_at_violation = m_share;
      m_share =
          std::max(m_share * std::max(std::exp(-excess), kMaxCut), kMinShare);
      m_last_cut = now;
    }
    return;
  }
  const double seconds = elapsed_ms / 1'000;
  if (m_excess > kCutAbove) {
    m_share_at_violation = m_share;
    m_share = std::max(
        m_share * std::exp(-kCutGain * (m_excess - kCutAbove) * seconds),
        kMinShare);
  } else if (m_excess < kRaiseBelow && sample.request_count >= kMinRequests) {
    const bool is_near = m_share >= m_share_at_violation * kNearViolation;
    m_share = std::min(
        m_share + (is_near ? kSlowRaise : kFastRaise) * m_share * seconds,
        kMaxShare);
    m_share_at_violation +=
        (kMaxShare - m_share_at_violation) * kViolationDecay * seconds;
  }
}

double MultiplicativeThrottle::EstimateExcess(const LatencySample& sample,
                                              double elapsed_ms) {
  const auto p99 =
      static_cast<double>(std::max<int64_t>(sample.p99.count(), 1));
  const auto objective = static_cast<double>(sample.objective.count());
  if (sample.p90 <= Millis(0))
    return std::log(p99 / objective);
  const auto p90 = static_cast<double>(sample.p90.count());
  // Starts as a plain mean, so that the first samples are not underweighted.
  const double weight = 1 - std::exp(-elapsed_ms / kTailMs);
  m_tail_weight += (1 - m_tail_weight) * weight;
  const double share = m_tail_weight <= 0 ? 1 : weight / m_tail_weight;
  m_tail += (std::log(p99 / p90) - m_tail) * share;
  return std::log(p90 / objective) + m_tail;
}

void MultiplicativeThrottle::OnMissingMeasurements() {
  m_share = std::min(m_share, kFallbackShare);
}

}  // namespace fulmarrock
