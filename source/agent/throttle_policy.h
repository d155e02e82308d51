#ifndef SOURCE_AGENT_THROTTLE_POLICY_H_
#define SOURCE_AGENT_THROTTLE_POLICY_H_

#include <optional>

#include "source/agent/latency_probe.h"
#include "source/base/millis.h"

namespace fulmarrock {

/// Decides which share of their processors the batch tasks of an instance get.
class ThrottlePolicy {
 public:
  virtual ~ThrottlePolicy() = default;

  /// Takes the newest measurement, which may be missing, late or already known,
  /// and returns the share in percent from 1 to 100.
  virtual int Update(const std::optional<LatencySample>& sample,
                     Millis now) = 0;
};

/// Baseline: batch tasks always run at full speed.
class NoThrottle : public ThrottlePolicy {
 public:
  int Update(const std::optional<LatencySample>&, Millis) override {
    return 100;
  }
};

/// Cuts the share by a factor when the p99 exceeds the objective, and raises it
/// in small steps once the p99 has stayed clearly below for a while. Without
/// fresh measurements the share falls to a cautious level and stays there.
class MultiplicativeThrottle : public ThrottlePolicy {
 public:
  int Update(const std::optional<LatencySample>& sample, Millis now) override;

 private:
  void OnSample(const LatencySample& sample, Millis now);
  void OnSilence();

  double m_share = 100;
  // Share at which the objective was last exceeded; it is approached slowly.
  double m_share_at_violation = 100;
  Millis m_last_measured;
  Millis m_last_cut;
  Millis m_last_raise;
  Millis m_below_since;
  Millis m_last_fresh;
  bool m_has_sample = false;
  bool m_is_below = false;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_THROTTLE_POLICY_H_
