#include "source/agent/throttle_policy.h"

#include <algorithm>

namespace fulmarrock {
namespace {

constexpr double kMinShare = 5;
constexpr double kMaxShare = 100;

// A cut takes effect on later requests only, so that one violation is not
// answered by several cuts before its effect can be measured.
constexpr Millis kCutInterval{250};
constexpr double kMaxCut = 0.5;
constexpr double kMinCut = 0.8;

// Ratio of p99 to objective below which the share may rise. The gap up to 1 is
// the hysteresis.
constexpr double kReleaseRatio = 0.85;
constexpr Millis kReleaseAfter{1'000};
constexpr Millis kRaiseInterval{500};

// Steps in percent, smaller near the share that was too much the last time.
constexpr double kFastRaise = 4;
constexpr double kSlowRaise = 1;
constexpr double kNearViolation = 0.9;

// Part of the distance by which the remembered violation recedes per raise, so
// that a service whose load has fallen is probed again.
constexpr double kForget = 0.05;

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
  m_has_sample = true;
  m_last_measured = sample.measured_at;
  m_last_fresh = now;
  if (sample.objective <= Millis(0)) {
    m_share = kMaxShare;
    return;
  }
  const double ratio = static_cast<double>(sample.p99.count()) /
                       static_cast<double>(sample.objective.count());
  if (ratio > 1) {
    m_is_below = false;
    // A window that ended before the last cut shows the state before it.
    if (sample.measured_at < m_last_cut + kCutInterval)
      return;
    m_share_at_violation = m_share;
    m_share =
        std::max(m_share * std::clamp(1 / ratio, kMaxCut, kMinCut), kMinShare);
    m_last_cut = now;
    return;
  }
  if (ratio > kReleaseRatio || sample.request_count < kMinRequests) {
    m_is_below = false;
    return;
  }
  if (!m_is_below) {
    m_is_below = true;
    m_below_since = now;
  }
  if (now - m_below_since < kReleaseAfter ||
      now - m_last_raise < kRaiseInterval)
    return;
  const bool is_near = m_share >= m_share_at_violation * kNearViolation;
  m_share = std::min(m_share + (is_near ? kSlowRaise : kFastRaise), kMaxShare);
  m_share_at_violation += (kMaxShare - m_share_at_violation) * kForget;
  m_last_raise = now;
}

void MultiplicativeThrottle::OnSilence() {
  m_is_below = false;
  m_share = std::min(m_share, kCautiousShare);
}

}  // namespace fulmarrock
