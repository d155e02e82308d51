#ifndef SOURCE_AGENT_UNANSWERED_STARTS_H_
#define SOURCE_AGENT_UNANSWERED_STARTS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "source/agent/run_client.h"
#include "source/agent/run_table.h"

namespace fulmarrock {

/// Starts that a worker may still carry out, although nothing shows that it
/// did: those without an answer, and those meant for an earlier life of the
/// worker.
class UnansweredStarts {
 public:
  /// Longest delay after which a worker may carry out an order without an
  /// answer.
  static constexpr Millis kLateOrderLimit{13'000};

  /// The client outlives this object.
  explicit UnansweredStarts(RunClient& client) : m_client(client) {}

  /// A start got no answer.
  void Add(const TaskName& task, RunNumber run, Millis now);

  /// Whether a start of the task may still be carried out.
  bool MayArrive(const TaskName& task, Millis now) const;

  /// The worker began a new life. Starts of the earlier one, among them those
  /// of `runs`, have to be stopped in the new one before it may get runs.
  void OnNewLife(const LocalRuns& runs, Millis now);

  /// The worker has left for good.
  void OnDeparture() { m_earlier.clear(); }

  /// Sends the stops that are due.
  void StopEarlier(uint64_t fence);

  /// Whether starts meant for an earlier life are not stopped yet.
  bool HasEarlier() const { return !m_earlier.empty(); }

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

  RunClient& m_client;
  std::vector<Start> m_starts;
  std::map<TaskName, EarlierStart> m_earlier;
  // Late answers to stops of an earlier life are dropped.
  uint64_t m_life_number = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_UNANSWERED_STARTS_H_
