#include "source/workflow/run_placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <unordered_map>

namespace fulmarrock {
namespace {

/// A best-effort task is not placed where it would run below this percentage of
/// its full speed.
constexpr int64_t kMinBestEffortSpeed = 70;

/// A best-effort task is not placed where it would raise a latency above this
/// percentage of its objective.
constexpr double kMaxExpectedLatency = 95;
/// Growth of a latency, as a logarithm, that counts as negligible.
constexpr double kNegligibleGrowth = 0.08;
/// Factor by which a latency without best-effort tasks is expected to rise
/// above its mean.
constexpr double kLoadVariationFactor = 1.1;
/// Growths of latencies, as logarithms, are compared in steps of this size, so
/// that workers with about the same growth rank equally.
constexpr double kGrowthStep = 0.15;

constexpr double kMillicores = 1'000;

bool HasLabel(const WorkerAttributes& attributes, std::string_view label) {
  return std::find(attributes.labels.begin(), attributes.labels.end(), label) !=
         attributes.labels.end();
}

/// Speed limit of an image's best-effort tasks on a worker, in percent of full
/// speed.
int64_t SpeedLimitOf(const WorkerCandidate& candidate, std::string_view image) {
  for (const BestEffortSample& sample : candidate.best_effort_samples) {
    if (sample.image == image)
      return sample.speed_limit_percent;
  }
  return 100;
}

/// Expected speed of another best-effort task on the worker, in percent of full
/// speed. CPU time that speed-limited tasks leave unused is available to it.
int64_t BestEffortSpeed(const RunRequest& request,
                        const WorkerCandidate& candidate) {
  int64_t demand = request.step->cpu_millicores;
  for (const auto& [image, cpu] :
       candidate.allocation->best_effort_cpu_by_image())
    demand += cpu * SpeedLimitOf(candidate, image) / 100;
  const int64_t idle =
      std::max<int64_t>(candidate.allocation->ExpectedIdleCpu(), 0);
  return std::min<int64_t>(idle * 100 / std::max<int64_t>(demand, 1), 100) *
         SpeedLimitOf(candidate, request.step->image) / 100;
}

/// Whether a worker belongs to the service of the task and has its label.
bool IsEligible(const RunRequest& request, const WorkerAttributes& worker) {
  const std::string& label = request.step->required_label;
  return worker.service == request.service &&
         (label.empty() || HasLabel(worker, label));
}

}  // namespace

bool CouldRun(const RunRequest& request, const WorkerCandidate& candidate) {
  return IsEligible(request, *candidate.attributes) &&
         candidate.allocation->FitsAlone(*request.step);
}

bool MayRun(const RunRequest& request, const WorkerCandidate& candidate) {
  if (!IsEligible(request, *candidate.attributes))
    return false;
  const StepSpec& step = *request.step;
  if (step.max_per_worker > 0 &&
      candidate.allocation->CountOfStep(request.task) >= step.max_per_worker) {
    return false;
  }
  return candidate.allocation->Fits(step);
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

struct InterferenceAwarePlacement::Cost {
  int health_penalty = 0;
  int distance = 0;
  /// For long-running tasks: best-effort images with negligible interference on
  /// the worker so far that would interfere with the task.
  int64_t excluded_images = 0;
  /// For long-running tasks: different images that would share the worker; zero
  /// if the task's own image is there already.
  size_t images = 0;
  /// For best-effort tasks: growth of latencies in steps of kGrowthStep.
  int64_t growth = 0;
  /// For best-effort tasks: best-effort images that could run there with
  /// negligible interference. A worker compatible with few images is preferred.
  int64_t compatible_images = 0;
  int64_t tie_breaker = 0;

  auto operator<=>(const Cost&) const = default;
};

/// Interference of the latency-critical images with best-effort images, looked
/// up once for each image while a worker is chosen for one task.
class InterferenceAwarePlacement::PairCache {
 public:
  struct Entry {
    /// Best-effort images with negligible interference.
    BestEffortImageSet negligible;
    /// Growth per core beside the image of the task that is being placed.
    double growth_per_core = 0;
  };

  PairCache(const BestEffortInterferenceModel& model, std::string_view image)
      : m_model(model), m_image(image) {}

  const Entry& Of(std::string_view latency_critical_image) {
    const auto [it, is_new] = m_entries.try_emplace(latency_critical_image);
    if (is_new) {
      it->second.negligible =
          m_model.ImagesBelow(latency_critical_image, kNegligibleGrowth);
      it->second.growth_per_core =
          m_model.EstimateInterference(latency_critical_image, m_image)
              .growth_per_core;
    }
    return it->second;
  }

  /// Best-effort images whose interference with every latency-critical image
  /// of the worker is negligible.
  BestEffortImageSet CompatibleImages(const WorkerCandidate& candidate) {
    BestEffortImageSet images =
        m_model.ImagesBelow({}, std::numeric_limits<double>::infinity());
    for (const auto& [image, count] :
         candidate.allocation->latency_critical_images())
      images &= Of(image).negligible;
    return images;
  }

 private:
  const BestEffortInterferenceModel& m_model;
  const std::string_view m_image;
  std::unordered_map<std::string_view, Entry> m_entries;
};

std::optional<size_t> InterferenceAwarePlacement::Choose(
    const RunRequest& request,
    std::span<const WorkerCandidate> candidates) const {
  PairCache pairs(m_interference_model, request.step->image);
  std::optional<size_t> best;
  Cost best_cost;
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (!MayRun(request, candidates[i]))
      continue;
    const std::optional<Cost> cost = CostOf(request, candidates[i], pairs);
    if (cost && (!best || *cost < best_cost)) {
      best = i;
      best_cost = *cost;
    }
  }
  return best;
}

std::optional<InterferenceAwarePlacement::Cost>
InterferenceAwarePlacement::CostOf(const RunRequest& request,
                                   const WorkerCandidate& candidate,
                                   PairCache& pairs) const {
  const StepSpec& step = *request.step;
  if (step.is_best_effort)
    return BestEffortCostOf(request, candidate, pairs);
  Cost cost;
  cost.health_penalty =
      request.is_last_attempt && !candidate.is_healthy ? 1 : 0;
  if (!step.data_rack.empty() &&
      !HasLabel(*candidate.attributes, step.data_rack))
    cost.distance = 1;
  if (step.is_long_running) {
    const auto& images = candidate.allocation->latency_critical_images();
    if (!images.contains(step.image)) {
      const BestEffortImageSet excluded =
          pairs.CompatibleImages(candidate) & ~pairs.Of(step.image).negligible;
      cost.excluded_images = static_cast<int64_t>(excluded.count());
      cost.images = images.size() + 1;
    }
  }
  cost.tie_breaker = candidate.allocation->free_cpu();
  return cost;
}

double InterferenceAwarePlacement::ExpectedBaselineLatency(
    std::string_view image,
    const WorkerCandidate& candidate) const {
  // The load of a latency-critical task varies; a moment of low load must not
  // attract best-effort tasks that need a speed limit soon after.
  double latency =
      m_interference_model.BaselineLatency(image) * kLoadVariationFactor;
  double growth = 0;
  for (const BestEffortSample& best_effort : candidate.best_effort_samples) {
    growth +=
        m_interference_model.EstimateInterference(image, best_effort.image)
            .growth_per_core *
        static_cast<double>(best_effort.cpu_millicores) / kMillicores;
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

double InterferenceAwarePlacement::GrowthAtFullSpeed(
    std::string_view image,
    const WorkerCandidate& candidate) const {
  double growth = 0;
  for (const auto& [best_effort, cpu] :
       candidate.allocation->best_effort_cpu_by_image()) {
    growth += m_interference_model.EstimateInterference(image, best_effort)
                  .growth_per_core *
              static_cast<double>(cpu) / kMillicores;
  }
  return growth;
}

bool InterferenceAwarePlacement::ExceedsObjective(
    std::string_view image,
    double added,
    const WorkerCandidate& candidate) const {
  if (added <= kNegligibleGrowth)
    return false;
  const double expected = ExpectedBaselineLatency(image, candidate) *
                          std::exp(GrowthAtFullSpeed(image, candidate) + added);
  return expected > kMaxExpectedLatency;
}

std::optional<InterferenceAwarePlacement::Cost>
InterferenceAwarePlacement::BestEffortCostOf(const RunRequest& request,
                                             const WorkerCandidate& candidate,
                                             PairCache& pairs) const {
  const StepSpec& step = *request.step;
  const int64_t speed = BestEffortSpeed(request, candidate);
  if (speed < kMinBestEffortSpeed && !request.is_starving)
    return std::nullopt;
  const double cores = static_cast<double>(step.cpu_millicores) / kMillicores;
  double growth = 0;
  for (const auto& [image, count] :
       candidate.allocation->latency_critical_images()) {
    const double added = pairs.Of(image).growth_per_core * cores;
    growth += added;
    if (!request.is_starving && ExceedsObjective(image, added, candidate))
      return std::nullopt;
  }
  Cost cost;
  cost.health_penalty =
      request.is_last_attempt && !candidate.is_healthy ? 1 : 0;
  if (!step.data_rack.empty() &&
      !HasLabel(*candidate.attributes, step.data_rack))
    cost.distance = 1;
  cost.growth = static_cast<int64_t>(growth / kGrowthStep);
  cost.compatible_images =
      static_cast<int64_t>(pairs.CompatibleImages(candidate).count());
  cost.tie_breaker = -speed;
  return cost;
}

}  // namespace fulmarrock
