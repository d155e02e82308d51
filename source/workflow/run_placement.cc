#include "source/workflow/run_placement.h"

#include <algorithm>

namespace fulmarrock {
namespace {

/// A filler is not started where it would run at less than this part of its
/// full speed, in percent.
constexpr int64_t kLowestFillerSpeed = 70;

/// A filler goes nowhere where a latency would exceed this part of its target,
/// in percent, because of it.
constexpr double kHighestLatency = 85;
/// Growth of a latency, in percent of its target, that is put up with.
constexpr double kNegligiblePressure = 5;
/// How far above its mean a latency without fillers is expected to rise, in
/// percent of the target.
constexpr double kLoadSwing = 8;
/// Workers whose latencies would grow by about as much are equally good.
constexpr double kPressureStep = 10;

bool HasLabel(const WorkerOffer& offer, std::string_view label) {
  return std::find(offer.labels.begin(), offer.labels.end(), label) !=
         offer.labels.end();
}

/// Share at which the fillers of an image work on a worker, in percent.
int64_t PaceOf(const WorkerCandidate& candidate, std::string_view image) {
  for (const FillerFigure& figure : candidate.fillers) {
    if (figure.image == image)
      return figure.pace_percent;
  }
  return 100;
}

/// Expected speed of a filler that joins the others, in percent of full speed.
/// What slowed-down fillers leave over is there for others.
int64_t FillerSpeed(const RunRequest& request,
                    const WorkerCandidate& candidate) {
  int64_t wanted = request.step->cpu_millicores;
  for (const auto& [image, cpu] : candidate.room->filler_cpu_by_image())
    wanted += cpu * PaceOf(candidate, image) / 100;
  const int64_t idle = std::max<int64_t>(candidate.room->ExpectedIdleCpu(), 0);
  return std::min<int64_t>(idle * 100 / std::max<int64_t>(wanted, 1), 100) *
         PaceOf(candidate, request.step->image) / 100;
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

struct SharedRunPlacement::Cost {
  int distrust = 0;
  int distance = 0;
  /// For lasting tasks: different images that would share the worker, unless
  /// the task's own is there already.
  size_t images = 0;
  /// For fillers: added latency in steps of kPressureStep.
  int64_t pressure = 0;
  int64_t measure = 0;

  auto operator<=>(const Cost&) const = default;
};

std::optional<size_t> SharedRunPlacement::Choose(
    const RunRequest& request,
    std::span<const WorkerCandidate> candidates) const {
  std::optional<size_t> best;
  Cost best_cost;
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (!MayRun(request, candidates[i]))
      continue;
    const std::optional<Cost> cost = CostOf(request, candidates[i]);
    if (cost && (!best || *cost < best_cost)) {
      best = i;
      best_cost = *cost;
    }
  }
  return best;
}

std::optional<SharedRunPlacement::Cost> SharedRunPlacement::CostOf(
    const RunRequest& request,
    const WorkerCandidate& candidate) const {
  const StepSpec& step = *request.step;
  if (step.is_filler)
    return FillerCostOf(request, candidate);
  Cost cost;
  cost.distrust = request.is_last_attempt && !candidate.is_trusted ? 1 : 0;
  if (!step.data_rack.empty() && !HasLabel(*candidate.offer, step.data_rack))
    cost.distance = 1;
  if (step.is_lasting) {
    const auto& images = candidate.room->lasting_images();
    cost.images = images.contains(step.image) ? 0 : images.size() + 1;
    cost.measure = -candidate.room->free_cpu();
  } else {
    cost.measure = candidate.room->free_cpu();
  }
  return cost;
}

double SharedRunPlacement::ExpectedLatency(
    const ServingFigure& figure,
    const WorkerCandidate& candidate) const {
  double measured = 0;
  double at_full_speed = 0;
  for (const FillerFigure& filler : candidate.fillers) {
    measured += m_pressure.Expect(figure.image, filler.image).percent_per_core *
                static_cast<double>(filler.cpu_millicores) / 1'000;
  }
  for (const auto& [image, cpu] : candidate.room->filler_cpu_by_image()) {
    at_full_speed += m_pressure.Expect(figure.image, image).percent_per_core *
                     static_cast<double>(cpu) / 1'000;
  }
  // The load of a serving task swings; a low moment must not attract fillers
  // that have to be slowed down soon after.
  const double base =
      std::max(static_cast<double>(figure.latency_percent) - measured,
               m_pressure.BaseOf(figure.image) + kLoadSwing);
  return base + at_full_speed;
}

std::optional<SharedRunPlacement::Cost> SharedRunPlacement::FillerCostOf(
    const RunRequest& request,
    const WorkerCandidate& candidate) const {
  const StepSpec& step = *request.step;
  const double cores = static_cast<double>(step.cpu_millicores) / 1'000;
  double pressure = 0;
  bool goes_over_target = false;
  for (const ServingFigure& figure : candidate.serving) {
    const double added =
        m_pressure.Expect(figure.image, step.image).percent_per_core * cores;
    pressure += added;
    const double expected = ExpectedLatency(figure, candidate) + added;
    goes_over_target |=
        added > kNegligiblePressure && expected > kHighestLatency;
  }
  const int64_t speed = FillerSpeed(request, candidate);
  const bool is_unfit = goes_over_target || speed < kLowestFillerSpeed;
  if (is_unfit && !request.is_starving)
    return std::nullopt;
  Cost cost;
  cost.distrust = request.is_last_attempt && !candidate.is_trusted ? 1 : 0;
  if (!step.data_rack.empty() && !HasLabel(*candidate.offer, step.data_rack))
    cost.distance = 1;
  cost.pressure = static_cast<int64_t>(pressure / kPressureStep);
  cost.measure = -speed;
  return cost;
}

}  // namespace fulmarrock
