#ifndef SOURCE_AGENT_LOST_RUNS_H_
#define SOURCE_AGENT_LOST_RUNS_H_

#include <optional>
#include <vector>

#include "source/agent/run_table.h"
#include "source/base/millis.h"
#include "source/message/workflow_messages.h"

namespace fulmarrock {

/// The runs that the last crash of a worker ended. Control counts them to find
/// tasks that crash their workers. A worker whose lease expired has crashed
/// only if another incarnation follows it.
class LostRuns {
 public:
  /// The connection to the worker broke.
  void OnConnectionLost(Millis now);

  /// The worker is still the same incarnation.
  void OnWorkerResponsive();

  /// The worker's lease expired with these runs.
  void OnLeaseExpired(const LocalRuns& runs);

  /// The worker crashed with these runs, and with those whose lease had
  /// expired.
  void OnCrash(const LocalRuns& runs, Millis now);

  /// The worker lists the run, as active or as ended. Its start reached the new
  /// incarnation, so that the crash did not end it.
  void Remove(const TaskName& task, RunNumber run);

  /// Returns the runs of the last crash, for as long as control may not have
  /// counted them.
  std::vector<LostRun> ToReport(Millis now) const;

 private:
  void Add(const LocalRuns& runs, std::vector<LostRun>& lost_runs) const;

  // When the connection to the current worker broke; that is when it crashed,
  // if it did.
  std::optional<Millis> m_connection_lost_at;
  std::vector<LostRun> m_expired_runs;
  std::vector<LostRun> m_runs;
  Millis m_crash_seen_at;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_LOST_RUNS_H_
