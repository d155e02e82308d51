#include "source/workflow/worker_allocation.h"

#include <algorithm>

namespace fulmarrock {
namespace {

/// Percentage of their requested CPU that long-running tasks are expected to
/// leave idle.
constexpr int64_t kIdlePercentOfLongRunning = 50;

/// Adds to a counter of a map and erases it at zero.
template <typename Key>
void AddTo(std::map<Key, uint32_t>& counts, const Key& key, int sign) {
  uint32_t& count = counts[key];
  count += static_cast<uint32_t>(sign);
  if (count == 0)
    counts.erase(key);
}

/// What a task of the step takes of a worker's capacity.
Resources AllocatedTo(const StepSpec& step) {
  Resources resources = step.resources();
  if (step.is_best_effort)
    resources.cpu_millicores = 0;
  return resources;
}

}  // namespace

bool WorkerAllocation::Fits(const StepSpec& step) const {
  return (m_used + AllocatedTo(step)).FitsIn(m_capacity);
}

bool WorkerAllocation::FitsAlone(const StepSpec& step) const {
  return AllocatedTo(step).FitsIn(m_capacity);
}

int64_t WorkerAllocation::ExpectedIdleCpu() const {
  return free_cpu() + m_long_running_cpu * kIdlePercentOfLongRunning / 100;
}

uint32_t WorkerAllocation::CountOfStep(const TaskName& task) const {
  const auto it =
      m_by_step.find(StepKey{task.workflow, task.occurrence, task.step});
  return it == m_by_step.end() ? 0 : it->second;
}

uint32_t WorkerAllocation::CountOfWorkflow(WorkflowKey workflow) const {
  const auto it = m_by_workflow.find(workflow);
  return it == m_by_workflow.end() ? 0 : it->second;
}

void WorkerAllocation::Count(const TaskName& task,
                             const StepSpec& step,
                             int sign) {
  Resources amount = step.resources();
  if (step.is_best_effort) {
    m_best_effort_cpu += sign * amount.cpu_millicores;
    int64_t& of_image = m_best_effort_cpu_by_image[step.image];
    of_image += sign * amount.cpu_millicores;
    if (of_image == 0)
      m_best_effort_cpu_by_image.erase(step.image);
    amount.cpu_millicores = 0;
  } else if (step.is_long_running) {
    m_long_running_cpu += sign * amount.cpu_millicores;
    if (step.latency_target > Millis(0))
      AddTo(m_latency_critical_images, step.image, sign);
  }
  if (sign > 0)
    m_used += amount;
  else
    m_used -= amount;
  AddTo(m_by_step, StepKey{task.workflow, task.occurrence, task.step}, sign);
  AddTo(m_by_workflow, task.workflow, sign);
}

}  // namespace fulmarrock
