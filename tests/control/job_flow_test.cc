#include <catch2/catch.hpp>

#include "tests/support/control_cluster.h"

namespace fulmarrock::test {
namespace {

// Guards against a failure in any step from submission to completion, and
// against members whose states differ afterwards.
TEST_CASE("a job is granted, runs and completes once") {
  ControlCluster cluster(3, 2, 1);
  cluster.ApplyDefaultConfiguration();
  const Result<JobId> job = cluster.Submit(MakeSpec(6), "submit");
  REQUIRE(job);
  const JobRecord& record = *cluster.state().jobs().Find(*job);
  REQUIRE(cluster.RunUntil([&] {
    for (const TaskRecord& task : record.tasks) {
      if (!task.is_started)
        return false;
    }
    return true;
  }));
  for (uint32_t i = 0; i < 6; ++i) {
    const auto holders = cluster.Executing({*job, i});
    REQUIRE(holders.size() == 1);
    CHECK(cluster.agents[holders[0]]->worker.Finish({*job, i},
                                                    TaskEventKind::kCompleted));
  }
  REQUIRE(cluster.RunUntil(
      [&] { return record.Count(TaskState::kCompleted) == 6; }));
  cluster.Run(Millis(5'000));
  for (const auto& member : cluster.members) {
    const JobRecord* seen = member->role->state().jobs().Find(*job);
    REQUIRE(seen);
    CHECK(seen->Count(TaskState::kCompleted) == 6);
    CHECK(member->role->state().Save() == cluster.state().Save());
  }
  CHECK(cluster.leader().scheduler.running_count() == 0);
}

// Guards against an agent that sends a burst of events only with its retries,
// one message per second.
TEST_CASE("a burst of completions is committed without retries") {
  ControlCluster cluster(1, 0, 1);
  cluster.worker_capacity = {3'000'000, 3'000'000, 0};
  cluster.AddAgent();
  cluster.ApplyDefaultConfiguration();
  const JobId job = *cluster.Submit(MakeSpec(2'500), "submit");
  const JobRecord& record = *cluster.state().jobs().Find(job);
  FakeWorker& worker = cluster.agents[0]->worker;
  REQUIRE(cluster.RunUntil([&] { return worker.tasks().size() == 2'500; }));
  cluster.Run(Millis(2'000));
  for (uint32_t i = 0; i < 2'500; ++i)
    worker.Finish({job, i}, TaskEventKind::kCompleted);
  cluster.Run(Millis(200));
  CHECK(record.Count(TaskState::kCompleted) == 2'500);
}

}  // namespace
}  // namespace fulmarrock::test
