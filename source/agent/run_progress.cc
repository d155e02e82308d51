#include "source/agent/run_progress.h"

#include <algorithm>

namespace fulmarrock {
namespace {

/// Time without progress after which a run is reported as stalled: the larger
/// of this and a share of its estimate.
constexpr Millis kStallAfter{2'500};
constexpr int64_t kStallPercentOfEstimate = 60;
/// Progress of a task that is slowed down tells nothing about the worker.
constexpr int64_t kLowestJudgedPace = 100;

}  // namespace

void NoteProgress(LocalRun& local, int64_t percent, Millis now) {
  const bool is_judged = local.speed_limit_percent >= kLowestJudgedPace ||
                         !local.instruction.is_best_effort;
  if (percent == local.progress_percent && is_judged)
    return;
  local.progress_percent = percent;
  local.progress_at = now;
}

std::vector<StalledRun> FindStalledRuns(const LocalRuns& runs, Millis now) {
  std::vector<StalledRun> stalled_runs;
  for (const auto& [task, local] : runs) {
    const StartInstruction& instruction = local.instruction;
    const bool is_judged = local.stage == RunStage::kRunning &&
                           local.is_described && !instruction.is_long_running &&
                           !instruction.is_best_effort;
    if (!is_judged)
      continue;
    const Millis limit = std::max(
        kStallAfter, instruction.estimate * kStallPercentOfEstimate / 100);
    const Millis time_without_progress = now - local.progress_at;
    if (time_without_progress >= limit)
      stalled_runs.push_back({task, local.run, time_without_progress});
  }
  return stalled_runs;
}

}  // namespace fulmarrock
