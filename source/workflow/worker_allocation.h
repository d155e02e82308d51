#ifndef SOURCE_WORKFLOW_WORKER_ALLOCATION_H_
#define SOURCE_WORKFLOW_WORKER_ALLOCATION_H_

#include <map>
#include <string>
#include <utility>

#include "source/base/resources.h"
#include "source/message/workflow.h"
#include "source/workflow/workflow_commands.h"

namespace fulmarrock {

/// Resources allocated to the active runs of one worker, updated with each run.
class WorkerAllocation {
 public:
  explicit WorkerAllocation(const WorkerAttributes& attributes)
      : m_capacity(attributes.capacity()) {}

  /// Changes the capacity. It may be less than what is allocated; then nothing
  /// fits.
  void SetCapacity(const Resources& capacity) { m_capacity = capacity; }

  void Add(const TaskName& task, const StepSpec& step) { Count(task, step, 1); }
  void Remove(const TaskName& task, const StepSpec& step) {
    Count(task, step, -1);
  }

  /// Whether a task fits into the free capacity. CPU of a best-effort task does
  /// not count.
  bool Fits(const StepSpec& step) const;

  /// Whether a task fits into the capacity of the worker when nothing else
  /// runs.
  bool FitsAlone(const StepSpec& step) const;

  /// CPU in millicores that is not allocated to any run except best-effort
  /// ones.
  int64_t free_cpu() const {
    return m_capacity.cpu_millicores - m_used.cpu_millicores;
  }
  /// CPU in millicores that is expected to be available to best-effort tasks:
  /// long-running tasks use only a part of what they request.
  int64_t ExpectedIdleCpu() const;
  /// CPU in millicores that the best-effort tasks would use at full speed.
  int64_t best_effort_cpu() const { return m_best_effort_cpu; }
  /// The same for each image.
  const std::map<std::string, int64_t>& best_effort_cpu_by_image() const {
    return m_best_effort_cpu_by_image;
  }
  /// Images of the latency-critical tasks, with the number of tasks.
  const std::map<std::string, uint32_t>& latency_critical_images() const {
    return m_latency_critical_images;
  }
  /// Number of active tasks of the step and occurrence that `task` belongs to,
  /// and of a whole workflow.
  uint32_t CountOfStep(const TaskName& task) const;
  uint32_t CountOfWorkflow(WorkflowKey workflow) const;
  const Resources& capacity() const { return m_capacity; }
  const Resources& used() const { return m_used; }

 private:
  struct StepKey {
    WorkflowKey workflow;
    uint32_t occurrence;
    uint32_t step;
    auto operator<=>(const StepKey&) const = default;
  };

  void Count(const TaskName& task, const StepSpec& step, int sign);

  Resources m_capacity;
  Resources m_used;
  int64_t m_long_running_cpu = 0;
  std::map<std::string, uint32_t> m_latency_critical_images;
  int64_t m_best_effort_cpu = 0;
  std::map<std::string, int64_t> m_best_effort_cpu_by_image;
  std::map<StepKey, uint32_t> m_by_step;
  std::map<WorkflowKey, uint32_t> m_by_workflow;
};

}  // namespace fulmarrock

#endif  // SOURCE_WORKFLOW_WORKER_ALLOCATION_H_
