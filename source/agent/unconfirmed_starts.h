#ifndef SOURCE_AGENT_UNCONFIRMED_STARTS_H_
#define SOURCE_AGENT_UNCONFIRMED_STARTS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "source/agent/run_client.h"
#include "source/agent/run_table.h"
#include "source/base/active_clock.h"

namespace fulmarrock {

/// Start requests that a worker may still execute although nothing confirms it:
/// those without a response, and those meant for an earlier worker incarnation.
class UnconfirmedStarts {
 public:
  /// Longest delay with which a worker may execute a request that got no
  /// response.
  static constexpr Millis kMaxRequestDelay{13'000};

  /// The references outlive this object. `clock` never runs ahead of the
  /// worker's but for its drift. `stop_timeout` is the longest time from the
  /// response to a stop request until the run has ended.
  UnconfirmedStarts(ActiveClock& clock, RunClient& client, Millis stop_timeout)
      : m_clock(clock), m_client(client), m_stop_timeout(stop_timeout) {}

  /// Records a start request that got no response.
  void Add(const TaskName& task, RunNumber run);

  /// Whether the worker may still execute a recorded start of the task.
  bool MayStillExecute(const TaskName& task) const;

  /// A new worker incarnation started. Starts that were sent to the earlier
  /// one, among them those of `runs`, have to be stopped in the new one before
  /// it may get runs.
  void OnNewWorkerIncarnation(const LocalRuns& runs);

  /// The worker has deregistered.
  void OnDeregistration() { m_earlier_starts.clear(); }

  /// Sends stop requests for the starts of earlier worker incarnations, and
  /// repeats those that got no response.
  void StopEarlierStarts(uint64_t fencing_token);

  /// Whether a start that was meant for an earlier worker incarnation may still
  /// execute in this one.
  bool HasEarlierStarts() const {
    return !m_earlier_starts.empty() || m_clock.Now() < m_stops_effective_at;
  }

 private:
  struct Start {
    TaskName task;
    RunNumber run = 0;
    Millis until;
  };
  struct EarlierStart {
    RunNumber run = 0;
    bool is_stop_in_flight = false;
  };

  ActiveClock& m_clock;
  RunClient& m_client;
  const Millis m_stop_timeout;
  std::vector<Start> m_starts;
  // When the run of the last stop that got a response has ended.
  Millis m_stops_effective_at;
  std::map<TaskName, EarlierStart> m_earlier_starts;
  // Counts worker incarnations; responses to stops that were sent to an earlier
  // one are dropped.
  uint64_t m_incarnation_number = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_UNCONFIRMED_STARTS_H_
