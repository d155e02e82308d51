#include <map>
#include <set>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "source/placement/free_capacity_index.h"
#include "tests/placement/scheduler_fixture.h"

namespace fulmarrock {
namespace {

using test::SchedulerFixture;

// Guards against an index that misses a fitting worker or returns one that is
// too small, for arbitrary amounts.
TEST_CASE("the index finds a fitting worker if and only if there is one") {
  const bool is_ok =
      rc::check([](const std::vector<uint32_t>& amounts, uint32_t need_seed) {
        const auto amount_of = [](uint32_t seed) {
          return Resources{static_cast<int64_t>(seed % 40'000),
                           static_cast<int64_t>(seed / 7 % 90'000),
                           static_cast<int64_t>(seed % 12)};
        };
        FreeCapacityIndex index;
        std::map<WorkerIndex, Resources> model;
        for (const uint32_t seed : amounts) {
          const WorkerIndex worker = seed % 50;
          if (seed % 5 == 0) {
            index.Remove(worker);
            model.erase(worker);
          } else {
            index.Set(worker, amount_of(seed));
            model[worker] = amount_of(seed);
          }
        }
        const Resources need = amount_of(need_seed);
        std::vector<WorkerIndex> found;
        index.Collect(need, 8, need_seed, found);
        size_t fitting = 0;
        for (const auto& [worker, amount] : model)
          fitting += need.FitsIn(amount);
        RC_ASSERT(index.size() == model.size());
        RC_ASSERT(found.empty() == (fitting == 0));
        RC_ASSERT(found.size() <= 8U);
        for (const WorkerIndex worker : found)
          RC_ASSERT(need.FitsIn(model.at(worker)));
      });
  CHECK(is_ok);
}

TEST_CASE("replicas of a service are spread over data centres and racks") {
  SchedulerFixture f;
  f.AddCustomer("a");
  std::map<NodeId, std::string> racks;
  for (int i = 0; i < 12; ++i) {
    const NodeId node = "w" + std::to_string(i);
    const std::string rack = "r" + std::to_string(i % 3);
    const std::string data_centre = "d" + std::to_string(i % 4);
    racks[node] = data_centre + rack;
    f.AddWorker(node, {16'000, 60'000, 0}, rack, data_centre);
  }
  JobSpec& spec = f.NewSpec("a", {1'000, 1'000, 0});
  spec.kind = TaskKind::kService;
  spec.task_count = 12;
  for (uint32_t i = 0; i < 12; ++i)
    f.Submit(spec, i, 77);
  std::map<std::string, int> counts;
  for (const Placement& placement : f.Schedule())
    ++counts[racks[placement.worker]];
  CHECK(counts.size() == 12);
}

TEST_CASE("tasks without accelerators avoid workers that have some") {
  SchedulerFixture f;
  f.AddCustomer("a");
  f.AddWorker("plain", {16'000, 60'000, 0});
  f.AddWorker("gpu", {16'000, 60'000, 4});
  const JobSpec& spec = f.NewSpec("a", {4'000, 4'000, 0});
  for (int i = 0; i < 4; ++i)
    CHECK(f.WorkerOf((f.Submit(spec), f.Schedule()[0].task)) == "plain");
  // They run there if no other worker fits.
  f.Submit(spec);
  CHECK(f.Schedule().size() == 1);
}

TEST_CASE("small tasks are packed so that a large one still fits") {
  SchedulerFixture f;
  f.AddCustomer("a");
  f.AddWorker("w1", {16'000, 16'000, 0});
  f.AddWorker("w2", {16'000, 16'000, 0});
  f.Submit(f.NewSpec("a", {10'000, 10'000, 0}));
  f.Schedule();
  const JobSpec& small = f.NewSpec("a", {1'000, 1'000, 0});
  for (int i = 0; i < 6; ++i)
    f.Submit(small);
  f.Schedule();
  const TaskId full_size = f.Submit(f.NewSpec("a", {16'000, 16'000, 0}));
  f.Schedule();
  CHECK_FALSE(f.WorkerOf(full_size).empty());
}

// Guards against overcommitting a worker whose tasks use more than they
// requested.
TEST_CASE("the larger of requested and measured size is allocated") {
  SchedulerFixture f;
  f.AddCustomer("a");
  f.AddWorker("w1", {4'000, 8'000, 0});
  const JobSpec& spec = f.NewSpec("a", {1'000, 1'000, 0});
  const TaskId first = f.Submit(spec);
  f.Schedule();
  UsageReport report;
  report.tasks.push_back({first, 3'500, 500});
  f.scheduler.OnUsage("w1", report, f.clock.Now());
  f.Submit(spec);
  CHECK(f.Schedule().empty());
  // An invalid report, or one from another worker, changes nothing.
  report.tasks[0].cpu_millicores = -5;
  f.scheduler.OnUsage("w9", report, f.clock.Now());
  CHECK(f.Schedule().empty());
}

// Guards against an estimate that makes every later task unplaceable.
TEST_CASE("an estimate above every worker is reduced to the largest one") {
  SchedulerFixture f;
  f.AddCustomer("a");
  f.AddWorker("w1", {4'000, 8'000, 0});
  const JobSpec& spec = f.NewSpec("a", {1'000, 1'000, 0});
  const TaskId first = f.Submit(spec);
  f.Schedule();
  UsageReport report;
  report.tasks.push_back({first, 9'000, 500});
  for (int i = 0; i < 5; ++i)
    f.scheduler.OnUsage("w1", report, f.clock.Now());
  f.Release(first);
  const TaskId second = f.Submit(spec);
  f.Schedule();
  CHECK(f.WorkerOf(second) == "w1");
}

TEST_CASE("an urgent task evicts the batch task with the lowest cost") {
  SchedulerFixture f;
  f.AddCustomer("a");
  f.AddWorker("w1", {4'000, 8'000, 0});
  JobSpec& kernel = f.NewSpec("a", {1'000, 1'000, 0});
  kernel.kind = TaskKind::kKernel;
  JobSpec& checkpointable = f.NewSpec("a", {1'000, 1'000, 0});
  checkpointable.can_checkpoint = true;
  const JobSpec& batch = f.NewSpec("a", {1'000, 1'000, 0});
  f.Submit(kernel);
  f.Submit(batch);
  f.Submit(batch);
  const TaskId cheap = f.Submit(checkpointable);
  REQUIRE(f.Schedule().size() == 4);
  f.clock.Advance(Millis::FromSeconds(20));
  JobSpec& urgent_spec = f.NewSpec("a", {1'000, 1'000, 0});
  urgent_spec.is_urgent = true;
  const TaskId urgent = f.Submit(urgent_spec);
  f.Schedule();
  CHECK(f.scheduler.ChooseEvictions(f.clock.Now()).empty());
  f.clock.Advance(Millis(300));
  const std::vector<Eviction> evictions =
      f.scheduler.ChooseEvictions(f.clock.Now());
  REQUIRE(evictions.size() == 1);
  CHECK(evictions[0].task == cheap);
  CHECK(f.scheduler.ChooseEvictions(f.clock.Now()).empty());
  // The freed capacity is reserved for the urgent task.
  f.Release(cheap, AttemptResult::kStopped);
  f.Submit(checkpointable, 0, cheap.job);
  f.Schedule();
  CHECK(f.WorkerOf(urgent) == "w1");
  CHECK(f.WorkerOf(cheap).empty());
}

TEST_CASE("a quarantined worker gets one probe at a time") {
  SchedulerFixture f;
  f.AddCustomer("a");
  f.AddWorker("bad", {16'000, 60'000, 0});
  const JobSpec& spec = f.NewSpec("a", {1'000, 1'000, 0});
  for (int i = 0; i < 3; ++i) {
    const TaskId task = f.Submit(spec);
    f.Schedule();
    f.Release(task, AttemptResult::kFailed);
  }
  f.Submit(spec);
  f.Submit(spec);
  CHECK(f.Schedule().empty());
  f.clock.Advance(Millis::FromSeconds(30));
  const std::vector<Placement> probe = f.Schedule();
  REQUIRE(probe.size() == 1);
  CHECK(f.Schedule().empty());
  f.Release(probe[0].task, AttemptResult::kCompleted);
  CHECK(f.Schedule().size() == 1);
}

TEST_CASE("a batch task avoids a service with which its workload interferes") {
  SchedulerFixture f;
  f.AddCustomer("a");
  // The service is a scheduled task, or a target known only from reports.
  const bool is_task = GENERATE(true, false);
  JobSpec& service = f.NewSpec("a", {4'000, 4'000, 0});
  service.kind = is_task ? TaskKind::kService : TaskKind::kBatch;
  service.name = is_task ? "wallwright" : "other";
  JobSpec& scan = f.NewSpec("a", {1'000, 1'000, 0});
  scan.workload = "scan";
  f.AddWorker("w1", {16'000, 60'000, 0});
  f.Submit(service);
  f.Schedule();
  for (int i = 0; i < 40; ++i) {
    UsageReport report;
    const bool is_slowed = i % 2 == 0;
    report.services.push_back({"wallwright", Millis(is_slowed ? 300 : 80),
                               Millis(100),
                               is_slowed ? std::vector<std::string>{"scan"}
                                         : std::vector<std::string>()});
    f.scheduler.OnUsage("w1", report, f.clock.Now());
  }
  f.AddWorker("w2", {16'000, 60'000, 0}, "r1");
  // Packing alone would choose the worker that is already in use.
  const TaskId non_interfering = f.Submit(f.NewSpec("a", {1'000, 1'000, 0}));
  f.Schedule();
  CHECK(f.WorkerOf(non_interfering) == "w1");
  const TaskId interfering = f.Submit(scan);
  f.Schedule();
  CHECK(f.WorkerOf(interfering) == "w2");
}

}  // namespace
}  // namespace fulmarrock
