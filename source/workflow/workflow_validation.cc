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

/// Whether the dependencies have no cycle: steps are taken off as soon as all
/// they depend on are.
bool IsAcyclic(const std::vector<StepSpec>& steps) {
  std::vector<bool> is_taken(steps.size(), false);
  size_t count = 0;
  for (bool has_progress = true; has_progress;) {
    has_progress = false;
    for (size_t i = 0; i < steps.size(); ++i) {
      const auto& earlier = steps[i].depends_on;
      if (is_taken[i] ||
          !std::all_of(earlier.begin(), earlier.end(),
                       [&](uint32_t other) { return is_taken[other]; })) {
        continue;
      }
      is_taken[i] = true;
      has_progress = true;
      ++count;
    }
  }
  return count == steps.size();
}

Result<void> ValidateStep(const StepSpec& step, size_t step_count) {
  if (step.count == 0 || step.count > WorkflowState::kMaxTasks)
    return Invalid("a step has no tasks or too many",
                   "give a count from 1 to 20000");
  if (step.resources().HasNegative() ||
      !step.resources().FitsIn({Resources::kMaxAmount, Resources::kMaxAmount,
                                Resources::kMaxAmount})) {
    return Invalid("a step's sizes are out of range",
                   "declare non-negative sizes");
  }
  for (const uint32_t other : step.depends_on) {
    if (other >= step_count)
      return Invalid("a step depends on one that does not exist",
                     "number the steps from 0");
  }
  return {};
}

}  // namespace

Result<void> ValidateWorkflow(const WorkflowSpec& spec) {
  if (spec.payload.size() > kMaxPayloadBytes)
    return Invalid("the payload is too long", "send at most 64 KiB");
  if (spec.steps.empty() || spec.steps.size() > kMaxSteps)
    return Invalid("the workflow has no steps or too many",
                   "send 1 to 1000 steps");
  if (spec.repeat_count > kMaxOccurrences)
    return Invalid("the workflow is repeated too often",
                   "send at most 1000 repetitions");
  uint64_t tasks = 0;
  for (const StepSpec& step : spec.steps) {
    if (Result<void> valid = ValidateStep(step, spec.steps.size()); !valid)
      return valid;
    tasks += step.count;
  }
  if (tasks * std::max(spec.repeat_count, 1u) > WorkflowState::kMaxTasks)
    return Invalid("the workflow has too many tasks",
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
  std::set<std::string> places;
  for (const QueueSettings& queue : queue_configuration.queues) {
    if (!services.contains(queue.service))
      return Invalid(
          "queue " + queue.name + " names the unknown service " + queue.service,
          "add the service or name one that exists");
    if (queue.timeout <= Millis(0))
      return Invalid("queue " + queue.name + " has no time limit",
                     "set a timeout above zero");
    if (!places.insert(queue.host + "\n" + queue.path_prefix).second)
      return Invalid(
          "queue " + queue.name + " has the host and prefix of another one",
          "give each queue a place of its own");
  }
  return {};
}

}  // namespace fulmarrock
