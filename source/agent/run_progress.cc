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
  const bool is_judged =
      local.pace_percent >= kLowestJudgedPace || !local.order.is_filler;
  if (percent == local.progress_percent && is_judged)
    return;
  local.progress_percent = percent;
  local.progress_at = now;
}

std::vector<RunStall> FindStalledRuns(const LocalRuns& runs, Millis now) {
  std::vector<RunStall> stalls;
  for (const auto& [task, local] : runs) {
    const StartOrder& order = local.order;
    const bool is_judged = local.stage == RunStage::kRunning &&
                           local.is_described && !order.is_lasting &&
                           !order.is_filler;
    if (!is_judged)
      continue;
    const Millis limit =
        std::max(kStallAfter, order.estimate * kStallPercentOfEstimate / 100);
    const Millis quiet = now - local.progress_at;
    if (quiet >= limit)
      stalls.push_back({task, local.run, quiet});
  }
  return stalls;
}

}  // namespace fulmarrock
