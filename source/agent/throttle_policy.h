#ifndef SOURCE_AGENT_THROTTLE_POLICY_H_
#define SOURCE_AGENT_THROTTLE_POLICY_H_

#include <optional>

#include "source/agent/latency_probe.h"
#include "source/base/millis.h"

namespace fulmarrock {

/// Decides which CPU share the batch tasks of an instance get, in percent of
/// their processors.
class ThrottlePolicy {
 public:
  virtual ~ThrottlePolicy() = default;

  /// Takes the newest measurement, which may be missing, outdated or the same
  /// as before, and returns the share in percent from 1 to 100.
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

/// Reduces the share by a factor when the p99 exceeds the objective, at once if
/// it exceeds it by far, and raises the share slowly while the smoothed p99 is
/// clearly below. Without recent measurements the share falls to a fallback
/// value.
class MultiplicativeThrottle : public ThrottlePolicy {
 public:
  int Update(const std::optional<LatencySample>& sample, Millis now) override;

 private:
  void OnSample(const LatencySample& sample, Millis now);
  void OnMissingMeasurements();
  /// Returns the logarithm of the ratio of the p99 to the objective, estimated
  /// from the p90 if that is known.
  double EstimateExcess(const LatencySample& sample, double elapsed_ms);

  double m_share = 100;
  // Share at which the objective was last exceeded; the share is raised more
  // slowly near it.
  double m_share_at_violation = 100;
  // Smoothed natural logarithm of the ratio of the p99 to the objective.
  double m_excess = 0;
  // Long-term mean of the logarithm of the ratio of the p99 to the p90.
  double m_tail = 0;
  double m_tail_weight = 0;
  Millis m_last_measured;
  Millis m_last_cut;
  Millis m_last_fresh;
  bool m_has_sample = false;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_THROTTLE_POLICY_H_
