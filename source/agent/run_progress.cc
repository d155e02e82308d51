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
  const bool is_checked = local.speed_limit_percent >= kMinCheckedSpeedLimit ||
                          !local.instruction.is_best_effort;
  if (percent == local.progress_percent && is_checked)
    return;
  local.progress_percent = percent;
  local.progress_at = now;
}

std::vector<StalledRun> FindStalledRuns(const LocalRuns& runs, Millis now) {
  std::vector<StalledRun> stalled_runs;
  for (const auto& [task, local] : runs) {
    const StartInstruction& instruction = local.instruction;
    const bool is_checked =
        local.stage == RunStage::kRunning && local.has_instruction &&
        !instruction.is_long_running && !instruction.is_best_effort;
    if (!is_checked)
      continue;
    const Millis limit = std::max(
        kMinStallTime, instruction.estimate * kStallPercentOfEstimate / 100);
    const Millis time_without_progress = now - local.progress_at;
    if (time_without_progress >= limit)
      stalled_runs.push_back({task, local.run, time_without_progress});
  }
  return stalled_runs;
}

}  // namespace fulmarrock
