#ifndef SOURCE_WORKFLOW_WORKFLOW_SCHEDULER_H_
#define SOURCE_WORKFLOW_WORKFLOW_SCHEDULER_H_

#include <map>
#include <set>
#include <vector>

#include "source/workflow/run_placement.h"
#include "source/workflow/worker_allocation.h"
#include "source/workflow/worker_health.h"
#include "source/workflow/workflow_order.h"
#include "source/workflow/workflow_state.h"

namespace fulmarrock {

/// What the leader knows of a worker beyond the replicated state.
struct WorkerStatus {
  bool is_accepting_runs = false;
  std::span<const LatencyCriticalSample> latency_critical_samples;
  std::span<const BestEffortSample> best_effort_samples;
};

/// How much work waits and runs.
struct SchedulingLoad {
  int64_t waiting = 0;
  int64_t waiting_fillers = 0;
  int64_t waiting_lasting = 0;
  int64_t active = 0;
  int64_t active_fillers = 0;
  int64_t active_lasting = 0;
  /// Processors that the fillers would use at full speed.
  int64_t filler_cpu_millicores = 0;
  /// Processors that are expected to be left for fillers.
  int64_t expected_idle_millicores = 0;
  /// Processors that no run has reserved.
  int64_t free_cpu_millicores = 0;
};

/// Times of one planning round.
struct PlanningTime {
  /// Of the leader's clock.
  Millis now;
  /// Replicated time.
  Millis replicated;
  /// Milliseconds since 1970, for work that is due at a time of day.
  int64_t unix_ms = 0;
};

/// The leader's decisions on which waiting task runs next and where. Holds no
/// replicated state; Rebuild() derives everything after an election.
class WorkflowScheduler {
 public:
  WorkflowScheduler(const WorkflowState& state,
                    const WorkflowOrder& order,
                    const RunPlacement& placement)
      : m_state(state), m_order(order), m_placement(placement) {}

  void Rebuild();

  /// Follows the effects of an applied batch.
  void OnEffects(const WorkflowEffects& effects, Millis now);

  /// A run makes no progress on its worker.
  void OnStall(const TaskName& task, WorkerNumber worker, Millis now);

  /// A worker refused a run for want of room; it gets no other one for a
  /// moment.
  void OnNoRoom(WorkerNumber worker, Millis now);

  /// Chooses workers for waiting tasks. The caller proposes the result and must
  /// not plan again before it is applied or lost. At most `limit` runs.
  std::vector<AssignRun> Plan(
      const std::map<WorkerNumber, WorkerStatus>& workers,
      const PlanningTime& time,
      size_t limit);

  /// Fillers that are slowed down where they run, could resume from a
  /// checkpoint, and would run well on another worker. At most `limit`.
  std::vector<TaskName> FindMoves(
      const std::map<WorkerNumber, WorkerStatus>& workers,
      const PlanningTime& time,
      size_t limit);

  SchedulingLoad MeasureLoad() const;

  const WorkerHealth& health() const { return m_health; }
  const WorkerAllocation* RoomOf(WorkerNumber worker) const;
  /// Steps that had tasks without a place in the last round.
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
                 std::vector<WorkerCandidate>& candidates,
                 std::vector<AssignRun>& plan);
  std::optional<size_t> ChooseFor(const RunRequest& request,
                                  std::span<const WorkerCandidate> candidates);
  void Take(const RunRequest& request,
            size_t position,
            RunNumber run,
            std::vector<WorkerCandidate>& candidates,
            std::vector<AssignRun>& plan);
  WorkerAllocation& RoomFor(WorkerNumber worker);
  /// Whether so little of a service's processors is reserved that every
  /// workflow has to make progress.
  bool IsLightlyLoaded(std::string_view service) const;

  const WorkflowState& m_state;
  const WorkflowOrder& m_order;
  const RunPlacement& m_placement;
  WorkerHealth m_health;
  std::map<WorkerNumber, WorkerAllocation> m_rooms;
  std::map<WorkerNumber, Millis> m_no_room_until;
  size_t m_blocked_steps = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_WORKFLOW_WORKFLOW_SCHEDULER_H_
