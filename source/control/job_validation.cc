#include <string>

#include "source/control/job_table.h"

namespace fulmarrock {
Result<void> ValidateAgainstPlan(const JobSpec& spec,
                                 const Configuration& configuration,
                                 const JobTable& jobs) {
  const Customer* customer = configuration.FindCustomer(spec.customer);
  if (!customer) {
    return MakeError(ErrorKind::kPermissionDenied,
                     "customer " + spec.customer + " is not known",
                     "ask an operator to add it to the customer list");
  }
  const Plan* plan = configuration.FindPlan(customer->plan);
  if (!plan) {
    return MakeError(ErrorKind::kPermissionDenied,
                     "plan " + customer->plan + " is not known",
                     "ask an operator to add it to the plan list");
  }
  if (spec.is_urgent && !plan->allows_urgent) {
    return MakeError(ErrorKind::kPermissionDenied,
                     "plan " + plan->name + " does not allow urgent jobs",
                     "submit the job without the urgent mark");
  }
  if (!spec.resources.FitsIn(plan->quota)) {
    return MakeError(ErrorKind::kResourceExhausted,
                     "one task needs " + spec.resources.ToString() +
                         ", but the quota of plan " + plan->name + " is " +
                         plan->quota.ToString(),
                     "ask for less, or for a plan with a larger quota");
  }
  const auto pending =
      static_cast<int64_t>(jobs.CountPendingTasks(spec.customer));
  if (pending + spec.task_count > plan->max_pending_tasks) {
    return MakeError(ErrorKind::kResourceExhausted,
                     "customer " + spec.customer + " has " +
                         std::to_string(pending) + " waiting tasks of " +
                         std::to_string(plan->max_pending_tasks),
                     "submit again when some of them have started");
  }
  if (jobs.OpenCount() + spec.task_count > JobTable::kMaxOpenTasks) {
    return MakeError(ErrorKind::kResourceExhausted,
                     "the group holds its limit of open tasks",
                     "submit again when some of them have ended");
  }
  return {};
}

}  // namespace fulmarrock
