#ifndef TESTS_PLACEMENT_SCHEDULER_FIXTURE_H_
#define TESTS_PLACEMENT_SCHEDULER_FIXTURE_H_

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "source/placement/fair_scheduler.h"
#include "tests/support/manual_clock.h"

namespace fulmarrock::test {

/// A FairScheduler with short ways to describe workers and jobs.
class SchedulerFixture {
 public:
  explicit SchedulerFixture(
      FairScheduler::PolicyFactory policies = MakeDefaultPolicies)
      : scheduler(std::move(policies)) {}

  /// Adds a worker to rack "dc/rack".
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

  /// Returns a specification that lives as long as the fixture.
  JobSpec& NewSpec(const std::string& customer, const Resources& size) {
    JobSpec& spec = specs.emplace_back();
    spec.name = "job" + std::to_string(specs.size());
    spec.customer = customer;
    spec.resources = size;
    spec.expected_runtime = Millis::FromSeconds(60);
    return spec;
  }

  /// Enqueues a job's task; each call without an index is a job of its own.
  TaskId Submit(const JobSpec& spec, uint32_t index = 0, JobId job = 0) {
    const TaskId task{job == 0 ? ++next_job : job, index};
    scheduler.Enqueue({task, &spec, clock.Now()});
    return task;
  }

  /// Schedules everything and remembers where it runs.
  std::vector<Placement> Schedule(size_t limit = 1'000) {
    std::vector<Placement> placements = scheduler.Schedule(limit, clock.Now());
    for (const Placement& placement : placements)
      places[placement.task] = placement.worker;
    return placements;
  }

  void Release(TaskId task,
               AttemptResult result = AttemptResult::kCompleted,
               Millis runtime = Millis::FromSeconds(60)) {
    scheduler.Release(task, result, runtime);
    places.erase(task);
  }

  /// Worker of a running task, or empty.
  NodeId PlaceOf(TaskId task) const {
    const auto it = places.find(task);
    return it == places.end() ? NodeId() : it->second;
  }

  ManualClock clock;
  FairScheduler scheduler;
  Configuration configuration;
  std::deque<JobSpec> specs;
  std::map<TaskId, NodeId> places;
  JobId next_job = 0;
};

}  // namespace fulmarrock::test

#endif  // TESTS_PLACEMENT_SCHEDULER_FIXTURE_H_
