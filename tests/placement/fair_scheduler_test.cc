#include "source/placement/fair_scheduler.h"

#include <set>

#include <catch2/catch.hpp>

#include "tests/placement/scheduler_fixture.h"

namespace fulmarrock {
namespace {

using test::SchedulerFixture;

constexpr Resources kWorker{16'000, 60'000, 0};

TEST_CASE("a worker never gets more than its capacity") {
  SchedulerFixture f;
  f.AddCustomer("a");
  f.AddWorker("w1", {4'000, 8'000, 1});
  const JobSpec& cpu = f.NewSpec("a", {1'500, 100, 0});
  for (int i = 0; i < 5; ++i)
    f.Submit(cpu);
  CHECK(f.Schedule().size() == 2);
  const JobSpec& accelerator = f.NewSpec("a", {100, 100, 1});
  f.Submit(accelerator);
  f.Submit(accelerator);
  CHECK(f.Schedule().size() == 1);
  CHECK(f.scheduler.pending_count() == 4);
}

// Guards against a second lease for a task that is enqueued twice.
TEST_CASE("enqueueing a pending or running task again has no effect") {
  SchedulerFixture f;
  f.AddCustomer("a");
  f.AddWorker("w1", kWorker);
  const JobSpec& spec = f.NewSpec("a", {1'000, 1'000, 0});
  const TaskId task = f.Submit(spec);
  f.Submit(spec, 0, task.job);
  CHECK(f.Schedule().size() == 1);
  f.Submit(spec, 0, task.job);
  CHECK(f.Schedule().empty());
  CHECK(f.scheduler.pending_count() == 0);
}

TEST_CASE("customers share the workers by the weight of their plan") {
  SchedulerFixture f;
  f.AddCustomer("light", 1);
  f.AddCustomer("heavy", 3);
  f.AddWorker("w1", {16'000, 160'000, 0});
  const JobSpec& light = f.NewSpec("light", {1'000, 1'000, 0});
  const JobSpec& heavy = f.NewSpec("heavy", {1'000, 1'000, 0});
  // The burst of the light customer is older; the order of arrival must not
  // matter.
  std::set<TaskId> light_tasks;
  for (int i = 0; i < 50; ++i)
    light_tasks.insert(f.Submit(light));
  for (int i = 0; i < 50; ++i)
    f.Submit(heavy);
  size_t light_count = 0;
  for (const Placement& placement : f.Schedule())
    light_count += light_tasks.count(placement.task);
  CHECK(light_count == 4);
}

TEST_CASE("tasks beyond the quota of a customer stay pending") {
  SchedulerFixture f;
  f.AddCustomer("a", 1, {2'000, 10'000, 0});
  f.AddWorker("w1", kWorker);
  const JobSpec& spec = f.NewSpec("a", {1'000, 1'000, 0});
  const TaskId first = f.Submit(spec);
  f.Submit(spec);
  f.Submit(spec);
  CHECK(f.Schedule().size() == 2);
  CHECK(f.scheduler.TakeUnplaceable().empty());
  f.Release(first);
  CHECK(f.Schedule().size() == 1);
}

TEST_CASE("urgent tasks start before older interactive and batch tasks") {
  SchedulerFixture f;
  f.AddCustomer("a");
  f.AddWorker("w1", {1'000, 1'000, 0});
  JobSpec& batch = f.NewSpec("a", {1'000, 1'000, 0});
  JobSpec& kernel = f.NewSpec("a", {1'000, 1'000, 0});
  kernel.kind = TaskKind::kKernel;
  JobSpec& urgent = f.NewSpec("a", {1'000, 1'000, 0});
  urgent.is_urgent = true;
  const TaskId batch_task = f.Submit(batch);
  f.clock.Advance(Millis(10));
  const TaskId kernel_task = f.Submit(kernel);
  f.clock.Advance(Millis(10));
  const TaskId urgent_task = f.Submit(urgent);
  for (const TaskId expected : {urgent_task, kernel_task, batch_task}) {
    const std::vector<Placement> placements = f.Schedule();
    REQUIRE(placements.size() == 1);
    CHECK(placements[0].task == expected);
    f.Release(expected);
  }
}

TEST_CASE("a task that does not fit now does not block smaller ones") {
  SchedulerFixture f;
  f.AddCustomer("a");
  f.AddWorker("w1", kWorker);
  const JobSpec& small = f.NewSpec("a", {1'000, 1'000, 0});
  f.Submit(small);
  f.Schedule();
  const TaskId large = f.Submit(f.NewSpec("a", {16'000, 1'000, 0}));
  const TaskId next = f.Submit(small);
  f.Schedule();
  CHECK(f.WorkerOf(large).empty());
  CHECK(f.WorkerOf(next) == "w1");
}

// Guards against starvation by a stream of small tasks that take all capacity
// that becomes free.
TEST_CASE("a large task does not starve behind small ones") {
  SchedulerFixture f;
  f.AddCustomer("a");
  f.AddWorker("w1", {4'000, 8'000, 0});
  const JobSpec& small = f.NewSpec("a", {1'000, 1'000, 0});
  std::deque<TaskId> running;
  for (int i = 0; i < 4; ++i)
    running.push_back(f.Submit(small));
  f.Schedule();
  const TaskId large = f.Submit(f.NewSpec("a", {4'000, 1'000, 0}));
  int steps = 0;
  for (; steps < 200 && f.WorkerOf(large).empty(); ++steps) {
    f.clock.Advance(Millis::FromSeconds(1));
    running.push_back(f.Submit(small));
    if (!f.WorkerOf(running.front()).empty()) {
      f.Release(running.front());
      running.pop_front();
    }
    f.Schedule();
  }
  CHECK(f.WorkerOf(large) == "w1");
  CHECK(steps < 60);
}

// Guards against starvation by small tasks of the same customer that use up its
// quota, while the workers have free capacity.
TEST_CASE("a large task does not starve behind small ones in its quota") {
  SchedulerFixture f;
  f.AddCustomer("a", 1, {4'000, 100'000, 0});
  f.AddWorker("w1", kWorker);
  const JobSpec& small = f.NewSpec("a", {1'000, 1'000, 0});
  std::deque<TaskId> running;
  for (int i = 0; i < 4; ++i)
    running.push_back(f.Submit(small));
  f.Schedule();
  const TaskId large = f.Submit(f.NewSpec("a", {4'000, 1'000, 0}));
  int steps = 0;
  for (; steps < 200 && f.WorkerOf(large).empty(); ++steps) {
    f.clock.Advance(Millis::FromSeconds(1));
    running.push_back(f.Submit(small));
    if (!f.WorkerOf(running.front()).empty()) {
      f.Release(running.front());
      running.pop_front();
    }
    f.Schedule();
  }
  CHECK(f.WorkerOf(large) == "w1");
  CHECK(steps < 60);
}

TEST_CASE("an unplaceable task is reported with the reason") {
  SchedulerFixture f;
  f.AddCustomer("a", 1, {64'000, 100'000, 1});
  f.AddWorker("w1", kWorker);
  const JobSpec& too_large = f.NewSpec("a", {17'000, 1'000, 0});
  const TaskId size = f.Submit(too_large);
  const TaskId quota = f.Submit(f.NewSpec("a", {65'000, 1'000, 0}));
  const TaskId unknown = f.Submit(f.NewSpec("nobody", {1'000, 1'000, 0}));
  const TaskId good = f.Submit(f.NewSpec("a", {1'000, 1'000, 0}));
  f.Schedule();
  CHECK(f.WorkerOf(good) == "w1");
  CHECK(f.scheduler.pending_count() == 0);
  std::map<TaskId, std::string> reasons;
  for (const UnplaceableTask& item : f.scheduler.TakeUnplaceable())
    reasons[item.task] = item.reason;
  CHECK(reasons.size() == 3);
  CHECK(reasons[size].find("no worker is that large") != std::string::npos);
  CHECK(reasons[quota].find("raise the quota") != std::string::npos);
  CHECK(reasons[unknown].find("not in the list") != std::string::npos);
  CHECK(f.scheduler.TakeUnplaceable().empty());

  // The task is enqueued again after a larger worker was added.
  f.AddWorker("w2", {32'000, 60'000, 0});
  f.Submit(too_large, 0, size.job);
  f.Schedule();
  CHECK(f.WorkerOf(size) == "w2");
}

// Guards against reporting every task as unplaceable in a cluster whose workers
// have not announced themselves yet.
TEST_CASE("sizes are checked only once a worker is known") {
  SchedulerFixture f;
  f.AddCustomer("a");
  f.Submit(f.NewSpec("a", {17'000, 1'000, 0}));
  f.Schedule();
  CHECK(f.scheduler.TakeUnplaceable().empty());
  f.AddWorker("w1", kWorker);
  CHECK(f.scheduler.TakeUnplaceable().size() == 1);
}

TEST_CASE("pending tasks are checked again when workers or quotas change") {
  SchedulerFixture f;
  f.AddCustomer("a");
  f.AddWorker("w1", kWorker);
  f.AddWorker("w2", {1'000, 1'000, 0});
  const JobSpec& spec = f.NewSpec("a", {16'000, 1'000, 0});
  f.Submit(spec);
  f.Submit(spec);
  CHECK(f.Schedule().size() == 1);
  SECTION("the only worker of that size is removed") {
    f.Release(f.workers_by_task.begin()->first);
    f.scheduler.RemoveWorker("w1");
  }
  SECTION("the quota is reduced") {
    f.AddCustomer("a", 1, {8'000, 1'000, 0});
  }
  CHECK(f.scheduler.TakeUnplaceable().size() == 1);
  CHECK(f.scheduler.pending_count() == 0);
}

TEST_CASE("a draining worker gets no new tasks until it accepts them again") {
  SchedulerFixture f;
  f.AddCustomer("a");
  f.scheduler.UpsertWorker({"w1", "d0", "r0", kWorker, false});
  const TaskId task = f.Submit(f.NewSpec("a", {1'000, 1'000, 0}));
  CHECK(f.Schedule().empty());
  CHECK(f.scheduler.TakeUnplaceable().empty());
  f.AddWorker("w1", kWorker);
  f.Schedule();
  CHECK(f.WorkerOf(task) == "w1");
}

// Guards against a new leader that places tasks on capacity that is in use.
TEST_CASE("tasks already running at a change of leader keep their allocation") {
  SchedulerFixture f;
  f.AddCustomer("a", 1, {16'000, 100'000, 0});
  const JobSpec& spec = f.NewSpec("a", {10'000, 1'000, 0});
  f.scheduler.AddRunning({{7, 0}, &spec, Millis(0)}, "w1", Millis(0));
  f.AddWorker("w1", kWorker);
  const TaskId task = f.Submit(spec);
  CHECK(f.Schedule().empty());
  CHECK(f.scheduler.running_count() == 1);
  f.Release({7, 0});
  f.Schedule();
  CHECK(f.WorkerOf(task) == "w1");
}

TEST_CASE("Clear removes all workers and tasks") {
  SchedulerFixture f;
  f.AddCustomer("a");
  f.AddWorker("w1", kWorker);
  const JobSpec& spec = f.NewSpec("a", {10'000, 1'000, 0});
  f.Submit(spec);
  f.Submit(spec);
  f.Schedule();
  f.scheduler.Clear();
  CHECK(f.scheduler.pending_count() == 0);
  CHECK(f.scheduler.running_count() == 0);
  CHECK(f.Schedule().empty());
}

}  // namespace
}  // namespace fulmarrock
