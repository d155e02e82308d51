#include <array>
#include <set>

#include <catch2/catch.hpp>

#include "source/placement/customer_order.h"
#include "source/placement/eviction_policy.h"
#include "source/placement/failure_attribution.h"
#include "source/placement/interference_model.h"
#include "source/placement/overload_tracker.h"
#include "source/placement/usage_estimator.h"

namespace fulmarrock {
namespace {

constexpr Millis kNow = Millis::FromSeconds(100'000);
const WorkloadKey kService = MakeWorkloadKey("wallwright");
const WorkloadKey kInterfering = MakeWorkloadKey("scan");
const WorkloadKey kNonInterfering = MakeWorkloadKey("study");

TEST_CASE("estimates follow measurements but never fall below declarations") {
  MeasuredEstimator estimator;
  const Resources declared{1'000, 2'000, 1};
  CHECK(estimator.EstimateSize(kInterfering, declared) == declared);
  // Fewer than three measurements do not change the estimate.
  CHECK_FALSE(estimator.RecordUsage(kInterfering, 3'000, 500));
  CHECK_FALSE(estimator.RecordUsage(kInterfering, 3'000, 500));
  CHECK(estimator.EstimateSize(kInterfering, declared) == declared);
  CHECK(estimator.RecordUsage(kInterfering, 3'000, 500));
  const Resources estimate = estimator.EstimateSize(kInterfering, declared);
  CHECK(estimate.cpu_millicores >= 3'000);
  CHECK(estimate.cpu_millicores <= 3'000 * 9 / 8);
  CHECK(estimate.memory_mib == 2'000);
  CHECK(estimate.accelerators == 1);
}

TEST_CASE("measured run times correct a wrong declaration after a few tasks") {
  MeasuredEstimator estimator;
  const Millis declared = Millis::FromSeconds(10);
  CHECK(estimator.EstimateRuntime(kInterfering, declared) == declared);
  for (int i = 0; i < 20; ++i)
    estimator.RecordRuntime(kInterfering, declared, Millis::FromSeconds(1'000));
  CHECK(estimator.EstimateRuntime(kInterfering, declared) >
        Millis::FromSeconds(800));
  CHECK(DeclaredEstimator().EstimateRuntime(kInterfering, Millis(0)) >
        Millis(0));
}

void RecordLatency(PairwiseInterferenceModel& model, int count, Millis now) {
  for (int i = 0; i < count; ++i) {
    model.Record(kService, std::array{kInterfering, kNonInterfering}, 2, now);
    model.Record(kService, std::array{kNonInterfering}, 0.7, now);
  }
}

TEST_CASE("an interfering workload is identified after enough measurements") {
  PairwiseInterferenceModel model;
  RecordLatency(model, 7, kNow);
  CHECK(model.Interference(kService, kInterfering, kNow) == 0);
  RecordLatency(model, 20, kNow);
  CHECK(model.Interference(kService, kInterfering, kNow) > 0.5);
  CHECK(model.Interference(kService, kNonInterfering, kNow) <
        model.Interference(kService, kInterfering, kNow) / 2);
  CHECK(model.Interference(kInterfering, kService, kNow) == 0);
}

TEST_CASE("the interference of a pair without new measurements expires") {
  PairwiseInterferenceModel model;
  RecordLatency(model, 20, kNow);
  CHECK(model.Interference(kService, kInterfering,
                           kNow + Millis::FromSeconds(4 * 3'600)) == 0);
}

TEST_CASE("a worker on which all jobs fail is quarantined and probed") {
  DistinctFailureAttribution failures;
  // Failures of a single job are not attributed to the worker.
  for (int i = 0; i < 10; ++i)
    failures.RecordFailure(1, 100, kNow);
  CHECK_FALSE(failures.IsQuarantined(1));
  failures.RecordFailure(1, 101, kNow);
  failures.RecordFailure(1, 102, kNow);
  CHECK(failures.IsQuarantined(1));
  CHECK(failures.TakeChanges() == std::vector<WorkerIndex>{1});
  CHECK(failures.DueProbes(kNow).empty());

  Millis now = kNow + Millis::FromSeconds(30);
  CHECK(failures.DueProbes(now) == std::vector<WorkerIndex>{1});
  failures.OnProbeStarted(1, now);
  CHECK(failures.DueProbes(now).empty());
  failures.RecordFailure(1, 103, now);
  now += Millis::FromSeconds(30);
  CHECK(failures.DueProbes(now).empty());
  now += Millis::FromSeconds(30);
  CHECK(failures.DueProbes(now) == std::vector<WorkerIndex>{1});
  failures.RecordSuccess(1, 104);
  CHECK_FALSE(failures.IsQuarantined(1));
  CHECK(failures.TakeChanges() == std::vector<WorkerIndex>{1});
}

TEST_CASE("a worker with successes between failures is not quarantined") {
  DistinctFailureAttribution failures;
  for (JobId job = 1; job < 20; ++job) {
    failures.RecordFailure(1, job, kNow);
    if (job % 2 == 0)
      failures.RecordSuccess(1, 1'000 + job);
  }
  CHECK_FALSE(failures.IsQuarantined(1));
}

// Guards against a quarantine of every worker on which three faulty jobs fail.
TEST_CASE("failures of jobs that fail everywhere are attributed to the jobs") {
  DistinctFailureAttribution failures;
  for (const WorkerIndex worker : {1u, 2u, 3u, 4u, 5u}) {
    for (const JobId job : {100u, 101u, 102u})
      failures.RecordFailure(worker, job, kNow);
  }
  for (const WorkerIndex worker : {1u, 2u, 3u, 4u, 5u})
    CHECK_FALSE(failures.IsQuarantined(worker));
  CHECK(failures.IsJobAtFault(100));
  failures.RecordSuccess(9, 100);
  CHECK_FALSE(failures.IsJobAtFault(100));
}

/// A worker with four cores, and specifications of `count` tasks with one core.
class EvictionFixture {
 public:
  explicit EvictionFixture(size_t count)
      : cluster([](WorkerIndex, const Worker&) {}), policy(estimator) {
    worker = cluster.Upsert({"w", "d", "r", {4'000, 4'000, 0}, true});
    specs.resize(count);
    for (size_t i = 0; i < count; ++i)
      specs[i].resources = {1'000, 1'000, 0};
  }

  TaskId Add(size_t index, TaskClass task_class, Millis started) {
    RunningTask task;
    task.task = {index + 1, 0};
    task.spec = &specs[index];
    task.worker = worker;
    task.allocated = specs[index].resources;
    task.started = started;
    task.task_class = task_class;
    cluster.AddTask(task);
    return task.task;
  }

  std::vector<TaskId> Plan(int64_t cores, Millis now) {
    const auto plan = policy.Plan(cluster.worker(worker),
                                  {cores * 1'000, cores * 1'000, 0}, now);
    return plan ? plan->tasks : std::vector<TaskId>();
  }

  std::vector<JobSpec> specs;
  MeasuredEstimator estimator;
  Cluster cluster;
  CheapestEviction policy;
  WorkerIndex worker = 0;
};

TEST_CASE("the task that loses the least work is evicted") {
  EvictionFixture f(4);
  f.specs[1].can_checkpoint = true;
  f.specs[3].kind = TaskKind::kKernel;
  f.Add(0, TaskClass::kBatch, kNow - Millis::FromSeconds(900));
  const TaskId checkpointable =
      f.Add(1, TaskClass::kBatch, kNow - Millis::FromSeconds(9'000));
  const TaskId recently_started =
      f.Add(2, TaskClass::kBatch, kNow - Millis::FromSeconds(20));
  f.Add(3, TaskClass::kInteractive, kNow);
  CHECK(f.Plan(1, kNow) == std::vector<TaskId>{checkpointable});
  const std::vector<TaskId> two = f.Plan(2, kNow);
  CHECK(std::set<TaskId>(two.begin(), two.end()) ==
        std::set<TaskId>{checkpointable, recently_started});
  CHECK(f.policy.ChooseVictim(f.cluster.worker(f.worker), kNow) ==
        checkpointable);
}

// Guards against evicting kernels, services or urgent tasks when the batch
// tasks of the worker do not free enough.
TEST_CASE("kernels, services and urgent tasks are never evicted") {
  EvictionFixture f(4);
  f.specs[0].kind = TaskKind::kKernel;
  f.specs[1].kind = TaskKind::kService;
  f.Add(0, TaskClass::kInteractive, kNow);
  f.Add(1, TaskClass::kInteractive, kNow);
  f.Add(2, TaskClass::kUrgent, kNow);
  f.Add(3, TaskClass::kBatch, kNow);
  CHECK(f.Plan(1, kNow) == std::vector<TaskId>{{4, 0}});
  CHECK(f.Plan(2, kNow).empty());
  RunningTask* kernel = f.cluster.FindTask({1, 0});
  f.cluster.MarkEvicting(*kernel);
  CHECK_FALSE(kernel->is_evicting);
}

TEST_CASE("evictions of one task are limited and have a minimum interval") {
  EvictionFixture f(1);
  const TaskId task = f.Add(0, TaskClass::kBatch, kNow);
  const RunningTask& running = *f.cluster.FindTask(task);
  const double first = *f.policy.Cost(running, kNow);
  f.policy.RecordEviction(task, kNow);
  CHECK_FALSE(f.policy.Cost(running, kNow + Millis::FromSeconds(59)));
  Millis now = kNow + Millis::FromSeconds(60);
  CHECK(*f.policy.Cost(running, now) > first);
  f.policy.RecordEviction(task, now);
  now += Millis::FromSeconds(60);
  f.policy.RecordEviction(task, now);
  CHECK_FALSE(f.policy.Cost(running, now + Millis::FromSeconds(600)));
  CHECK(f.policy.Cost(running, now + Millis::FromSeconds(3'600)));
}

TEST_CASE("evictions are limited per time window") {
  EvictionFixture f(0);
  const auto allowance = [&](EvictionCause cause, Millis now) {
    return f.policy.Allowance(cause, 100, now);
  };
  CHECK(allowance(EvictionCause::kUrgentWork, kNow) == 25);
  CHECK(allowance(EvictionCause::kOverloadedService, kNow) == 5);
  for (uint32_t i = 0; i < 25; ++i)
    f.policy.RecordEviction({1, i}, kNow);
  CHECK(allowance(EvictionCause::kUrgentWork, kNow) == 0);
  CHECK(allowance(EvictionCause::kOverloadedService, kNow) == 0);
  CHECK(allowance(EvictionCause::kUrgentWork, kNow + Millis::FromSeconds(11)) ==
        25);
}

TEST_CASE("a task that is about to end has a higher eviction cost") {
  EvictionFixture f(2);
  f.specs[0].can_checkpoint = true;
  f.specs[1].can_checkpoint = true;
  f.specs[0].expected_runtime = Millis::FromSeconds(100);
  f.specs[1].expected_runtime = Millis::FromSeconds(1'000);
  f.Add(0, TaskClass::kBatch, kNow - Millis::FromSeconds(97));
  const TaskId other =
      f.Add(1, TaskClass::kBatch, kNow - Millis::FromSeconds(97));
  CHECK(f.policy.ChooseVictim(f.cluster.worker(f.worker), kNow) == other);
}

// Guards against an eviction before the throttle had time to take effect, and
// against placing the next batch task on the freed capacity at once.
TEST_CASE("a task is evicted for an overloaded service if the overload lasts") {
  OverloadTracker tracker;
  Millis now = kNow;
  for (int i = 0; i < 6; ++i, now += Millis::FromSeconds(5))
    tracker.Record(1, 1.5, now);
  CHECK(tracker.Due(now - Millis::FromSeconds(5)).empty());
  tracker.Record(1, 1.5, now);
  REQUIRE(tracker.Due(now) == std::vector<WorkerIndex>{1});
  tracker.OnEviction(1, {1'000, 1'000, 0}, now);
  CHECK(tracker.Due(now).empty());
  tracker.Record(1, 0.5, now);
  CHECK(tracker.Release(now + Millis::FromSeconds(59)).empty());
  const auto released_capacities =
      tracker.Release(now + Millis::FromSeconds(60));
  REQUIRE(released_capacities.size() == 1);
  CHECK(released_capacities[0].size == Resources{1'000, 1'000, 0});
  CHECK(tracker.Release(now + Millis::FromSeconds(600)).empty());

  // A ratio between the two thresholds does not start an overload.
  for (int i = 0; i < 100; ++i, now += Millis::FromSeconds(5))
    tracker.Record(2, 1.1, now);
  CHECK(tracker.Due(now).empty());
}

}  // namespace
}  // namespace fulmarrock
