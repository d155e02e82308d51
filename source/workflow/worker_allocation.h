#ifndef SOURCE_WORKFLOW_WORKER_ALLOCATION_H_
#define SOURCE_WORKFLOW_WORKER_ALLOCATION_H_

#include <map>
#include <string>
#include <utility>

#include "source/base/resources.h"
#include "source/message/workflow.h"
#include "source/workflow/workflow_commands.h"

namespace fulmarrock {

/// What the active runs of one worker take, kept up to date run by run.
class WorkerAllocation {
 public:
  explicit WorkerAllocation(const WorkerAttributes& attributes)
      : m_capacity(attributes.capacity()) {}

  void Add(const TaskName& task, const StepSpec& step) { Count(task, step, 1); }
  void Remove(const TaskName& task, const StepSpec& step) {
    Count(task, step, -1);
  }

  /// Whether a task fits. Processors of a filler do not count.
  bool Fits(const StepSpec& step) const;

  /// Processors that no counted run has reserved, in millicores.
  int64_t free_cpu() const {
    return m_capacity.cpu_millicores - m_used.cpu_millicores;
  }
  /// Processors, in millicores, that are expected to be left for fillers:
  /// lasting tasks use only a part of what they reserve.
  int64_t ExpectedIdleCpu() const;
  /// Processors that the fillers would use at full speed, in millicores.
  int64_t filler_cpu() const { return m_filler_cpu; }
  /// The same by image.
  const std::map<std::string, int64_t>& filler_cpu_by_image() const {
    return m_filler_cpu_by_image;
  }
  /// Images of the tasks that serve, with their number.
  const std::map<std::string, uint32_t>& serving_images() const {
    return m_serving_images;
  }
  /// Tasks of one occurrence's step, and of a whole workflow.
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
  int64_t m_lasting_cpu = 0;
  std::map<std::string, uint32_t> m_serving_images;
  int64_t m_filler_cpu = 0;
  std::map<std::string, int64_t> m_filler_cpu_by_image;
  std::map<StepKey, uint32_t> m_by_step;
  std::map<WorkflowKey, uint32_t> m_by_workflow;
};

}  // namespace fulmarrock

#endif  // SOURCE_WORKFLOW_WORKER_ALLOCATION_H_
