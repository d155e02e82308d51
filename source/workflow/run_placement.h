#ifndef SOURCE_WORKFLOW_RUN_PLACEMENT_H_
#define SOURCE_WORKFLOW_RUN_PLACEMENT_H_

#include <optional>
#include <span>

#include "source/workflow/best_effort_interference_model.h"
#include "source/workflow/worker_allocation.h"
#include "source/workflow/workflow_commands.h"

namespace fulmarrock {

/// A worker that may be given runs, with what the choice depends on.
struct WorkerCandidate {
  WorkerNumber number = kNoWorkerNumber;
  const WorkerAttributes* attributes = nullptr;
  WorkerAllocation* allocation = nullptr;
  /// Latest samples of the latency-critical and the best-effort tasks there.
  std::span<const LatencyCriticalSample> latency_critical_samples;
  std::span<const BestEffortSample> best_effort_samples;
  /// Whether the worker is not quarantined and has no recent failures.
  bool is_healthy = true;
  /// Whether the worker is quarantined and may get only one run, as a probe.
  bool is_probe = false;
};

/// A task to be placed.
struct RunRequest {
  TaskName task;
  const StepSpec* step = nullptr;
  std::string_view service;
  /// Whether another failure would fail the workflow.
  bool is_last_attempt = false;
  /// Whether the task has been pending so long that any worker with free
  /// capacity is acceptable.
  bool is_starving = false;
  /// Whether a worker crashed right after the task started there, so that no
  /// other run should start beside it.
  bool may_crash_worker = false;
};

/// Chooses the worker for one task.
class RunPlacement {
 public:
  virtual ~RunPlacement() = default;

  /// Returns the position of the chosen candidate, or nothing.
  virtual std::optional<size_t> Choose(
      const RunRequest& request,
      std::span<const WorkerCandidate> candidates) const = 0;
};

/// Whether a worker could run the task if nothing else ran there: service,
/// labels, size.
bool CouldRun(const RunRequest& request, const WorkerCandidate& candidate);

/// Whether a worker may run the task now: it could run it at all, limits, free
/// capacity.
bool MayRun(const RunRequest& request, const WorkerCandidate& candidate);

/// Baseline: the first worker that may run the task.
class FirstFitRunPlacement : public RunPlacement {
 public:
  std::optional<size_t> Choose(
      const RunRequest& request,
      std::span<const WorkerCandidate> candidates) const override;
};

/// Places tasks near their data, packs tasks that complete by best fit so that
/// large blocks of capacity stay free, and gives best-effort tasks to the
/// worker where they interfere least and run fastest. Long-running tasks of one
/// image share workers: the fewer latency-critical images a worker has, the
/// more best-effort images interfere with none of them. A best-effort task
/// stays pending while it would run slowly, or raise a latency above its
/// objective, on every worker.
class InterferenceAwarePlacement : public RunPlacement {
 public:
  /// The model must outlive the placement.
  explicit InterferenceAwarePlacement(
      const BestEffortInterferenceModel& interference_model)
      : m_interference_model(interference_model) {}

  std::optional<size_t> Choose(
      const RunRequest& request,
      std::span<const WorkerCandidate> candidates) const override;

 private:
  struct Cost;
  class PairCache;

  /// Lower is better; nothing if the task should not be placed there now.
  std::optional<Cost> CostOf(const RunRequest& request,
                             const WorkerCandidate& candidate,
                             PairCache& pairs) const;
  std::optional<Cost> BestEffortCostOf(const RunRequest& request,
                                       const WorkerCandidate& candidate,
                                       PairCache& pairs) const;

  /// Latency of an image, in percent of its objective, that is expected on the
  /// worker without best-effort tasks.
  double ExpectedBaselineLatency(std::string_view image,
                                 const WorkerCandidate& candidate) const;
  /// Growth of that latency, as a logarithm, with all best-effort tasks on the
  /// worker at full speed.
  double GrowthAtFullSpeed(std::string_view image,
                           const WorkerCandidate& candidate) const;
  /// Whether the task would raise the latency of an image on the worker above
  /// its objective. `added` is the growth of that latency by the task.
  bool ExceedsObjective(std::string_view image,
                        double added,
                        const WorkerCandidate& candidate) const;

  const BestEffortInterferenceModel& m_interference_model;
};

}  // namespace fulmarrock

#endif  // SOURCE_WORKFLOW_RUN_PLACEMENT_H_
