#include "source/agent/throttle_controller.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "source/base/json_text.h"

namespace fulmarrock {
namespace {

// The share is sent again while it is below 100, because a worker that
// restarted runs its tasks at full speed.
constexpr Millis kRepeatInterval = Millis::FromSeconds(2);

}  // namespace

ThrottleController::ThrottleController(const Clock& clock,
                                       const LatencyProbe& probe,
                                       WorkerClient& worker,
                                       Counters& counters,
                                       std::unique_ptr<ThrottlePolicy> policy)
    : m_clock(clock),
      m_probe(probe),
      m_worker(worker),
      m_counters(counters),
      m_policy(std::move(policy)) {}

void ThrottleController::OnMessage(const NodeId&, const Message&) {}

void ThrottleController::OnTick() {
  const Millis now = m_clock.Now();
  const int percent = std::clamp(m_policy->Update(m_probe.Read(), now), 1, 100);
  const bool is_repeat_due =
      !m_last_sent || (percent < 100 && now - *m_last_sent >= kRepeatInterval);
  if (percent == m_percent && !is_repeat_due)
    return;
  if (percent != m_percent)
    m_counters.Add(percent < m_percent ? "throttle_cuts" : "throttle_raises");
  m_percent = percent;
  m_last_sent = now;
  m_worker.ThrottleBatch(percent);
}

std::string ThrottleController::DumpState() const {
  nlohmann::json dump;
  dump["percent"] = m_percent;
  const std::optional<LatencySample> sample = m_probe.Read();
  if (sample) {
    dump["p99_ms"] = sample->p99.count();
    dump["objective_ms"] = sample->objective.count();
    dump["age_ms"] = (m_clock.Now() - sample->measured_at).count();
  }
  return ToJsonText(dump);
}

}  // namespace fulmarrock
