#include "source/agent/capacity_check.h"

namespace fulmarrock {
namespace {

/// Resources that a run takes of the worker's capacity.
Resources AllocationOf(const StartInstruction& instruction) {
  return {instruction.is_best_effort ? 0 : instruction.cpu_millicores,
          instruction.memory_mib, instruction.accelerators};
}

bool HasUnknownResources(const LocalRun& local) {
  return local.is_listed && !local.has_instruction;
}

}  // namespace

CapacityFit CheckCapacity(const StartInstruction& start,
                          const LocalRuns& runs,
                          const Resources& capacity) {
  Resources used = AllocationOf(start);
  bool has_unknown = false;
  for (const auto& [task, local] : runs) {
    used += AllocationOf(local.instruction);
    has_unknown |= HasUnknownResources(local);
  }
  if (!used.FitsIn(capacity))
    return CapacityFit::kExceeds;
  return has_unknown ? CapacityFit::kUnknown : CapacityFit::kFits;
}

std::vector<RunId> FindRunsWithoutInstruction(const LocalRuns& runs) {
  std::vector<RunId> found;
  for (const auto& [task, local] : runs) {
    if (HasUnknownResources(local))
      found.push_back({task, local.run});
  }
  return found;
}

}  // namespace fulmarrock
