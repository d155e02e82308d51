#ifndef SOURCE_AGENT_UNANSWERED_STARTS_H_
#define SOURCE_AGENT_UNANSWERED_STARTS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "source/agent/run_client.h"
#include "source/agent/run_table.h"
#include "source/base/clock.h"

namespace fulmarrock {

/// Starts that a worker may still carry out, although nothing shows that it
/// did: those without an answer, and those meant for an earlier life of the
/// worker.
class UnansweredStarts {
 public:
  /// Longest delay after which a worker may carry out an order without an
  /// answer.
  static constexpr Millis kLateOrderLimit{13'000};

  /// The references outlive this object. `stop_limit` is the longest time from
  /// an answered stop to the end of the run.
  UnansweredStarts(const Clock& clock, RunClient& client, Millis stop_timeout)
      : m_clock(clock), m_client(client), m_stop_limit(stop_timeout) {}

  /// A start got no answer.
  void Add(const TaskName& task, RunNumber run, Millis now);

  /// Whether a start of the task may still be carried out.
  bool MayArrive(const TaskName& task, Millis now) const;

  /// The worker began a new life. Starts of the earlier one, among them those
  /// of `runs`, have to be stopped in the new one before it may get runs.
  void OnNewLife(const LocalRuns& runs, Millis now);

  /// The worker has left for good.
  void OnDeregistration() { m_earlier.clear(); }

  /// Sends the stops that are due.
  void StopEarlier(uint64_t fencing_token);

  /// Whether a start meant for an earlier life may still run in this one.
  bool HasEarlier() const {
    return !m_earlier.empty() || m_clock.Now() < m_stopped_at;
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

  const Clock& m_clock;
  RunClient& m_client;
  const Millis m_stop_limit;
  std::vector<Start> m_starts;
  // When the last answered stop has taken effect.
  Millis m_stopped_at;
  std::map<TaskName, EarlierStart> m_earlier;
  // Late answers to stops of an earlier life are dropped.
  uint64_t m_life_number = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_UNANSWERED_STARTS_H_
