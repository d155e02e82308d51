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
class FillerPacer {
 public:
  /// The references outlive the pacer. `runs` belongs to the runner.
  FillerPacer(const Clock& clock,
              RunClient& client,
              DecisionLog& decisions,
              LocalRuns& runs,
              FillerControl::MakePolicy make_policy);

  /// Forgets what belongs to an earlier life of the worker.
  void OnNewLife();

  void SetSlopes(std::span<const PressureSlope> slopes) {
    m_control.SetSlopes(slopes);
  }

  /// Takes the figures of one look.
  void OnLook(const LookAnswer& answer);

  /// Sends the shares that changed to the worker.
  void Send(uint64_t fence);

  /// Puts new figures into a report, if there are any and it is time.
  void AddFigures(WorkerReport& report);

 private:
  void SendTo(const TaskName& task, LocalRun& local, uint64_t fence);

  const Clock& m_clock;
  RunClient& m_client;
  DecisionLog& m_decisions;
  LocalRuns& m_runs;
  FillerControl m_control;
  bool m_has_figures = false;
  Millis m_figures_sent;
  // Orders without an answer may still be carried out until then.
  Millis m_repeat_until;
  Millis m_next_repeat;
  uint64_t m_life_number = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_SPEED_LIMITER_H_
