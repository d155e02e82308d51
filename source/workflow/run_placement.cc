#include "source/workflow/run_placement.h"

#include <algorithm>
#include <tuple>

namespace fulmarrock {
namespace {

/// A filler is not started where it would run at less than this part of its
/// full speed, in percent.
constexpr int64_t kLowestFillerSpeed = 70;

bool HasLabel(const WorkerOffer& offer, std::string_view label) {
  return std::find(offer.labels.begin(), offer.labels.end(), label) !=
         offer.labels.end();
}

/// Expected speed of a filler that joins the others, in percent of full speed.
int64_t FillerSpeed(const WorkerCandidate& candidate, int64_t cpu) {
  const int64_t idle = candidate.measured_filler_cpu >= 0
                           ? candidate.measured_filler_cpu
                           : candidate.room->ExpectedIdleCpu();
  const int64_t wanted =
      std::max<int64_t>(candidate.room->filler_cpu() + cpu, 1);
  return std::min<int64_t>(idle * 100 / wanted, 100) *
         candidate.filler_percent / 100;
}

/// Lower is better, field by field.
struct Cost {
  int distrust = 0;
  int distance = 0;
  uint32_t siblings = 0;
  int64_t measure = 0;

  auto operator<=>(const Cost&) const = default;
};

Cost CostOf(const RunRequest& request, const WorkerCandidate& candidate) {
  const StepSpec& step = *request.step;
  Cost cost;
  cost.distrust = request.is_last_attempt && !candidate.is_trusted ? 1 : 0;
  if (!step.data_rack.empty() && !HasLabel(*candidate.offer, step.data_rack))
    cost.distance = 1;
  if (step.is_filler) {
    cost.measure = -FillerSpeed(candidate, step.cpu_millicores);
    return cost;
  }
  if (step.is_lasting)
    cost.siblings = candidate.room->CountOfWorkflow(request.task.workflow);
  cost.measure = candidate.room->free_cpu();
  return cost;
}

}  // namespace

bool MayRun(const RunRequest& request, const WorkerCandidate& candidate) {
  const StepSpec& step = *request.step;
  if (candidate.offer->service != request.service)
    return false;
  if (!step.required_label.empty() &&
      !HasLabel(*candidate.offer, step.required_label)) {
    return false;
  }
  if (step.max_per_worker > 0 &&
      candidate.room->CountOfStep(request.task) >= step.max_per_worker) {
    return false;
  }
  return candidate.room->Fits(step);
}

std::optional<size_t> FirstFitRunPlacement::Choose(
    const RunRequest& request,
    std::span<const WorkerCandidate> candidates) const {
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (MayRun(request, candidates[i]))
      return i;
  }
  return std::nullopt;
}

std::optional<size_t> SharedRunPlacement::Choose(
    const RunRequest& request,
    std::span<const WorkerCandidate> candidates) const {
  std::optional<size_t> best;
  Cost best_cost;
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (!MayRun(request, candidates[i]))
      continue;
    const Cost cost = CostOf(request, candidates[i]);
    if (!best || cost < best_cost) {
      best = i;
      best_cost = cost;
    }
  }
  const bool is_too_slow =
      best && request.step->is_filler && !request.is_starving &&
      FillerSpeed(candidates[*best], request.step->cpu_millicores) <
          kLowestFillerSpeed;
  if (is_too_slow)
    return std::nullopt;
  return best;
}

}  // namespace fulmarrock
