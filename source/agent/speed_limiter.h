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

/// Reads the figures of a worker's tasks, and tells the fillers among them at
/// which share of full speed to work.
class SpeedLimiter {
 public:
  /// The references outlive the pacer. `runs` belongs to the runner.
  SpeedLimiter(const Clock& clock,
               RunClient& client,
               DecisionLog& decisions,
               LocalRuns& runs,
               BestEffortController::MakePolicy make_policy);

  /// Forgets what belongs to an earlier life of the worker.
  void OnNewLife();

  void SetInterferenceCoefficients(
      std::span<const InterferenceCoefficient> interference_coefficients) {
    m_control.SetInterferenceCoefficients(interference_coefficients);
  }

  /// Takes the figures of one look.
  void OnLook(const PollResponse& answer);

  /// Sends the shares that changed to the worker.
  void Send(uint64_t fencing_token);

  /// Puts new figures into a report, if there are any and it is time.
  void AddFigures(WorkerReport& report);

 private:
  void SendTo(const TaskName& task, LocalRun& local, uint64_t fencing_token);

  const Clock& m_clock;
  RunClient& m_client;
  DecisionLog& m_decisions;
  LocalRuns& m_runs;
  BestEffortController m_control;
  bool m_has_figures = false;
  Millis m_figures_sent;
  // Orders without an answer may still be carried out until then.
  Millis m_repeat_until;
  Millis m_next_repeat;
  uint64_t m_life_number = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_SPEED_LIMITER_H_
