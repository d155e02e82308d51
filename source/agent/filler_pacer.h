#ifndef SOURCE_AGENT_FILLER_PACER_H_
#define SOURCE_AGENT_FILLER_PACER_H_

#include <cstdint>
#include <span>

#include "source/agent/filler_control.h"
#include "source/agent/run_client.h"
#include "source/agent/run_table.h"
#include "source/base/clock.h"
#include "source/base/decision_log.h"

namespace fulmarrock {

/// Reads the measurements of a worker's tasks, and sends the best-effort tasks
/// among them their speed limits.
class FillerPacer {
 public:
  /// The references outlive this object. `runs` belongs to the workflow runner.
  FillerPacer(const Clock& clock,
              RunClient& client,
              DecisionLog& decisions,
              LocalRuns& runs,
              FillerControl::MakePolicy make_policy);

  /// Discards the state of an earlier worker incarnation.
  void OnNewWorkerIncarnation();

  void SetSlopes(std::span<const PressureSlope> slopes) {
    m_control.SetSlopes(slopes);
  }

  /// Takes the measurements of one poll response.
  void OnPollResponse(const LookAnswer& response);

  /// Sends the speed limits that changed to the worker.
  void Send(uint64_t fence);

  /// Adds new samples to a report, at most once per sample interval.
  void AddSamples(WorkerReport& report);

 private:
  void SendTo(const TaskName& task, LocalRun& local, uint64_t fence);

  const Clock& m_clock;
  RunClient& m_client;
  DecisionLog& m_decisions;
  LocalRuns& m_runs;
  FillerControl m_control;
  bool m_has_samples = false;
  Millis m_samples_sent_at;
  // Until then the worker may still execute a request that got no response.
  Millis m_repeat_until;
  Millis m_next_repeat;
  uint64_t m_incarnation_number = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_FILLER_PACER_H_
