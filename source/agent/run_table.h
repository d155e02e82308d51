#ifndef SOURCE_AGENT_RUN_TABLE_H_
#define SOURCE_AGENT_RUN_TABLE_H_

#include <deque>
#include <map>
#include <vector>

#include "source/agent/run_client.h"
#include "source/message/workflow_messages.h"

namespace fulmarrock {

/// State of a run at the agent.
enum class RunStage : uint8_t {
  kStarting,     ///< The start request is in flight.
  kUnconfirmed,  ///< The start got no response; the run may or may not execute.
  kRunning,
  kStopping,  ///< A stop request is in flight or has to be repeated.
  kStopped,   ///< The stop got a response; its end is not listed yet.
};

/// One run that the agent knows of.
struct LocalRun {
  RunNumber run = 0;
  RunStage stage = RunStage::kStarting;
  /// When the stage began.
  Millis since;
  /// When the start was requested, or the run was found on the worker.
  Millis started_at;
  /// Whether the worker confirmed the start or listed the run.
  bool is_confirmed = false;
  /// The start instruction from control; empty for a run that was found on the
  /// worker after a restart of the agent.
  StartInstruction instruction;
  bool has_instruction = false;
  /// Whether the worker has listed a run of the task.
  bool is_listed = false;
  /// Speed limit that was sent last; negative when not known.
  int64_t speed_limit_percent = 100;
  bool is_speed_limit_in_flight = false;
  int64_t progress_percent = -1;
  Millis progress_at;
};

using LocalRuns = std::map<TaskName, LocalRun>;

/// Keeps the run events in sequence until control has stored them.
class RunEventQueue {
 public:
  /// Adds the end of a run. `end_number` is the number under which the worker
  /// listed it, or zero if the worker does not list it.
  void Add(const TaskName& task,
           RunNumber run,
           RunOutcome kind,
           std::string checkpoint,
           uint64_t end_number);

  /// Control has stored all events up to this sequence number.
  void OnStored(uint64_t sequence);

  /// Discards the end numbers, since a new worker incarnation counts from 1.
  void DiscardEndNumbers();

  /// Whether the end of a run is queued here, not yet stored by control.
  bool Holds(const TaskName& task, RunNumber run) const;

  const std::deque<RunEvent>& events() const { return m_events; }
  /// Sequence number up to which control has stored all events.
  uint64_t stored_sequence() const { return m_last_sequence - m_events.size(); }
  uint64_t last_sequence() const { return m_last_sequence; }
  /// Highest end number that control has stored.
  uint64_t stored_end() const { return m_stored_end; }
  /// Highest end number that was added.
  uint64_t last_end() const { return m_last_end; }

 private:
  std::deque<RunEvent> m_events;
  // End numbers of the queued events, in the same order.
  std::deque<uint64_t> m_end_numbers;
  uint64_t m_last_sequence = 0;
  uint64_t m_last_end = 0;
  uint64_t m_stored_end = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_RUN_TABLE_H_
