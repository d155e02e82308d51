#ifndef SOURCE_AGENT_THROTTLE_CONTROLLER_H_
#define SOURCE_AGENT_THROTTLE_CONTROLLER_H_

#include <memory>
#include <optional>
#include <string>

#include "source/agent/agent_part.h"
#include "source/agent/latency_probe.h"
#include "source/agent/throttle_policy.h"
#include "source/agent/worker_client.h"
#include "source/base/clock.h"
#include "source/base/counters.h"

namespace fulmarrock {

/// Throttles the batch tasks beside a service whose latency exceeds its
/// objective. Counters: `throttle_cuts`, `throttle_raises`.
class ThrottleController : public AgentPart {
 public:
  /// The references outlive the controller.
  ThrottleController(const Clock& clock,
                     const LatencyProbe& probe,
                     WorkerClient& worker,
                     Counters& counters,
                     std::unique_ptr<ThrottlePolicy> policy =
                         std::make_unique<MultiplicativeThrottle>());

  void OnMessage(const NodeId& from, const Message& message) override;
  void OnTick() override;
  /// The CPU share of the batch tasks stays the same during the shutdown.
  void BeginShutdown() override {}
  bool IsDrained() const override { return true; }
  std::string Name() const override { return "throttle"; }
  std::string DumpState() const override;

  int percent() const { return m_percent; }

 private:
  const Clock& m_clock;
  const LatencyProbe& m_probe;
  WorkerClient& m_worker;
  Counters& m_counters;
  std::unique_ptr<ThrottlePolicy> m_policy;
  int m_percent = 100;
  // Empty until the first tick, which sends the worker the initial share, since
  // an earlier agent process may have set another one.
  std::optional<Millis> m_last_sent;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_THROTTLE_CONTROLLER_H_
