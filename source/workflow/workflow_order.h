#ifndef SOURCE_WORKFLOW_WORKFLOW_ORDER_H_
#define SOURCE_WORKFLOW_WORKFLOW_ORDER_H_

#include <cstdint>
#include <vector>

#include "source/workflow/workflow_record.h"

namespace fulmarrock {

/// A step whose turn has come, with tasks that wait.
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

/// Decides in which order waiting work is placed.
class WorkflowOrder {
 public:
  virtual ~WorkflowOrder() = default;

  /// Sorts the steps, the first to be placed first. `now` is replicated time.
  virtual void Sort(std::vector<ReadyStep>& steps, Millis now) const = 0;
};

/// Baseline: by arrival.
class ArrivalOrder : public WorkflowOrder {
 public:
  void Sort(std::vector<ReadyStep>& steps, Millis now) const override;
};

/// Lasting tasks first, since each moment without them is lost to their users.
/// Then by the queue's priority, and within it work that can still meet its
/// objective before work that is late anyway; earlier objectives first.
class ObjectiveOrder : public WorkflowOrder {
 public:
  void Sort(std::vector<ReadyStep>& steps, Millis now) const override;
};

/// Longest chain of estimates from a step on to the end of its occurrence.
Millis RemainingChain(const WorkflowRecord& workflow,
                      const WorkflowOccurrence& occurrence);

/// Longest chain of estimates of a whole occurrence.
Millis WholeChain(const WorkflowSpec& spec);

}  // namespace fulmarrock

#endif  // SOURCE_WORKFLOW_WORKFLOW_ORDER_H_
