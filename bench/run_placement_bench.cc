#include <chrono>
#include <cmath>
#include <memory>
#include <string>
#include <vector>

#include "bench/benchmark.h"
#include "source/base/seeded_random.h"
#include "source/workflow/run_placement.h"

// Cost of choosing a worker for a task of a workflow, with a backlog of as many
// tasks as workers, by the number of workers.

namespace fulmarrock::bench {
namespace {

constexpr uint64_t kSeed = 20261204;
constexpr uint32_t kLatencyCriticalImages = 16;
constexpr uint32_t kBestEffortImages = 30;
constexpr uint32_t kLongRunningTasksPerWorker = 4;
constexpr uint32_t kBestEffortTasksPerWorker = 3;
constexpr std::string_view kService = "svc";

std::string ImageName(std::string_view kind, uint64_t number) {
  return std::string(kind) + std::to_string(number);
}

StepSpec MakeLongRunning(SeededRandom& random) {
  StepSpec step;
  step.cpu_millicores = 3'000;
  step.memory_mib = 6'000;
  step.is_long_running = true;
  step.latency_target = Millis(4);
  step.image = ImageName("critical-", random.Below(kLatencyCriticalImages));
  return step;
}

StepSpec MakeBestEffort(SeededRandom& random) {
  StepSpec step;
  step.cpu_millicores = 1'800;
  step.memory_mib = 3'000;
  step.is_best_effort = true;
  step.has_checkpoints = true;
  step.image = ImageName("best-effort-", random.Below(kBestEffortImages));
  return step;
}

/// Workers with long-running and best-effort tasks and a model that knows how
/// their images interfere.
class Fleet {
 public:
  explicit Fleet(size_t workers) : m_random(kSeed) {
    LearnInterference();
    m_attributes.service = kService;
    m_attributes.cpu_millicores = 16'000;
    m_attributes.memory_mib = 62'500;
    m_allocations.reserve(workers);
    for (size_t i = 0; i < workers; ++i)
      AddWorker(static_cast<WorkerNumber>(i + 1));
  }

  /// Returns the mean time in microseconds of placing a task of one kind.
  double MeasurePlacement(bool is_best_effort, size_t tasks) {
    const InterferenceAwarePlacement placement(m_model);
    const auto begin = std::chrono::steady_clock::now();
    for (uint32_t i = 0; i < tasks; ++i) {
      const StepSpec step =
          is_best_effort ? MakeBestEffort(m_random) : MakeLongRunning(m_random);
      RunRequest request;
      request.task = {0, 0, 0, i};
      request.step = &step;
      request.service = kService;
      const auto position = placement.Choose(request, m_candidates);
      if (position)
        m_candidates[*position].allocation->Add(request.task, step);
    }
    const std::chrono::duration<double, std::micro> time =
        std::chrono::steady_clock::now() - begin;
    return time.count() / static_cast<double>(tasks);
  }

 private:
  void LearnInterference() {
    std::vector<InterferenceCoefficient> coefficients;
    for (uint32_t i = 0; i < kLatencyCriticalImages; ++i) {
      for (uint32_t j = 0; j < kBestEffortImages; ++j) {
        const bool interferes = m_random.Below(3) == 0;
        coefficients.push_back({ImageName("critical-", i),
                                ImageName("best-effort-", j),
                                interferes ? 0.4 : 0.01});
      }
    }
    m_model.Restore(coefficients);
  }

  void AddWorker(WorkerNumber number) {
    WorkerAllocation& allocation = m_allocations.emplace_back(m_attributes);
    for (uint32_t i = 0; i < kLongRunningTasksPerWorker; ++i)
      allocation.Add({number, 0, 0, i}, MakeLongRunning(m_random));
    for (uint32_t i = 0; i < kBestEffortTasksPerWorker; ++i)
      allocation.Add({number, 1, 0, i}, MakeBestEffort(m_random));
    WorkerCandidate candidate;
    candidate.number = number;
    candidate.attributes = &m_attributes;
    candidate.allocation = &allocation;
    m_candidates.push_back(candidate);
  }

  SeededRandom m_random;
  ExponentialInterferenceModel m_model;
  WorkerAttributes m_attributes;
  std::vector<WorkerAllocation> m_allocations;
  std::vector<WorkerCandidate> m_candidates;
};

void MeasureRunPlacement() {
  constexpr size_t kTasks = 100;
  for (const size_t workers : {11, 240, 5'300}) {
    const std::string suffix = "_" + std::to_string(workers);
    ReportFigure("run_placement_best_effort_us" + suffix,
                 Fleet(workers).MeasurePlacement(true, kTasks), "us");
    ReportFigure("run_placement_long_running_us" + suffix,
                 Fleet(workers).MeasurePlacement(false, kTasks), "us");
  }
}

const BenchmarkRegistration kRunPlacement("run_placement",
                                          &MeasureRunPlacement);

}  // namespace
}  // namespace fulmarrock::bench
