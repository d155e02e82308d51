#include "source/agent/speed_limit_policy.h"

#include <algorithm>

namespace fulmarrock {
namespace {

/// Latency, in percent of the target, above which the speed limit is lowered.
constexpr int64_t kDecreaseAbovePercent = 100;
/// Latency, in percent of the target, below which the speed limit is raised.
constexpr int64_t kIncreaseBelowPercent = 85;

/// Latency, in percent of the target, above which only a stop of the
/// best-effort tasks brings it down in time.
constexpr int64_t kStopAbovePercent = 180;
/// Speed limit after a decrease, in percent of the limit before.
constexpr int64_t kDecreasePercent = 60;
constexpr int64_t kIncreaseStepPercent = 34;
constexpr Millis kDecreaseInterval{500};
constexpr Millis kIncreaseInterval{400};
/// Delay of the first increase after a decrease.
constexpr Millis kIncreaseDelayAfterDecrease{700};

}  // namespace

int64_t LatencyGuidedSpeedLimit::Update(const TailLatency& latency,
                                        int64_t speed_limit_percent,
                                        Millis now) {
  if (latency.worst_percent_of_target < 0)
    return 100;
  if (latency.worst_percent_of_target > kDecreaseAbovePercent) {
    if (now < m_next_decrease)
      return speed_limit_percent;
    m_next_decrease = now + kDecreaseInterval;
    m_next_increase = now + kIncreaseDelayAfterDecrease;
    return latency.worst_percent_of_target > kStopAbovePercent
               ? 0
               : speed_limit_percent * kDecreasePercent / 100;
  }
  if (latency.worst_percent_of_target < kIncreaseBelowPercent &&
      speed_limit_percent < 100 && now >= m_next_increase) {
    m_next_increase = now + kIncreaseInterval;
    return std::min<int64_t>(100, speed_limit_percent + kIncreaseStepPercent);
  }
  return speed_limit_percent;
}

}  // namespace fulmarrock
