#ifndef SOURCE_AGENT_SPEED_LIMIT_POLICY_H_
#define SOURCE_AGENT_SPEED_LIMIT_POLICY_H_

#include <cstdint>

#include "source/base/millis.h"

namespace fulmarrock {

/// Latency of the tasks that serve on a worker, at one moment.
struct ServingLatency {
  /// The worst tail latency in percent of its target; negative when none of
  /// them has a figure.
  int64_t worst_percent = -1;
};

/// Decides at which share of full speed the fillers of a worker work.
class SpeedLimitPolicy {
 public:
  virtual ~SpeedLimitPolicy() = default;

  /// Takes a new figure and the share at which the fillers work. Returns the
  /// share at which they should work, in percent.
  virtual int64_t Update(const ServingLatency& latency,
                         int64_t percent,
                         Millis now) = 0;
};

/// Baseline: fillers always work at full speed.
class FullPace : public SpeedLimitPolicy {
 public:
  int64_t Update(const ServingLatency&, int64_t, Millis) override {
    return 100;
  }
};

/// Slows fillers down at once when a latency nears its target, by a factor that
/// grows with the excess, and speeds them up in small steps while there is
/// slack. Figures cover the last half second, so that after each change the
/// next figures are waited for.
class LatencyGuidedSpeedLimit : public SpeedLimitPolicy {
 public:
  int64_t Update(const ServingLatency& latency,
                 int64_t percent,
                 Millis now) override;

 private:
  Millis m_next_decrease;
  Millis m_next_increase;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_SPEED_LIMIT_POLICY_H_
