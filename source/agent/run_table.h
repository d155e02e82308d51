#ifndef SOURCE_AGENT_RUN_TABLE_H_
#define SOURCE_AGENT_RUN_TABLE_H_

#include <deque>
#include <map>
#include <vector>

#include "source/agent/run_client.h"
#include "source/message/workflow_messages.h"

namespace fulmarrock {

/// Where a run stands at the agent.
enum class RunStage : uint8_t {
  kStarting,  ///< The start is on its way to the worker.
  kDoubtful,  ///< The start got no answer, or the run is no longer listed.
  kRunning,
  kStopping,  ///< A stop is on its way, or has to be repeated.
  kStopped,   ///< The stop was answered; the end has to be listed yet.
};

/// One run that the agent knows of.
struct LocalRun {
  RunNumber run = 0;
  RunStage stage = RunStage::kStarting;
  /// When the stage began.
  Millis since;
  /// What control ordered; empty fields for a run found after a restart.
  StartInstruction instruction;
  bool is_described = false;
  /// Share at which the task was told to work; negative when not known.
  int64_t speed_limit_percent = 100;
  bool is_pace_in_flight = false;
  int64_t progress_percent = -1;
  Millis progress_at;
};

using LocalRuns = std::map<TaskName, LocalRun>;

/// Keeps the ends of runs in order until control has stored them.
class RunEventQueue {
 public:
  /// Adds an end that the worker listed under a number; zero for one that the
  /// worker does not list.
  void Add(const TaskName& task,
           RunNumber run,
           RunOutcome kind,
           std::string checkpoint,
           uint64_t end_number);

  /// Control stored all events up to here.
  void OnStored(uint64_t sequence);

  /// The worker's numbers start again.
  void ForgetNumbers();

  /// Whether the end of a run waits to be stored.
  bool Holds(const TaskName& task, RunNumber run) const;

  const std::deque<RunEvent>& events() const { return m_events; }
  /// Events up to here are stored.
  uint64_t stored_sequence() const { return m_last_sequence - m_events.size(); }
  uint64_t last_sequence() const { return m_last_sequence; }
  /// Number of the worker's ends up to which all are stored.
  uint64_t stored_end() const { return m_stored_end; }
  /// Highest number that was added.
  uint64_t last_end() const { return m_last_end; }

 private:
  std::deque<RunEvent> m_events;
  // Worker's numbers of the queued events, in the same order.
  std::deque<uint64_t> m_numbers;
  uint64_t m_last_sequence = 0;
  uint64_t m_last_end = 0;
  uint64_t m_stored_end = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_RUN_TABLE_H_
