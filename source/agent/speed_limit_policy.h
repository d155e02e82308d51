#ifndef SOURCE_AGENT_SPEED_LIMIT_POLICY_H_
#define SOURCE_AGENT_SPEED_LIMIT_POLICY_H_

#include <cstdint>

#include "source/base/millis.h"

namespace fulmarrock {

/// Tail latency of the latency-critical tasks on a worker, at one moment.
struct TailLatency {
  /// The worst tail latency in percent of its target; negative when there is
  /// no measurement.
  int64_t worst_percent_of_target = -1;
};

/// Decides the speed limit of the best-effort tasks on a worker.
class SpeedLimitPolicy {
 public:
  virtual ~SpeedLimitPolicy() = default;

  /// Takes a new measurement and the current speed limit. Returns the new speed
  /// limit, in percent of full speed.
  virtual int64_t Update(const TailLatency& latency,
                         int64_t speed_limit_percent,
                         Millis now) = 0;
};

/// Baseline: best-effort tasks always run at full speed.
class NoSpeedLimit : public SpeedLimitPolicy {
 public:
  int64_t Update(const TailLatency&, int64_t, Millis) override { return 100; }
};

/// Lowers the speed limit by a factor as soon as a latency exceeds its target,
/// to zero when it exceeds it by far, and raises the limit in steps while the
/// latency is clearly below. Measurements cover the last half second, so that a
/// change is followed by a pause until new measurements show its effect.
class LatencyGuidedSpeedLimit : public SpeedLimitPolicy {
 public:
  int64_t Update(const TailLatency& latency,
                 int64_t speed_limit_percent,
                 Millis now) override;

 private:
  Millis m_next_decrease;
  Millis m_next_increase;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_SPEED_LIMIT_POLICY_H_
