#ifndef SOURCE_WORKFLOW_WORKFLOW_STATE_H_
#define SOURCE_WORKFLOW_WORKFLOW_STATE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "source/base/error.h"
#include "source/workflow/workflow_commands.h"
#include "source/workflow/workflow_record.h"

namespace fulmarrock {

/// Result of a command for the caller that waits for it.
struct CommandResult {
  uint64_t token = 0;
  WorkflowReplyKind kind = WorkflowReplyKind::kAccepted;
};

/// A run that became or ceased to be active.
struct RunChange {
  enum class Kind { kAssigned, kEnded, kReleased };
  Kind kind = Kind::kAssigned;
  TaskName task;
  RunNumber run = 0;
  WorkerNumber worker = kNoWorkerNumber;
  /// Only for kEnded.
  RunOutcome end = RunOutcome::kDone;
};

/// Events of an agent that are stored.
struct StoredEvents {
  NodeId agent;
  Incarnation incarnation = 0;
  uint64_t first_sequence = 0;
  uint64_t last_sequence = 0;
};

/// Changes by an applied batch that the leader has to act on.
struct WorkflowEffects {
  std::vector<CommandResult> command_results;
  std::vector<RunChange> runs;
  std::vector<StoredEvents> stored;
  /// Workflows that reached a final phase.
  std::vector<WorkflowKey> ended;
  std::vector<WorkerNumber> registered;
  /// Workers whose runs were released, even if they had none.
  std::vector<WorkerNumber> released;
  std::vector<WorkerNumber> removed;
  bool has_new_queue_configuration = false;
  /// Whether the batch contained assignments, valid or not.
  bool has_assignments = false;

  bool IsEmpty() const {
    return command_results.empty() && runs.empty() && stored.empty() &&
           ended.empty() && registered.empty() && released.empty() &&
           removed.empty() && !has_new_queue_configuration && !has_assignments;
  }
};

/// The replicated state of workflows: queues, workflows, tasks, runs and worker
/// incarnations. Deterministic: time comes from the commands alone. Every
/// command is checked, since its proposer may have lost leadership.
class WorkflowState {
 public:
  /// How long the state of an ended workflow is kept.
  static constexpr Millis kRetention = Millis::FromSeconds(150);
  /// Submissions beyond this many open workflows are refused.
  static constexpr size_t kMaxOpen = 20'000;
  static constexpr uint32_t kMaxTasks = 20'000;
  /// Interference coefficients beyond this many are not stored.
  static constexpr size_t kMaxInterferenceCoefficients = 8'192;

  /// Part of a snapshot.
  struct Snapshot {
    QueueConfiguration queue_configuration;
    std::vector<WorkflowRecord> workflows;
    std::vector<WorkerEntry> workers;
    WorkerNumber last_worker = kNoWorkerNumber;
    std::vector<InterferenceCoefficient> interference_coefficients;

    template <typename Self, typename Visitor>
    static void VisitFields(Self& self, Visitor& visitor) {
      visitor(self.queue_configuration, self.workflows, self.workers,
              self.last_worker, self.interference_coefficients);
    }
  };

  WorkflowEffects Apply(const WorkflowBatch& batch, Millis now);

  Snapshot Save() const;
  void Restore(Snapshot snapshot);

  const QueueConfiguration& queue_configuration() const {
    return m_queue_configuration;
  }
  const QueueSettings* FindQueue(std::string_view host,
                                 std::string_view path) const;
  /// The queue's settings in force for a workflow.
  const QueueSettings& QueueOf(const WorkflowRecord& workflow) const;

  const WorkflowRecord* Find(WorkflowKey key) const;
  const WorkflowTask* FindTask(const TaskName& name) const;
  const StepSpec* FindStep(const TaskName& name) const;

