#ifndef SOURCE_DAEMON_SERVICE_LATENCY_PROBE_H_
#define SOURCE_DAEMON_SERVICE_LATENCY_PROBE_H_

#include <optional>

#include "source/agent/latency_probe.h"
#include "source/agent/request_server.h"
#include "source/base/clock.h"

namespace fulmarrock {

/// Recent latency of the target on this instance; the throttle of the batch
/// tasks colocated with it is based on this.
class ServiceLatencyProbe : public LatencyProbe {
 public:
  /// The references outlive the probe.
  ServiceLatencyProbe(const Clock& clock,
                      const RequestServer& server,
                      Millis objective)
      : m_clock(clock), m_server(server), m_objective(objective) {}

  /// Computes a new sample at most ten times a second, since computing a
  /// percentile takes a pass over the whole window.
  std::optional<LatencySample> Read() const override {
    const Millis now = m_clock.Now();
    if (!m_sample || now - m_sample->measured_at >= Millis(100)) {
      m_sample = LatencySample{m_server.RecentP99(), m_objective, now,
                               static_cast<int64_t>(m_server.RecentCount()),
                               m_server.RecentP90()};
    }
    return m_sample;
  }

 private:
  const Clock& m_clock;
  const RequestServer& m_server;
  const Millis m_objective;
  mutable std::optional<LatencySample> m_sample;
};

}  // namespace fulmarrock

#endif  // SOURCE_DAEMON_SERVICE_LATENCY_PROBE_H_
