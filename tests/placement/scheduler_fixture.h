#ifndef TESTS_PLACEMENT_SCHEDULER_FIXTURE_H_
#define TESTS_PLACEMENT_SCHEDULER_FIXTURE_H_

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "source/placement/fair_scheduler.h"
#include "tests/support/manual_clock.h"

namespace fulmarrock::test {

/// A FairScheduler with helpers to describe workers and jobs.
class SchedulerFixture {
 public:
  explicit SchedulerFixture(
      FairScheduler::PolicyFactory policies = MakeDefaultPolicies)
      : scheduler(std::move(policies)) {}

  /// Adds a worker, or updates it, that accepts tasks.
  void AddWorker(const NodeId& node,
                 const Resources& capacity,
                 const std::string& rack = "r0",
                 const std::string& data_centre = "d0") {
    scheduler.UpsertWorker({node, data_centre, rack, capacity, true});
  }

  /// Adds a customer with its own plan.
  void AddCustomer(const std::string& name,
                   int64_t weight = 1,
                   const Resources& quota = {1'000'000, 1'000'000, 1'000}) {
    Plan plan;
    plan.name = "plan-" + name;
    plan.weight = weight;
    plan.quota = quota;
    plan.allows_urgent = true;
    ConfigurationChange change;
    change.changed_plans.push_back(plan);
    change.changed_customers.push_back({name, plan.name});
    ApplyChange(change, configuration);
    scheduler.SetConfiguration(configuration);
  }

  /// Returns a specification that remains valid as long as the fixture.
  JobSpec& NewSpec(const std::string& customer, const Resources& size) {
    JobSpec& spec = specs.emplace_back();
    spec.name = "job" + std::to_string(specs.size());
    spec.customer = customer;
    spec.resources = size;
    spec.expected_runtime = Millis::FromSeconds(60);
    return spec;
  }

  /// Enqueues a task of the job, or of a new job if `job` is 0.
  TaskId Submit(const JobSpec& spec, uint32_t index = 0, JobId job = 0) {
    const TaskId task{job == 0 ? ++next_job : job, index};
    scheduler.Enqueue({task, &spec, clock.Now()});
    return task;
  }

  /// Schedules up to `limit` tasks and records their workers.
  std::vector<Placement> Schedule(size_t limit = 1'000) {
    std::vector<Placement> placements = scheduler.Schedule(limit, clock.Now());
    for (const Placement& placement : placements)
      workers_by_task[placement.task] = placement.worker;
    return placements;
  }

  void Release(TaskId task,
               AttemptResult result = AttemptResult::kCompleted,
               Millis runtime = Millis::FromSeconds(60)) {
    scheduler.Release(task, result, runtime);
    workers_by_task.erase(task);
  }

  /// Returns the worker of a running task, or an empty string.
  NodeId WorkerOf(TaskId task) const {
    const auto it = workers_by_task.find(task);
    return it == workers_by_task.end() ? NodeId() : it->second;
  }

  ManualClock clock;
  FairScheduler scheduler;
  Configuration configuration;
  std::deque<JobSpec> specs;
  std::map<TaskId, NodeId> workers_by_task;
  JobId next_job = 0;
};

}  // namespace fulmarrock::test

#endif  // TESTS_PLACEMENT_SCHEDULER_FIXTURE_H_
