#include "source/workflow/run_placement.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

namespace fulmarrock {
namespace {

/// A filler is not started where it would run at less than this part of its
/// full speed, in percent.
constexpr int64_t kLowestFillerSpeed = 70;

/// A filler goes nowhere where a latency would exceed this part of its target,
/// in percent, because of it.
constexpr double kHighestLatency = 95;
/// Growth of a latency, as a logarithm, that is put up with.
constexpr double kNegligibleGrowth = 0.08;
/// Factor by which a latency without fillers is expected to rise above its
/// mean.
constexpr double kLoadSwing = 1.1;
/// Workers whose latencies would grow by about as much, as a logarithm, are
/// equally good.
constexpr double kGrowthStep = 0.15;

constexpr double kMillicores = 1'000;

bool HasLabel(const WorkerAttributes& attributes, std::string_view label) {
  return std::find(attributes.labels.begin(), attributes.labels.end(), label) !=
         attributes.labels.end();
}

/// Share at which the fillers of an image work on a worker, in percent.
int64_t PaceOf(const WorkerCandidate& candidate, std::string_view image) {
  for (const BestEffortSample& sample : candidate.best_effort_samples) {
    if (sample.image == image)
      return sample.speed_limit_percent;
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
  if (candidate.attributes->service != request.service)
    return false;
  if (!step.required_label.empty() &&
      !HasLabel(*candidate.attributes, step.required_label)) {
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
  /// For lasting tasks: filler images that disturb nothing on the worker yet,
  /// but would disturb the task.
  int64_t lost_images = 0;
  /// For lasting tasks: different images that would share the worker, unless
  /// the task's own is there already.
  size_t images = 0;
  /// For fillers: growth of latencies in steps of kGrowthStep.
  int64_t growth = 0;
  /// For fillers: other filler images that could run there without harm. A
  /// worker that suits few images is taken first.
  int64_t suited_images = 0;
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
  if (step.is_best_effort)
    return FillerCostOf(request, candidate);
  Cost cost;
  cost.distrust = request.is_last_attempt && !candidate.is_trusted ? 1 : 0;
  if (!step.data_rack.empty() &&
      !HasLabel(*candidate.attributes, step.data_rack))
    cost.distance = 1;
  if (step.is_long_running) {
    const auto& images = candidate.room->serving_images();
    const bool is_new = !images.contains(step.image);
    cost.lost_images =
        is_new ? CountSuited(candidate, "") - CountSuited(candidate, step.image)
               : 0;
    cost.images = is_new ? images.size() + 1 : 0;
  }
  cost.measure = candidate.room->free_cpu();
  return cost;
}

double SharedRunPlacement::BaseLatency(std::string_view image,
                                       const WorkerCandidate& candidate) const {
  // The load of a serving task swings; a low moment must not attract fillers
  // that have to be slowed down soon after.
  double latency = m_interference_model.BaseOf(image) * kLoadSwing;
  double growth = 0;
  for (const BestEffortSample& filler : candidate.best_effort_samples) {
    growth += m_interference_model.Expect(image, filler.image).growth_per_core *
              static_cast<double>(filler.cpu_millicores) / kMillicores;
  }
  for (const LatencyCriticalSample& sample :
       candidate.latency_critical_samples) {
    if (sample.image == image) {
      latency = std::max(latency, static_cast<double>(sample.latency_percent) /
                                      std::exp(growth));
    }
  }
  return latency;
}

double SharedRunPlacement::GrowthAtFullSpeed(
    std::string_view image,
    const WorkerCandidate& candidate) const {
  double growth = 0;
  for (const auto& [filler, cpu] : candidate.room->filler_cpu_by_image()) {
    growth += m_interference_model.Expect(image, filler).growth_per_core *
              static_cast<double>(cpu) / kMillicores;
  }
  return growth;
}

bool SharedRunPlacement::IsHarmless(std::string_view serving,
                                    std::string_view filler) const {
  return m_interference_model.Expect(serving, filler).growth_per_core <
         kNegligibleGrowth;
}

int64_t SharedRunPlacement::CountSuited(const WorkerCandidate& candidate,
                                        std::string_view extra) const {
  const auto& serving = candidate.room->serving_images();
  const std::vector<std::string> fillers = m_interference_model.FillerImages();
  return std::count_if(
      fillers.begin(), fillers.end(), [&](const std::string& filler) {
        const bool suits_extra = extra.empty() || IsHarmless(extra, filler);
        return suits_extra &&
               std::all_of(serving.begin(), serving.end(),
                           [&](const auto& item) {
                             return IsHarmless(item.first, filler);
                           });
      });
}

std::optional<SharedRunPlacement::Cost> SharedRunPlacement::FillerCostOf(
    const RunRequest& request,
    const WorkerCandidate& candidate) const {
  const StepSpec& step = *request.step;
  const double cores = static_cast<double>(step.cpu_millicores) / kMillicores;
  double growth = 0;
  bool goes_over_target = false;
  for (const auto& [image, count] : candidate.room->serving_images()) {
    const double added =
        m_interference_model.Expect(image, step.image).growth_per_core * cores;
    growth += added;
    const double expected =
        BaseLatency(image, candidate) *
        std::exp(GrowthAtFullSpeed(image, candidate) + added);
    goes_over_target |= added > kNegligibleGrowth && expected > kHighestLatency;
  }
  const int64_t speed = FillerSpeed(request, candidate);
  const bool is_unfit = goes_over_target || speed < kLowestFillerSpeed;
  if (is_unfit && !request.is_starving)
    return std::nullopt;
  Cost cost;
  cost.distrust = request.is_last_attempt && !candidate.is_trusted ? 1 : 0;
  if (!step.data_rack.empty() &&
      !HasLabel(*candidate.attributes, step.data_rack))
    cost.distance = 1;
  cost.growth = static_cast<int64_t>(growth / kGrowthStep);
  cost.suited_images = CountSuited(candidate, "");
  cost.measure = -speed;
  return cost;
}

}  // namespace fulmarrock
