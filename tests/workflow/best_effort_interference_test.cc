#include <cmath>

#include <catch2/catch.hpp>

#include "source/agent/best_effort_controller.h"
#include "source/base/seeded_random.h"
#include "source/workflow/best_effort_interference_model.h"
#include "source/workflow/run_placement.h"
#include "source/workflow/workflow_state.h"

// Fillers beside tasks that serve. Load pattern: few pairs of images disturb
// each other strongly, most not at all, and the serving load swings.

namespace fulmarrock::test {
namespace {

constexpr double kHeavyGrowth = 0.22;

double Noise(SeededRandom& random, double size) {
  return (static_cast<double>(random.Below(2'001)) / 1'000 - 1) * size;
}

BestEffortSample Filler(const char* image, int64_t cpu, int64_t pace = 100) {
  return {image, cpu, pace};
}

/// A model that knows: each core of "heavy" raises the latency of "touchy" by a
/// quarter (0.22 as a logarithm), nothing else disturbs anything.
ExponentialInterferenceModel TrainedModel() {
  ExponentialInterferenceModel model;
  SeededRandom random(7);
  for (int i = 0; i < 300; ++i) {
    const auto heavy = static_cast<int64_t>(random.Below(3'000));
    const auto light = static_cast<int64_t>(random.Below(3'000));
    const std::vector<BestEffortSample> best_effort_samples = {
        Filler("heavy", heavy), Filler("light", light)};
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

StepSpec FillerStep(const char* image) {
  StepSpec step;
  step.is_best_effort = true;
  step.image = image;
  step.cpu_millicores = 2'000;
  step.memory_mib = 100;
  return step;
}

struct Worker {
  explicit Worker(const char* latency_critical_image) : room(Offer()) {
    StepSpec serving_step;
    serving_step.is_long_running = true;
    serving_step.image = latency_critical_image;
    serving_step.latency_target = Millis(10);
    serving_step.cpu_millicores = 8'000;
    serving_step.memory_mib = 100;
    room.Add({1, 0, 0, 0}, serving_step);
    figures = {{latency_critical_image, 45}};
  }
  static WorkerAttributes Offer() {
    WorkerAttributes attributes;
    attributes.service = "svc";
    attributes.cpu_millicores = 16'000;
    attributes.memory_mib = 10'000;
    return attributes;
  }
  WorkerCandidate Candidate() {
    WorkerCandidate candidate;
    candidate.attributes = &attributes;
    candidate.room = &room;
    candidate.latency_critical_samples = figures;
    candidate.best_effort_samples = best_effort_samples;
    return candidate;
  }
  WorkerAttributes attributes = Offer();
  WorkerAllocation room;
  std::vector<LatencyCriticalSample> figures;
  std::vector<BestEffortSample> best_effort_samples;
};

std::unique_ptr<SpeedLimitPolicy> MakePace() {
  return std::make_unique<LatencyGuidedSpeedLimit>();
}

}  // namespace

TEST_CASE("The model finds the pair that disturbs among swinging loads") {
  const ExponentialInterferenceModel model = TrainedModel();
  CHECK(model.Expect("touchy", "heavy").is_known);
  CHECK(model.Expect("touchy", "heavy").growth_per_core ==
        Approx(kHeavyGrowth).margin(0.04));
  CHECK(model.Expect("touchy", "light").growth_per_core < 0.04);
  CHECK(model.Expect("calm", "heavy").growth_per_core < 0.04);
  CHECK(model.BaseOf("calm") == Approx(40).margin(6));
}

TEST_CASE("An unknown pair is expected to disturb a little and is not known") {
  const ExponentialInterferenceModel model = TrainedModel();
  CHECK_FALSE(model.Expect("touchy", "new").is_known);
  CHECK(model.Expect("touchy", "new").growth_per_core > 0);
}

TEST_CASE("A filler goes where it disturbs nobody, the baseline anywhere") {
  const ExponentialInterferenceModel model = TrainedModel();
  const SharedRunPlacement placement(model);
  Worker touchy("touchy");
  Worker calm("calm");
  const std::vector<WorkerCandidate> candidates = {touchy.Candidate(),
                                                   calm.Candidate()};
  const StepSpec step = FillerStep("heavy");
  RunRequest request;
  request.task = {2, 0, 0, 0};
  request.step = &step;
  request.service = "svc";
  CHECK(placement.Choose(request, candidates) == size_t{1});
  CHECK(FirstFitRunPlacement().Choose(request, candidates) == size_t{0});
}

TEST_CASE("A filler waits where it would push a latency over its target") {
  const ExponentialInterferenceModel model = TrainedModel();
  const SharedRunPlacement placement(model);
  Worker touchy("touchy");
  const StepSpec step = FillerStep("heavy");
  touchy.room.Add({2, 0, 0, 0}, step);
  const std::vector<WorkerCandidate> candidates = {touchy.Candidate()};
  RunRequest request;
  request.task = {2, 0, 0, 1};
  request.step = &step;
  request.service = "svc";
  CHECK_FALSE(placement.Choose(request, candidates).has_value());
  request.is_starving = true;
  CHECK(placement.Choose(request, candidates).has_value());
}

TEST_CASE("Slowed-down fillers do not keep harmless ones from a worker") {
  const ExponentialInterferenceModel model = TrainedModel();
  const SharedRunPlacement placement(model);
  Worker touchy("touchy");
  const StepSpec heavy = FillerStep("heavy");
  for (uint32_t i = 0; i < 6; ++i)
    touchy.room.Add({2, 0, 0, i}, heavy);
  touchy.best_effort_samples = {Filler("heavy", 0, 0)};
  const std::vector<WorkerCandidate> candidates = {touchy.Candidate()};
  const StepSpec light = FillerStep("light");
  RunRequest request;
  request.task = {3, 0, 0, 0};
  request.step = &light;
  request.service = "svc";
  CHECK(placement.Choose(request, candidates).has_value());
}

TEST_CASE("Only the fillers that disturb a task are slowed down for it") {
  BestEffortController control(&MakePace);
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
  CHECK(control.PercentOf("heavy") < 50);
  CHECK(control.PercentOf("light") == 100);
}

TEST_CASE("All fillers answer for a latency that stays over its target") {
  BestEffortController control(&MakePace);
  const std::vector<InterferenceCoefficient> interference_coefficients = {
      {"touchy", "heavy", 0.2}, {"touchy", "light", 0}};
  control.SetInterferenceCoefficients(interference_coefficients);
  const std::vector<ImageCpuUse> uses = {{"heavy", 3'000}, {"light", 3'000}};
  const std::vector<LatencyCriticalSample> latency_critical_samples = {
      {"touchy", 120}};
  const Millis begin(1'000'000);
  Millis now = begin;
  // The users' limit is 4 s; a stop needs up to two to show.
  while (now < begin + Millis(2'600)) {
    now += Millis(200);
    control.Update(latency_critical_samples, uses, now);
  }
  CHECK(control.PercentOf("light") == 0);
  CHECK(control.PercentOf("heavy") == 0);
}

TEST_CASE("A filler that was stopped is soon at full speed again") {
  // Load pattern: a short rise of a serving load. Slow recovery would leave
  // processors idle for longer than the rise lasted.
  BestEffortController control(&MakePace);
  const std::vector<ImageCpuUse> uses = {{"heavy", 3'000}};
  const std::vector<LatencyCriticalSample> high = {{"touchy", 300}};
  const std::vector<LatencyCriticalSample> low = {{"touchy", 40}};
  Millis now(1'000'000);
  control.Update(high, uses, now);
  REQUIRE(control.PercentOf("heavy") == 0);
  for (int i = 0; i < 20; ++i) {
    now += Millis(200);
    control.Update(low, uses, now);
  }
  CHECK(control.PercentOf("heavy") == 100);
}

TEST_CASE("Single high figures do not hide which pair disturbs") {
  // Load pattern: overloaded tasks show latencies of many times the target.
  ExponentialInterferenceModel model;
  SeededRandom random(11);
  for (int i = 0; i < 300; ++i) {
    const auto heavy = static_cast<int64_t>(random.Below(3'000));
    const auto light = static_cast<int64_t>(random.Below(12'000));
    const std::vector<BestEffortSample> best_effort_samples = {
        Filler("heavy", heavy), Filler("light", light)};
    double latency =
        40 * std::exp(kHeavyGrowth * static_cast<double>(heavy) / 1'000);
    if (random.Below(20) == 0)
      latency = 1'500;
    const std::vector<LatencyCriticalSample> latency_critical_samples = {
        {"touchy", static_cast<int64_t>(latency)}};
    model.Record(latency_critical_samples, best_effort_samples);
  }
  CHECK(model.Expect("touchy", "light").growth_per_core < 0.08);
  CHECK(model.Expect("touchy", "heavy").growth_per_core >
        2 * model.Expect("touchy", "light").growth_per_core);
}

TEST_CASE("A new leader knows which pairs disturb") {
  // Load pattern: leaders change while fillers run. Without the stored pairs,
  // each new leader would place them beside what they disturb.
  WorkflowState state;
  WorkflowBatch batch;
  batch.interference_coefficients = TrainedModel().KnownSlopes();
  state.Apply(batch, Millis(1'000'000));
  WorkflowState copy;
  copy.Restore(state.Save());
  ExponentialInterferenceModel model;
  model.Restore(copy.InterferenceCoefficients());
  CHECK(model.Expect("touchy", "heavy").is_known);
  CHECK(model.Expect("touchy", "heavy").growth_per_core ==
        TrainedModel().Expect("touchy", "heavy").growth_per_core);
  CHECK_FALSE(model.Expect("touchy", "new").is_known);
}

TEST_CASE("A filler leaves workers free that suit more images") {
  // Load pattern: few workers suit a disturbing image. Harmless fillers must
  // not take their processors while others would do.
  const ExponentialInterferenceModel model = TrainedModel();
  const SharedRunPlacement placement(model);
  Worker calm("calm");
  Worker touchy("touchy");
  const std::vector<WorkerCandidate> candidates = {calm.Candidate(),
                                                   touchy.Candidate()};
  const StepSpec light = FillerStep("light");
  RunRequest request;
  request.task = {3, 0, 0, 0};
  request.step = &light;
  request.service = "svc";
  CHECK(placement.Choose(request, candidates) == size_t{1});
}

TEST_CASE("A lasting task goes where it shuts out the fewest fillers") {
  // Load pattern: lasting tasks fill all workers. "touchy" beside "calm" would
  // leave no worker to the fillers that disturb it.
  const ExponentialInterferenceModel model = TrainedModel();
  const SharedRunPlacement placement(model);
  Worker calm("calm");
  Worker touchy("touchy");
  StepSpec more;
  more.is_long_running = true;
  more.image = "third";
  more.latency_target = Millis(10);
  more.cpu_millicores = 1'000;
  touchy.room.Add({4, 0, 0, 0}, more);
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
    "A latency that its own load raises gives way to no filler for long") {
  BestEffortController control(&MakePace);
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
  CHECK(control.PercentOf("heavy") == 0);
  const std::vector<LatencyCriticalSample> low = {{"touchy", 30}};
  for (int i = 0; i < 40; ++i) {
    now += Millis(200);
    control.Update(low, idle, now);
  }
  CHECK(control.PercentOf("heavy") > 50);
}

TEST_CASE("Lasting tasks of one image share workers") {
  const ExponentialInterferenceModel model;
  const SharedRunPlacement placement(model);
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
