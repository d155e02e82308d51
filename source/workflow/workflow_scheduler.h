#ifndef SOURCE_WORKFLOW_WORKFLOW_SCHEDULER_H_
#define SOURCE_WORKFLOW_WORKFLOW_SCHEDULER_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "source/workflow/run_placement.h"
#include "source/workflow/step_ordering.h"
#include "source/workflow/worker_allocation.h"
#include "source/workflow/worker_health.h"
#include "source/workflow/workflow_state.h"

namespace fulmarrock {

/// State of a worker from its last report, which is not replicated.
struct WorkerStatus {
  bool is_accepting_runs = false;
  Resources capacity;
  std::span<const LatencyCriticalSample> latency_critical_samples;
  std::span<const BestEffortSample> best_effort_samples;
};

/// Amount of pending and active work.
struct SchedulingLoad {
  int64_t pending = 0;
  int64_t pending_best_effort = 0;
  int64_t pending_long_running = 0;
  int64_t active = 0;
  int64_t active_best_effort = 0;
  int64_t active_long_running = 0;
  /// CPU that the best-effort tasks would use at full speed.
  int64_t best_effort_cpu_millicores = 0;
  /// CPU that is expected to be available to best-effort tasks.
  int64_t expected_idle_millicores = 0;
  /// CPU that is not allocated to any run except best-effort ones.
  int64_t free_cpu_millicores = 0;
};

/// Times of one planning round.
struct PlanningTime {
  /// By the leader's clock.
  Millis now;
  /// Replicated time.
  Millis replicated;
  /// Milliseconds since 1970, for occurrences that are due at a wall clock
  /// time.
  int64_t unix_ms = 0;
};

/// Decides which pending task the leader runs next and where. Holds no
/// replicated state; Rebuild() derives everything after an election.
class WorkflowScheduler {
 public:
  WorkflowScheduler(const WorkflowState& state,
                    const StepOrdering& ordering,
                    const RunPlacement& placement)
      : m_state(state), m_ordering(ordering), m_placement(placement) {}

  void Rebuild();

  /// Updates allocations and worker health after a batch was applied.
  void OnEffects(const WorkflowEffects& effects, Millis now);

  /// A run makes no progress on its worker.
  void OnStall(const TaskName& task, WorkerNumber worker, Millis now);

  /// A worker refused a run for lack of free capacity; it gets no other run for
  /// a short time.
  void OnNoCapacity(WorkerNumber worker, Millis now);

  /// Chooses workers for pending tasks, for at most `limit` runs. The caller
  /// proposes the result and must not plan again before it is applied or lost.
  std::vector<AssignRun> Plan(
      const std::map<WorkerNumber, WorkerStatus>& workers,
      const PlanningTime& time,
      size_t limit);

  /// Returns at most `limit` best-effort tasks that have a low speed limit
  /// where they run, can resume from a checkpoint, and would run well on
  /// another worker.
  std::vector<TaskName> FindMoves(
      const std::map<WorkerNumber, WorkerStatus>& workers,
      const PlanningTime& time,
      size_t limit);

  SchedulingLoad MeasureLoad() const;

  const WorkerHealth& health() const { return m_health; }
  const WorkerAllocation* FindAllocation(WorkerNumber worker) const;
  /// Number of steps with tasks that could not be placed in the last round.
  size_t blocked_steps() const { return m_blocked_steps; }

 private:
  std::vector<ReadyStep> FindReady(const PlanningTime& time) const;
  std::vector<WorkerCandidate> FindCandidates(
      const std::map<WorkerNumber, WorkerStatus>& workers,
      Millis now);
  void PlaceStep(const ReadyStep& ready,
                 const PlanningTime& time,
                 std::vector<WorkerCandidate>& candidates,
                 std::vector<AssignRun>& plan,
                 size_t limit);
  bool PlaceGang(const ReadyStep& ready,
                 const PlanningTime& time,
                 std::vector<WorkerCandidate>& candidates,
                 std::vector<AssignRun>& plan);
  /// Whether a task has been pending for so long, while its workflow has no
  /// active run, that any worker with free capacity is acceptable.
  bool IsStarving(const ReadyStep& ready,
                  const WorkflowTask& task,
                  const PlanningTime& time);
  /// Chooses a worker. One on which the task failed is chosen only if no other
  /// could run it, or if the task is starving or long-running.
  std::optional<size_t> ChooseFor(const RunRequest& request,
                                  std::span<const WorkerCandidate> candidates,
                                  Millis now);
  /// Whether a task should get another worker than this one if there is any.
  bool ShouldAvoid(const RunRequest& request,
                   WorkerNumber worker,
                   Millis now) const;
  void AddToPlan(const RunRequest& request,
                 size_t position,
                 RunNumber run,
                 const PlanningTime& time,
                 std::vector<WorkerCandidate>& candidates,
                 std::vector<AssignRun>& plan);
  WorkerAllocation& GetOrAddAllocation(WorkerNumber worker);
  /// Whether so little of a service's CPU is allocated that every workflow has
  /// to make progress.
  bool IsLightlyLoaded(std::string_view service) const;

  const WorkflowState& m_state;
  const StepOrdering& m_ordering;
  const RunPlacement& m_placement;
  WorkerHealth m_health;
  std::map<WorkerNumber, WorkerAllocation> m_allocations;
  std::map<WorkerNumber, Millis> m_no_capacity_until;
  // When workers were registered, as far as this leader saw it.
  std::map<WorkerNumber, Millis> m_registered_at;
  // Workers on which a task starts that may have crashed an earlier one.
  std::map<WorkerNumber, Millis> m_no_other_start_until;
  size_t m_blocked_steps = 0;
  // Services with little CPU allocated at the begin of the planning round.
  std::map<std::string, bool, std::less<>> m_lightly_loaded;
};

}  // namespace fulmarrock

#endif  // SOURCE_WORKFLOW_WORKFLOW_SCHEDULER_H_
