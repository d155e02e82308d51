#ifndef SOURCE_AGENT_RUN_PROGRESS_H_
#define SOURCE_AGENT_RUN_PROGRESS_H_

#include <cstdint>
#include <vector>

#include "source/agent/run_table.h"

namespace fulmarrock {

/// Records the progress of a run from a poll response, in percent.
void UpdateProgress(LocalRun& local, int64_t percent, Millis now);

/// Returns the runs that make no progress although no speed limit applies.
std::vector<StalledRun> FindStalledRuns(const LocalRuns& runs, Millis now);

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_RUN_PROGRESS_H_
