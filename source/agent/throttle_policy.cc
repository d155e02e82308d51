#include "source/agent/throttle_policy.h"

#include <algorithm>
#include <cmath>

namespace fulmarrock {
namespace {

constexpr double kMinShare = 5;
constexpr double kMaxShare = 100;

// Logarithm of a ratio that is hardly chance and is answered at once.
constexpr double kSevereExcess = 0.3;
constexpr Millis kSevereInterval{1'000};
constexpr double kMaxCut = 0.5;

// The p99 of a thousand heavy-tailed latencies varies by chance by about a
// sixth, the p90 by about a twentieth. Estimates are smoothed over this time.
constexpr double kSmoothingMs = 1'000;

// Time over which the ratio of the p99 to the p90 is averaged.
constexpr double kTailMs = 60'000;

// Change of the logarithm of the share per second and per unit of the smoothed
// logarithm of the ratio.
constexpr double kCutGain = 0.6;

// The share rises below this smoothed logarithm; the gap up to 0 is the
// hysteresis.
constexpr double kReleaseBelow = -0.03;

// Growth of the share per second; slower near the share that was too much the
// last time.
constexpr double kFastRaise = 0.16;
constexpr double kSlowRaise = 0.04;
constexpr double kNearViolation = 0.9;

// Part of the distance by which the remembered violation recedes per second,
// so that a service whose load has fallen is probed again.
constexpr double kForget = 0.03;

// A measurement older than this says little about the present.
constexpr Millis kStaleAfter = Millis::FromSeconds(3);

// Share kept while measurements are missing. Full speed could hide a violation,
// and the minimum would stop batch work whenever a service is idle.
constexpr double kCautiousShare = 50;

// A p99 over fewer requests does not raise the share, but still cuts it.
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
    OnSilence();
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
    // A window that ended before the last cut shows the state before it.
    if (sample.measured_at >= m_last_cut + kSevereInterval) {
      m_share_at_violation = m_share;
      m_share =
          std::max(m_share * std::max(std::exp(-excess), kMaxCut), kMinShare);
      m_last_cut = now;
    }
    return;
  }
  const double seconds = elapsed_ms / 1'000;
  if (m_excess > 0) {
    m_share_at_violation = m_share;
    m_share =
        std::max(m_share * std::exp(-kCutGain * m_excess * seconds), kMinShare);
  } else if (m_excess < kReleaseBelow && sample.request_count >= kMinRequests) {
    const bool is_near = m_share >= m_share_at_violation * kNearViolation;
    m_share = std::min(
        m_share + (is_near ? kSlowRaise : kFastRaise) * m_share * seconds,
        kMaxShare);
    m_share_at_violation +=
        (kMaxShare - m_share_at_violation) * kForget * seconds;
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
  // Starts as a plain mean, so that the first samples count fully.
  const double weight = 1 - std::exp(-elapsed_ms / kTailMs);
  m_tail_weight += (1 - m_tail_weight) * weight;
  const double share = m_tail_weight <= 0 ? 1 : weight / m_tail_weight;
  m_tail += (std::log(p99 / p90) - m_tail) * share;
  return std::log(p90 / objective) + m_tail;
}

void MultiplicativeThrottle::OnSilence() {
  m_share = std::min(m_share, kCautiousShare);
}

}  // namespace fulmarrock
