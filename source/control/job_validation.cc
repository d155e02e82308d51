#include <string>
#include <utility>

#include "source/control/job_table.h"

namespace fulmarrock {
namespace {

// A grant repeats the payload and must fit a frame together with others.
constexpr size_t kMaxPayloadBytes = 64 * 1024;
constexpr size_t kMaxNameBytes = 256;
constexpr uint32_t kMaxAttempts = 1'000;

tl::unexpected<Error> Invalid(std::string message, std::string remedy) {
  return MakeError(ErrorKind::kInvalidArgument, std::move(message),
                   std::move(remedy));
}

Result<void> ValidateCounts(const JobSpec& spec) {
  if (spec.task_count == 0 || spec.task_count > JobTable::kMaxTasksPerJob) {
    return Invalid(
        "task_count is " + std::to_string(spec.task_count),
        "set task_count between 1 and 100000, and split larger jobs");
  }
  if (spec.max_attempts == 0 || spec.max_attempts > kMaxAttempts) {
    return Invalid("max_attempts is " + std::to_string(spec.max_attempts),
                   "set max_attempts between 1 and 1000");
  }
  const Millis bound = Millis::FromSeconds(int64_t{10} * 365 * 24 * 3600);
  if (spec.expected_runtime < Millis(0) || spec.expected_runtime > bound) {
    return Invalid("expected_runtime is out of range",
                   "set it between 0 and ten years, or leave it out");
  }
  return {};
}

}  // namespace

Result<void> ValidateSpec(const JobSpec& spec) {
  if (spec.name.empty() || spec.name.size() > kMaxNameBytes ||
      spec.workload.size() > kMaxNameBytes) {
    return Invalid("the job's name is missing, or a name is too long",
                   "use names of 1 to 256 bytes");
  }
  if (spec.customer.empty() || spec.customer.size() > kMaxNameBytes) {
    return Invalid("the job names no customer",
                   "set customer to one of the customer list");
  }
  if (spec.payload.size() > kMaxPayloadBytes) {
    return Invalid(
        "the payload has " + std::to_string(spec.payload.size()) + " bytes",
        "keep it at or below 65536 bytes and store large input elsewhere");
  }
  if (auto valid = ValidateCounts(spec); !valid)
    return valid;
  return ValidateRequest(spec.resources);
}

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
  const auto pending = static_cast<int64_t>(jobs.PendingOf(spec.customer));
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
