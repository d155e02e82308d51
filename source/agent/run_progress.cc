#include "source/agent/run_progress.h"

#include <algorithm>

namespace fulmarrock {
namespace {

/// A run is reported as stalled after this time without progress, or after this
/// percentage of its estimated duration if that is longer.
constexpr Millis kMinStallTime{2'500};
constexpr int64_t kStallPercentOfEstimate = 60;
/// Missing progress of a task under a speed limit does not point to a fault of
/// the worker.
constexpr int64_t kMinCheckedSpeedLimit = 100;

}  // namespace

void UpdateProgress(LocalRun& local, int64_t percent, Millis now) {
  const bool is_checked = local.pace_percent >= kMinCheckedSpeedLimit ||
                          !local.instruction.is_filler;
  if (percent == local.progress_percent && is_checked)
    return;
  local.progress_percent = percent;
  local.progress_at = now;
}

std::vector<RunStall> FindStalledRuns(const LocalRuns& runs, Millis now) {
  std::vector<RunStall> stalls;
  for (const auto& [task, local] : runs) {
    const StartOrder& instruction = local.instruction;
    const bool is_checked = local.stage == RunStage::kRunning &&
                            local.has_instruction && !instruction.is_lasting &&
                            !instruction.is_filler;
    if (!is_checked)
      continue;
    const Millis limit = std::max(
        kMinStallTime, instruction.estimate * kStallPercentOfEstimate / 100);
    const Millis quiet = now - local.progress_at;
    if (quiet >= limit)
      stalls.push_back({task, local.run, quiet});
  }
  return stalls;
}

}  // namespace fulmarrock
