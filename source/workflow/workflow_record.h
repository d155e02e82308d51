#ifndef SOURCE_WORKFLOW_WORKFLOW_RECORD_H_
#define SOURCE_WORKFLOW_WORKFLOW_RECORD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "source/message/workflow.h"
#include "source/workflow/workflow_commands.h"

namespace fulmarrock {

/// Stage of a task between its submission and its completion.
enum class TaskStage : uint8_t {
  kPending,
  kActive,  ///< A run is assigned and is not known to have ended.
  kDone,
};
constexpr TaskStage MaxValue(TaskStage) {
  return TaskStage::kDone;
}

/// One task.
struct WorkflowTask {
  TaskStage stage = TaskStage::kPending;
  /// Number of the last run; zero before the first.
  RunNumber run = 0;
  uint32_t failed_runs = 0;
  /// Worker of an active run.
  WorkerNumber worker = kNoWorkerNumber;
  std::string checkpoint;
  /// When the task entered its stage, in replicated time.
  Millis since;
  /// Workers that crashed right after a run of this task started there.
  uint32_t startup_crashes = 0;
  /// Workers that crashed while a run of this task was active there.
  uint32_t worker_crashes = 0;
  /// Last run that a crash ended, which the counts include.
  RunNumber crashed_run = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.stage, self.run, self.failed_runs, self.worker,
            self.checkpoint, self.since, self.startup_crashes,
            self.worker_crashes, self.crashed_run);
  }
};

/// The tasks of one step of one occurrence.
struct WorkflowStep {
  std::vector<WorkflowTask> tasks;

  // Derived from the tasks; recomputed when a snapshot is restored.
  uint32_t pending = 0;
  uint32_t done = 0;

  bool IsDone() const { return done == tasks.size(); }

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.tasks);
  }
};

/// One occurrence of a repeated workflow; one that runs once has a single
/// occurrence.
struct WorkflowOccurrence {
  /// When it is due, in milliseconds since 1970; zero for immediately.
  int64_t due_unix_ms = 0;
  std::vector<WorkflowStep> steps;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.due_unix_ms, self.steps);
  }
};

/// One workflow with all its tasks.
struct WorkflowRecord {
  WorkflowSpec spec;
  /// The queue at the time of the submission. The current queue configuration
  /// takes precedence if it still has the queue.
  QueueSettings queue;
  WorkflowPhase phase = WorkflowPhase::kQueued;
  /// In replicated time.
  Millis accepted_at;
  Millis ended_at;
  std::vector<WorkflowOccurrence> occurrences;

  // Number of active tasks; derived like the counters of WorkflowStep.
  uint32_t active = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.spec, self.queue, self.phase, self.accepted_at, self.ended_at,
            self.occurrences);
  }

  /// Whether all dependencies of a step are complete.
  bool IsStepReady(const WorkflowOccurrence& occurrence, uint32_t step) const;
};

/// One worker incarnation.
struct WorkerEntry {
  WorkerNumber number = kNoWorkerNumber;
  NodeId agent;
  WorkerIncarnation worker_incarnation;
  /// The capacity is the one at the registration; placement uses the one in the
  /// latest report instead.
  WorkerAttributes attributes;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.number, self.agent, self.worker_incarnation, self.attributes);
  }
};

}  // namespace fulmarrock

#endif  // SOURCE_WORKFLOW_WORKFLOW_RECORD_H_
