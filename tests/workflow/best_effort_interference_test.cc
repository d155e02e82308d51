#include <cmath>

#include <catch2/catch.hpp>

#include "source/agent/best_effort_controller.h"
#include "source/base/seeded_random.h"
#include "source/workflow/best_effort_interference_model.h"
#include "source/workflow/run_placement.h"
#include "source/workflow/workflow_state.h"

// Best-effort tasks colocated with latency-critical tasks. Load pattern: few
// pairs of images interfere strongly, most not at all, and the load of the
// latency-critical tasks varies.

namespace fulmarrock::test {
namespace {

constexpr double kHeavyGrowth = 0.22;

double Noise(SeededRandom& random, double size) {
  return (static_cast<double>(random.Below(2'001)) / 1'000 - 1) * size;
}

BestEffortSample MakeSample(const char* image,
                            int64_t cpu,
                            int64_t speed_limit = 100) {
  return {image, cpu, speed_limit};
}

/// A model that learned: each core of "heavy" raises the latency of "touchy" by
/// a quarter (0.22 as a logarithm), and no other pair interferes.
ExponentialInterferenceModel TrainedModel() {
  ExponentialInterferenceModel model;
  SeededRandom random(7);
  for (int i = 0; i < 300; ++i) {
    const auto heavy = static_cast<int64_t>(random.Below(3'000));
    const auto light = static_cast<int64_t>(random.Below(3'000));
    const std::vector<BestEffortSample> best_effort_samples = {
        MakeSample("heavy", heavy), MakeSample("light", light)};
    const double touchy =
        40 * std::exp(kHeavyGrowth * static_cast<double>(heavy) / 1'000 +
                      Noise(random, 0.3));
    const double calm = 40 * std::exp(Noise(random, 0.3));
    const std::vector<LatencyCriticalSample> latency_critical_samples = {
        {"touchy", static_cast<int64_t>(touchy)},
        {"calm", static_cast<int64_t>(calm)}};
    model.Record(latency_critical_samples, best_effort_samples);
  }
  return model;
}

StepSpec BestEffortStep(const char* image) {
  StepSpec step;
  step.is_best_effort = true;
  step.image = image;
  step.cpu_millicores = 2'000;
  step.memory_mib = 100;
  return step;
}

struct Worker {
  explicit Worker(const char* latency_critical_image)
      : allocation(MakeWorkerAttributes()) {
    StepSpec latency_critical_step;
    latency_critical_step.is_long_running = true;
    latency_critical_step.image = latency_critical_image;
    latency_critical_step.latency_target = Millis(10);
    latency_critical_step.cpu_millicores = 8'000;
    latency_critical_step.memory_mib = 100;
    allocation.Add({1, 0, 0, 0}, latency_critical_step);
    latency_samples = {{latency_critical_image, 45}};
  }
  static WorkerAttributes MakeWorkerAttributes() {
    WorkerAttributes attributes;
    attributes.service = "svc";
    attributes.cpu_millicores = 16'000;
    attributes.memory_mib = 10'000;
    return attributes;
  }
  WorkerCandidate Candidate() {
    WorkerCandidate candidate;
    candidate.attributes = &attributes;
    candidate.allocation = &allocation;
    candidate.latency_critical_samples = latency_samples;
    candidate.best_effort_samples = best_effort_samples;
    return candidate;
  }
  WorkerAttributes attributes = MakeWorkerAttributes();
  WorkerAllocation allocation;
  std::vector<LatencyCriticalSample> latency_samples;
  std::vector<BestEffortSample> best_effort_samples;
};

std::unique_ptr<SpeedLimitPolicy> MakeSpeedLimit() {
  return std::make_unique<LatencyGuidedSpeedLimit>();
}

}  // namespace

TEST_CASE("The model finds the interfering pair while the load varies") {
  const ExponentialInterferenceModel model = TrainedModel();
  CHECK(model.EstimateInterference("touchy", "heavy").is_known);
  CHECK(model.EstimateInterference("touchy", "heavy").growth_per_core ==
        Approx(kHeavyGrowth).margin(0.04));
  CHECK(model.EstimateInterference("touchy", "light").growth_per_core < 0.04);
  CHECK(model.EstimateInterference("calm", "heavy").growth_per_core < 0.04);
  CHECK(model.BaselineLatency("calm") == Approx(40).margin(6));
}

TEST_CASE("A pair without samples has a small coefficient that is not known") {
  const ExponentialInterferenceModel model = TrainedModel();
  CHECK_FALSE(model.EstimateInterference("touchy", "new").is_known);
  CHECK(model.EstimateInterference("touchy", "new").growth_per_core > 0);
}

TEST_CASE(
    "A best-effort task is placed where it does not interfere, but not by the "
    "baseline") {
  const ExponentialInterferenceModel model = TrainedModel();
  const InterferenceAwarePlacement placement(model);
  Worker touchy("touchy");
  Worker calm("calm");
  const std::vector<WorkerCandidate> candidates = {touchy.Candidate(),
                                                   calm.Candidate()};
  const StepSpec step = BestEffortStep("heavy");
  RunRequest request;
  request.task = {2, 0, 0, 0};
  request.step = &step;
  request.service = "svc";
  CHECK(placement.Choose(request, candidates) == size_t{1});
  CHECK(FirstFitRunPlacement().Choose(request, candidates) == size_t{0});
}

TEST_CASE(
    "A best-effort task stays pending where it would raise a latency above its "
    "objective") {
  const ExponentialInterferenceModel model = TrainedModel();
  const InterferenceAwarePlacement placement(model);
  Worker touchy("touchy");
  const StepSpec step = BestEffortStep("heavy");
  touchy.allocation.Add({2, 0, 0, 0}, step);
  const std::vector<WorkerCandidate> candidates = {touchy.Candidate()};
  RunRequest request;
  request.task = {2, 0, 0, 1};
  request.step = &step;
  request.service = "svc";
  CHECK_FALSE(placement.Choose(request, candidates).has_value());
  request.is_starving = true;
  CHECK(placement.Choose(request, candidates).has_value());
}

TEST_CASE(
    "Best-effort tasks with a speed limit do not keep tasks of other images "
    "from a worker") {
  const ExponentialInterferenceModel model = TrainedModel();
  const InterferenceAwarePlacement placement(model);
  Worker touchy("touchy");
  const StepSpec heavy = BestEffortStep("heavy");
  for (uint32_t i = 0; i < 6; ++i)
    touchy.allocation.Add({2, 0, 0, i}, heavy);
  touchy.best_effort_samples = {MakeSample("heavy", 0, 0)};
  const std::vector<WorkerCandidate> candidates = {touchy.Candidate()};
  const StepSpec light = BestEffortStep("light");
  RunRequest request;
  request.task = {3, 0, 0, 0};
  request.step = &light;
  request.service = "svc";
  CHECK(placement.Choose(request, candidates).has_value());
}

TEST_CASE("Only the best-effort tasks that interfere get a speed limit") {
  BestEffortController control(&MakeSpeedLimit);
  const std::vector<InterferenceCoefficient> interference_coefficients = {
      {"touchy", "heavy", 0.2}, {"touchy", "light", 0}};
  control.SetInterferenceCoefficients(interference_coefficients);
  const std::vector<ImageCpuUse> uses = {{"heavy", 3'000}, {"light", 3'000}};
  Millis now(1'000'000);
  const std::vector<LatencyCriticalSample> latency_critical_samples = {
      {"touchy", 120}};
  for (int i = 0; i < 10; ++i) {
    now += Millis(200);
    control.Update(latency_critical_samples, uses, now);
  }
  CHECK(control.SpeedLimitOf("heavy") < 50);
  CHECK(control.SpeedLimitOf("light") == 100);
}

TEST_CASE(
    "All best-effort tasks are stopped for a latency that stays above its "
    "objective") {
  BestEffortController control(&MakeSpeedLimit);
  const std::vector<InterferenceCoefficient> interference_coefficients = {
      {"touchy", "heavy", 0.2}, {"touchy", "light", 0}};
  control.SetInterferenceCoefficients(interference_coefficients);
  const std::vector<ImageCpuUse> uses = {{"heavy", 3'000}, {"light", 3'000}};
  const std::vector<LatencyCriticalSample> latency_critical_samples = {
      {"touchy", 120}};
  const Millis begin(1'000'000);
  Millis now = begin;
  // The latency may exceed its objective for at most 4 s; a stop takes up to
  // two to show in the samples.
  while (now < begin + Millis(2'600)) {
    now += Millis(200);
    control.Update(latency_critical_samples, uses, now);
  }
  CHECK(control.SpeedLimitOf("light") == 0);
  CHECK(control.SpeedLimitOf("heavy") == 0);
}

TEST_CASE("A stopped best-effort task is soon at full speed again") {
  // Load pattern: a short rise of a latency-critical load. Slow recovery would
  // leave CPU idle for longer than the rise lasted.
  BestEffortController control(&MakeSpeedLimit);
  const std::vector<ImageCpuUse> uses = {{"heavy", 3'000}};
  const std::vector<LatencyCriticalSample> high = {{"touchy", 300}};
  const std::vector<LatencyCriticalSample> low = {{"touchy", 40}};
  Millis now(1'000'000);
  control.Update(high, uses, now);
  REQUIRE(control.SpeedLimitOf("heavy") == 0);
  for (int i = 0; i < 20; ++i) {
    now += Millis(200);
    control.Update(low, uses, now);
  }
  CHECK(control.SpeedLimitOf("heavy") == 100);
}

TEST_CASE("Single high samples do not hide which pair interferes") {
  // Load pattern: overloaded tasks have latencies of many times the objective.
  ExponentialInterferenceModel model;
  SeededRandom random(11);
  for (int i = 0; i < 300; ++i) {
    const auto heavy = static_cast<int64_t>(random.Below(3'000));
    const auto light = static_cast<int64_t>(random.Below(12'000));
    const std::vector<BestEffortSample> best_effort_samples = {
        MakeSample("heavy", heavy), MakeSample("light", light)};
    double latency =
        40 * std::exp(kHeavyGrowth * static_cast<double>(heavy) / 1'000);
    if (random.Below(20) == 0)
      latency = 1'500;
    const std::vector<LatencyCriticalSample> latency_critical_samples = {
        {"touchy", static_cast<int64_t>(latency)}};
    model.Record(latency_critical_samples, best_effort_samples);
  }
  CHECK(model.EstimateInterference("touchy", "light").growth_per_core < 0.08);
  CHECK(model.EstimateInterference("touchy", "heavy").growth_per_core >
        2 * model.EstimateInterference("touchy", "light").growth_per_core);
}

TEST_CASE("A new leader knows which pairs interfere") {
  // Load pattern: leaders change while best-effort tasks run. Without the
  // stored coefficients, each new leader would place them beside tasks that
  // they interfere with.
  WorkflowState state;
  WorkflowBatch batch;
  batch.interference_coefficients = TrainedModel().KnownCoefficients();
  state.Apply(batch, Millis(1'000'000));
  WorkflowState restored;
  restored.Restore(state.Save());
  ExponentialInterferenceModel model;
  model.Restore(restored.InterferenceCoefficients());
  CHECK(model.EstimateInterference("touchy", "heavy").is_known);
  CHECK(model.EstimateInterference("touchy", "heavy").growth_per_core ==
        TrainedModel().EstimateInterference("touchy", "heavy").growth_per_core);
  CHECK_FALSE(model.EstimateInterference("touchy", "new").is_known);
}

TEST_CASE(
    "A best-effort task leaves workers free that are compatible with more "
    "images") {
  // Load pattern: few workers are compatible with an interfering image.
  // Best-effort tasks without interference must not use their CPU while other
  // workers are suitable.
  const ExponentialInterferenceModel model = TrainedModel();
  const InterferenceAwarePlacement placement(model);
  Worker calm("calm");
  Worker touchy("touchy");
  const std::vector<WorkerCandidate> candidates = {calm.Candidate(),
                                                   touchy.Candidate()};
  const StepSpec light = BestEffortStep("light");
  RunRequest request;
  request.task = {3, 0, 0, 0};
  request.step = &light;
  request.service = "svc";
  CHECK(placement.Choose(request, candidates) == size_t{1});
}

TEST_CASE(
    "A long-running task is placed where it excludes the fewest best-effort "
    "images") {
  // Load pattern: long-running tasks occupy all workers. A latency-critical
  // task beside "calm" would leave no worker to the best-effort images that
  // interfere with it.
  const ExponentialInterferenceModel model = TrainedModel();
  const InterferenceAwarePlacement placement(model);
  Worker calm("calm");
  Worker touchy("touchy");
  StepSpec more;
  more.is_long_running = true;
  more.image = "third";
  more.latency_target = Millis(10);
  more.cpu_millicores = 1'000;
  touchy.allocation.Add({4, 0, 0, 0}, more);
  const std::vector<WorkerCandidate> candidates = {calm.Candidate(),
                                                   touchy.Candidate()};
  StepSpec step = more;
  step.image = "fourth";
  RunRequest request;
  request.task = {9, 0, 0, 0};
  request.step = &step;
  request.service = "svc";
  CHECK(placement.Choose(request, candidates) == size_t{1});
}

TEST_CASE(
    "A latency that its own load raises stops a best-effort task only while it "
    "lasts") {
  BestEffortController control(&MakeSpeedLimit);
  const std::vector<InterferenceCoefficient> interference_coefficients = {
      {"touchy", "heavy", 0.2}};
  control.SetInterferenceCoefficients(interference_coefficients);
  Millis now(1'000'000);
  const std::vector<ImageCpuUse> idle = {{"heavy", 0}};
  const std::vector<LatencyCriticalSample> high = {{"touchy", 150}};
  for (int i = 0; i < 20; ++i) {
    now += Millis(200);
    control.Update(high, idle, now);
  }
  CHECK(control.SpeedLimitOf("heavy") == 0);
  const std::vector<LatencyCriticalSample> low = {{"touchy", 30}};
  for (int i = 0; i < 40; ++i) {
    now += Millis(200);
    control.Update(low, idle, now);
  }
  CHECK(control.SpeedLimitOf("heavy") > 50);
}

TEST_CASE("Long-running tasks of one image share workers") {
  const ExponentialInterferenceModel model;
  const InterferenceAwarePlacement placement(model);
  Worker calm("calm");
  Worker touchy("touchy");
  const std::vector<WorkerCandidate> candidates = {calm.Candidate(),
                                                   touchy.Candidate()};
  StepSpec step;
  step.is_long_running = true;
  step.image = "touchy";
  step.cpu_millicores = 2'000;
  RunRequest request;
  request.task = {9, 0, 0, 0};
  request.step = &step;
  request.service = "svc";
  CHECK(placement.Choose(request, candidates) == size_t{1});
}

}  // namespace fulmarrock::test
