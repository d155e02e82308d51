#ifndef SOURCE_WORKFLOW_STEP_ORDERING_H_
#define SOURCE_WORKFLOW_STEP_ORDERING_H_

#include <cstdint>
#include <vector>

#include "source/workflow/workflow_record.h"

namespace fulmarrock {

/// A step with pending tasks whose dependencies are complete.
struct ReadyStep {
  const WorkflowRecord* workflow = nullptr;
  const QueueSettings* queue = nullptr;
  uint32_t occurrence = 0;
  uint32_t step = 0;
  /// When the occurrence became due, in replicated time.
  Millis due_at;

  const StepSpec& spec() const { return workflow->spec.steps[step]; }
  const WorkflowStep& state() const {
    return workflow->occurrences[occurrence].steps[step];
  }
};

/// Decides in which order the tasks of ready steps are placed.
class StepOrdering {
 public:
  virtual ~StepOrdering() = default;

  /// Sorts the steps by the order of placement. `now` is replicated time.
  virtual void Sort(std::vector<ReadyStep>& steps, Millis now) const = 0;
};

/// Baseline: first come, first served.
class ArrivalOrdering : public StepOrdering {
 public:
  void Sort(std::vector<ReadyStep>& steps, Millis now) const override;
};

/// Long-running tasks first, since they serve nobody until they run. Then by
/// the queue's priority, and within it work that can still meet its objective
/// before work that is late anyway; earlier objectives first.
class ObjectiveOrdering : public StepOrdering {
 public:
  void Sort(std::vector<ReadyStep>& steps, Millis now) const override;
};

/// Length of the critical path of an occurrence, by the estimates of its steps
/// that are not complete.
Millis RemainingCriticalPath(const WorkflowRecord& workflow,
                             const WorkflowOccurrence& occurrence);

/// Length of the critical path of a whole occurrence, by the estimates of its
/// steps.
Millis CriticalPath(const WorkflowSpec& spec);

}  // namespace fulmarrock

#endif  // SOURCE_WORKFLOW_STEP_ORDERING_H_
