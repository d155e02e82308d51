#include "source/agent/speed_limit_policy.h"

#include <algorithm>

namespace fulmarrock {
namespace {

/// Latency, in percent of the target, from which fillers are slowed down.
constexpr int64_t kHighPercent = 100;
/// Latency, in percent of the target, below which they are sped up.
constexpr int64_t kLowPercent = 85;

/// Latency, in percent of the target, from which nothing but a stop of the
/// fillers brings it down in time.
constexpr int64_t kStopPercent = 180;
/// Share that is left after a decrease, in percent of the share before.
constexpr int64_t kDecreasePercent = 60;
constexpr int64_t kStepUpPercent = 34;
constexpr Millis kDecreaseInterval{500};
constexpr Millis kIncreaseInterval{400};
/// Pause before the first increase after a decrease.
constexpr Millis kRecoveryPause{700};

}  // namespace

int64_t LatencyGuidedSpeedLimit::Update(const ServingLatency& latency,
                                        int64_t percent,
                                        Millis now) {
  if (latency.worst_percent < 0)
    return 100;
  if (latency.worst_percent > kHighPercent) {
    if (now < m_next_decrease)
      return percent;
    m_next_decrease = now + kDecreaseInterval;
    m_next_increase = now + kRecoveryPause;
    return latency.worst_percent > kStopPercent
               ? 0
               : percent * kDecreasePercent / 100;
  }
  if (latency.worst_percent < kLowPercent && percent < 100 &&
      now >= m_next_increase) {
    m_next_increase = now + kIncreaseInterval;
    return std::min<int64_t>(100, percent + kStepUpPercent);
  }
  return percent;
}

}  // namespace fulmarrock
