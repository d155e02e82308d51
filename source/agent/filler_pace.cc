#include "source/agent/filler_pace.h"

#include <algorithm>

namespace fulmarrock {
namespace {

/// Latency, in percent of the target, from which fillers are slowed down.
constexpr int64_t kHighPercent = 85;
/// Latency, in percent of the target, below which they are sped up.
constexpr int64_t kLowPercent = 65;

constexpr int64_t kStepUpPercent = 10;
constexpr Millis kDecreaseInterval{500};
constexpr Millis kIncreaseInterval{700};
/// Pause before the first increase after a decrease.
constexpr Millis kRecoveryPause{1'500};

}  // namespace

int64_t LatencyGuidedPace::Update(const ServingLatency& latency, Millis now) {
  if (latency.worst_percent < 0) {
    m_percent = 100;
    return m_percent;
  }
  if (latency.worst_percent > kHighPercent) {
    if (now < m_next_decrease)
      return m_percent;
    // Far above the target nothing but a stop brings the latency down in time.
    const bool is_far_above = latency.worst_percent > 130;
    m_percent = is_far_above ? 0 : m_percent * 6 / 10;
    m_next_decrease = now + kDecreaseInterval;
    m_next_increase = now + kRecoveryPause;
    return m_percent;
  }
  if (latency.worst_percent < kLowPercent && m_percent < 100 &&
      now >= m_next_increase) {
    m_percent = std::min<int64_t>(100, m_percent + kStepUpPercent);
    m_next_increase = now + kIncreaseInterval;
  }
  return m_percent;
}

}  // namespace fulmarrock
