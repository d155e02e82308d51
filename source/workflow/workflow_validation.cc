#include <algorithm>
#include <set>
#include <string>

#include "source/workflow/workflow_state.h"

namespace fulmarrock {
namespace {

constexpr size_t kMaxPayloadBytes = 64 * 1024;
constexpr size_t kMaxSteps = 1'000;
constexpr uint32_t kMaxOccurrences = 1'000;

tl::unexpected<Error> Invalid(std::string message, std::string remedy) {
  return MakeError(ErrorKind::kInvalidArgument, std::move(message),
                   std::move(remedy));
}

/// Whether the dependencies have no cycle: a step is removed as soon as all its
/// dependencies are, and all steps can be removed.
bool IsAcyclic(const std::vector<StepSpec>& steps) {
  std::vector<bool> is_removed(steps.size(), false);
  size_t count = 0;
  for (bool has_progress = true; has_progress;) {
    has_progress = false;
    for (size_t i = 0; i < steps.size(); ++i) {
      const auto& dependencies = steps[i].depends_on;
      if (is_removed[i] ||
          !std::all_of(
              dependencies.begin(), dependencies.end(),
              [&](uint32_t dependency) { return is_removed[dependency]; })) {
        continue;
      }
      is_removed[i] = true;
      has_progress = true;
      ++count;
    }
  }
  return count == steps.size();
}

Result<void> ValidateStep(const StepSpec& step, size_t step_count) {
  if (step.count == 0 || step.count > WorkflowState::kMaxTasks)
    return Invalid("the number of tasks of a step is zero or too large",
                   "give a count from 1 to 20000");
  if (step.resources().HasNegative() ||
      !step.resources().FitsIn({Resources::kMaxAmount, Resources::kMaxAmount,
                                Resources::kMaxAmount})) {
    return Invalid("the requested resources of a step are out of range",
                   "request non-negative amounts");
  }
  for (const uint32_t dependency : step.depends_on) {
    if (dependency >= step_count)
      return Invalid("a step depends on a step that does not exist",
                     "number the steps from 0");
  }
  return {};
}

}  // namespace

Result<void> ValidateWorkflow(const WorkflowSpec& spec) {
  if (spec.payload.size() > kMaxPayloadBytes)
    return Invalid("the payload is longer than 64 KiB", "send at most 64 KiB");
  if (spec.steps.empty() || spec.steps.size() > kMaxSteps)
    return Invalid("the number of steps is zero or above 1000",
                   "specify 1 to 1000 steps");
  if (spec.repeat_count > kMaxOccurrences)
    return Invalid("the workflow has more than 1000 occurrences",
                   "specify at most 1000 repetitions");
  uint64_t tasks = 0;
  for (const StepSpec& step : spec.steps) {
    if (Result<void> valid = ValidateStep(step, spec.steps.size()); !valid)
      return valid;
    tasks += step.count;
  }
  if (tasks * std::max(spec.repeat_count, 1u) > WorkflowState::kMaxTasks)
    return Invalid("the workflow has more than 20000 tasks",
                   "split it into workflows of at most 20000 tasks");
  if (!IsAcyclic(spec.steps))
    return Invalid("the steps depend on each other in a cycle",
                   "remove one of the dependencies");
  return {};
}

Result<void> ValidateQueueConfiguration(
    const QueueConfiguration& queue_configuration) {
  std::set<std::string> services;
  for (const ServiceSettings& service : queue_configuration.services)
    services.insert(service.name);
  std::set<std::string> routes;
  for (const QueueSettings& queue : queue_configuration.queues) {
    if (!services.contains(queue.service))
      return Invalid("queue " + queue.name + " refers to the unknown service " +
                         queue.service,
                     "add the service or refer to one that exists");
    if (queue.timeout <= Millis(0))
      return Invalid("queue " + queue.name + " has no timeout",
                     "set a timeout above zero");
    if (!routes.insert(queue.host + "\n" + queue.path_prefix).second)
      return Invalid("queue " + queue.name +
                         " has the same host and path prefix as another queue",
                     "give each queue a distinct host and path prefix");
  }
  return {};
}

}  // namespace fulmarrock
