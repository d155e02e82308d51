#ifndef SOURCE_AGENT_SPEED_LIMITER_H_
#define SOURCE_AGENT_SPEED_LIMITER_H_

#include <cstdint>
#include <span>

#include "source/agent/best_effort_controller.h"
#include "source/agent/run_client.h"
#include "source/agent/run_table.h"
#include "source/base/clock.h"
#include "source/base/decision_log.h"

namespace fulmarrock {

/// Reads the measurements of a worker's tasks, and sends the best-effort tasks
/// among them their speed limits.
class SpeedLimiter {
 public:
  /// The references outlive this object. `runs` belongs to the workflow runner.
  SpeedLimiter(const Clock& clock,
               RunClient& client,
               DecisionLog& decisions,
               LocalRuns& runs,
               BestEffortController::MakePolicy make_policy);

  /// Discards the state of an earlier worker incarnation.
  void OnNewWorkerIncarnation();

  void SetInterferenceCoefficients(
      std::span<const InterferenceCoefficient> interference_coefficients) {
    m_controller.SetInterferenceCoefficients(interference_coefficients);
  }

  /// Takes the measurements of one poll response.
  void OnPollResponse(const PollResponse& response);

  /// Sends the speed limits that changed to the worker.
  void Send(uint64_t fencing_token);

  /// Adds new samples to a report, at most once per sample interval.
  void AddSamples(WorkerReport& report);

 private:
  void SendTo(const TaskName& task, LocalRun& local, uint64_t fencing_token);

  const Clock& m_clock;
  RunClient& m_client;
  DecisionLog& m_decisions;
  LocalRuns& m_runs;
  BestEffortController m_controller;
  bool m_has_samples = false;
  Millis m_samples_sent_at;
  // Until then the worker may still execute a request that got no response.
  Millis m_repeat_until;
  Millis m_next_repeat;
  uint64_t m_incarnation_number = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_SPEED_LIMITER_H_