  /// Workflows that have not ended, or that still have active runs.
  const std::set<WorkflowKey>& open() const { return m_open; }
  const std::map<WorkerNumber, WorkerEntry>& workers() const {
    return m_workers;
  }
  const WorkerEntry* FindWorker(WorkerNumber number) const;
  /// The newest registered worker incarnation of an agent.
  const WorkerEntry* FindWorkerOf(const NodeId& agent) const;
  /// Active runs of a worker.
  const std::set<TaskName>& RunsOf(WorkerNumber number) const;
  /// Number of accepted workflows of a queue of which no task has started.
  uint32_t CountPending(const QueueSettings& queue) const;
  /// All coefficients that leaders stored.
  std::vector<InterferenceCoefficient> InterferenceCoefficients() const;
  /// Stored growth per core of the same pair of images, if any.
  std::optional<double> FindInterferenceCoefficient(
      const InterferenceCoefficient& pair) const;
  size_t workflow_count() const { return m_workflows.size(); }

 private:
  void Configure(const ConfigureQueues& command, WorkflowEffects& effects);
  /// Prepares the search of a queue by its route.
  void IndexQueues();
  void Register(const RegisterWorker& command, WorkflowEffects& effects);
  void Record(const RecordEvents& command, WorkflowEffects& effects);
  void RecordEvent(const RunEvent& event, WorkflowEffects& effects);
  void Release(const ReleaseWorker& command, WorkflowEffects& effects);
  /// Counts the crash of a worker for a task that ran there, and fails the
  /// workflow of a task that crashes its workers.
  void CountCrash(const LostRun& lost, WorkflowEffects& effects);
  void Submit(const SubmitWorkflow& command, WorkflowEffects& effects);
  void Cancel(const CancelWorkflow& command, WorkflowEffects& effects);
  void Assign(const AssignRun& command, WorkflowEffects& effects);
  void StoreCoefficient(const InterferenceCoefficient& coefficient);
  bool CanAssign(const AssignRun& command) const;
  void Add(const SubmitWorkflow& command, const QueueSettings& queue);

  WorkflowRecord* FindMutable(WorkflowKey key);
  /// Ends the active run of a task; `next` is the task's stage from then on.
  void Deactivate(WorkflowRecord& workflow,
                  const TaskName& name,
                  TaskStage next);
  /// Failed runs that count against the attempt limit of a task or its gang.
  static uint32_t CountFailedRuns(const WorkflowRecord& workflow,
                                  const TaskName& name);
  void CompleteGang(WorkflowRecord& workflow,
                    const TaskName& name,
                    WorkflowEffects& effects);
  void CheckCompletion(WorkflowRecord& workflow, WorkflowEffects& effects);
  void End(WorkflowRecord& workflow,
           WorkflowPhase phase,
           WorkflowEffects& effects);
  void CloseIfEnded(WorkflowRecord& workflow);
  void Prune();
  void CountTasks(WorkflowRecord& workflow);

  Millis m_now;
  QueueConfiguration m_queue_configuration;
  std::map<std::string, size_t, std::less<>> m_queue_by_route;
  std::unordered_map<WorkflowKey, WorkflowRecord> m_workflows;
  std::set<WorkflowKey> m_open;
  // Ended workflows by the time of their end, for pruning.
  std::set<std::pair<Millis, WorkflowKey>> m_ended;
  std::map<WorkerNumber, WorkerEntry> m_workers;
  std::map<NodeId, WorkerNumber> m_worker_by_agent;
  std::map<WorkerNumber, std::set<TaskName>> m_runs;
  WorkerNumber m_last_worker = kNoWorkerNumber;
  // Growth per core by latency-critical image and best-effort image.
  std::map<std::pair<std::string, std::string>, double>
      m_interference_coefficients;
};

/// Validates a specification: steps, counts, requested resources, dependencies.
/// The error names the first problem.
Result<void> ValidateWorkflow(const WorkflowSpec& spec);

/// Validates queues and services: known services, distinct routes, timeouts.
Result<void> ValidateQueueConfiguration(
    const QueueConfiguration& queue_configuration);

}  // namespace fulmarrock

#endif  // SOURCE_WORKFLOW_WORKFLOW_STATE_H_
