#ifndef SOURCE_AGENT_LATENCY_PROBE_H_
#define SOURCE_AGENT_LATENCY_PROBE_H_

#include <cstdint>
#include <optional>

#include "source/base/millis.h"

namespace fulmarrock {

/// Latency of the service on this instance over a recent window.
struct LatencySample {
  Millis p99;
  /// Objective for the p99; zero if the service has none.
  Millis objective;
  /// When the window ended, on the agent's clock.
  Millis measured_at;
  /// Requests in the window. A p99 over few requests is mostly noise.
  int64_t request_count = 0;
  /// Is less noisy than the p99, and changes with it when all requests slow
  /// down; zero if not measured.
  Millis p90;
};

/// Provides latency measurements of the service beside the agent.
class LatencyProbe {
 public:
  virtual ~LatencyProbe() = default;

  /// Returns the newest measurement, or nothing if there has been none. The
  /// same one may be returned repeatedly until a newer one exists.
  virtual std::optional<LatencySample> Read() const = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_LATENCY_PROBE_H_
