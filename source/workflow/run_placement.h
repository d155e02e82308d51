#ifndef SOURCE_WORKFLOW_RUN_PLACEMENT_H_
#define SOURCE_WORKFLOW_RUN_PLACEMENT_H_

#include <optional>
#include <span>

#include "source/workflow/best_effort_interference_model.h"
#include "source/workflow/worker_allocation.h"
#include "source/workflow/workflow_commands.h"

namespace fulmarrock {

/// A worker that may take runs, with what the choice depends on.
struct WorkerCandidate {
  WorkerNumber number = kNoWorkerNumber;
  const WorkerAttributes* attributes = nullptr;
  WorkerAllocation* room = nullptr;
  /// Latest figures of the tasks that serve and of the fillers there.
  std::span<const LatencyCriticalSample> latency_critical_samples;
  std::span<const BestEffortSample> best_effort_samples;
  /// Whether nothing speaks against the worker.
  bool is_trusted = true;
  /// Whether the worker may get no more than one run now.
  bool is_probe = false;
};

/// What is to be placed.
struct RunRequest {
  TaskName task;
  const StepSpec* step = nullptr;
  std::string_view service;
  /// Whether another failure would fail the workflow.
  bool is_last_attempt = false;
  /// Whether it waited so long that any worker with room has to do.
  bool is_starving = false;
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

/// Whether a worker may run the task at all: service, labels, limits, room.
bool MayRun(const RunRequest& request, const WorkerCandidate& candidate);

/// Baseline: the first worker that may run the task.
class FirstFitRunPlacement : public RunPlacement {
 public:
  std::optional<size_t> Choose(
      const RunRequest& request,
      std::span<const WorkerCandidate> candidates) const override;
};

/// Places near the data, packs tasks that end to keep large gaps, and gives
/// fillers to the worker where they disturb least and run fastest. Lasting
/// tasks of one image share workers: the fewer images serve on a worker, the
/// more fillers disturb none of them. A filler waits while it would run slowly,
/// or push a latency over its target, everywhere.
class SharedRunPlacement : public RunPlacement {
 public:
  /// The model outlives the placement.
  explicit SharedRunPlacement(const BestEffortInterferenceModel& pressure)
      : m_interference_model(pressure) {}

  std::optional<size_t> Choose(
      const RunRequest& request,
      std::span<const WorkerCandidate> candidates) const override;

 private:
  struct Cost;

  /// Lower is better; nothing where the task should not go now.
  std::optional<Cost> CostOf(const RunRequest& request,
                             const WorkerCandidate& candidate) const;
  std::optional<Cost> FillerCostOf(const RunRequest& request,
                                   const WorkerCandidate& candidate) const;

  /// Latency of an image, in percent of its target, that is expected on the
  /// worker without any filler.
  double BaseLatency(std::string_view image,
                     const WorkerCandidate& candidate) const;
  /// Growth of that latency, as a logarithm, once all fillers on the worker
  /// work at full speed.
  double GrowthAtFullSpeed(std::string_view image,
                           const WorkerCandidate& candidate) const;
  bool IsHarmless(std::string_view serving, std::string_view filler) const;
  /// Filler images that disturb neither what serves on the worker nor `extra`,
  /// which may be empty.
  int64_t CountSuited(const WorkerCandidate& candidate,
                      std::string_view extra) const;

  const BestEffortInterferenceModel& m_interference_model;
};

}  // namespace fulmarrock

#endif  // SOURCE_WORKFLOW_RUN_PLACEMENT_H_
