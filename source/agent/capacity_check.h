#ifndef SOURCE_AGENT_CAPACITY_CHECK_H_
#define SOURCE_AGENT_CAPACITY_CHECK_H_

#include <vector>

#include "source/agent/run_table.h"
#include "source/base/resources.h"
#include "source/message/workflow_messages.h"

namespace fulmarrock {

/// Whether a run fits into the capacity that others leave.
enum class CapacityFit : uint8_t {
  kFits,
  kExceeds,
  kUnknown,  ///< The resources of a run on the worker are not known.
};

/// Checks a new run against the worker's current capacity. All `runs` count
/// until their end is known, whatever their stage: one that is starting or
/// unconfirmed may execute, and one that is being stopped still does.
///
/// A run without an instruction that the worker has never listed counts
/// nothing: it is known only from a stop instruction, which keeps it from
/// starting. One that the worker lists is from an earlier agent process; its
/// resources are unknown until control sends its instruction or it ends.
CapacityFit CheckCapacity(const StartInstruction& start,
                          const LocalRuns& runs,
                          const Resources& capacity);

/// Returns the runs that the worker lists and whose resources are unknown.
std::vector<RunId> FindRunsWithoutInstruction(const LocalRuns& runs);

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_CAPACITY_CHECK_H_
