#ifndef SOURCE_TOOL_JOB_TEXT_H_
#define SOURCE_TOOL_JOB_TEXT_H_

#include <cstdint>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "source/base/error.h"

namespace fulmarrock::tool {

/// Reads a job number from the command line.
Result<uint64_t> ParseJobId(const std::string& text);

/// Returns the counts of a job's tasks, as "2 pending, 1 running, ...".
std::string FormatTaskCounts(const nlohmann::json& job);

/// Whether every task of the job has ended.
bool HasEnded(const nlohmann::json& job);

/// Returns one line that describes a job.
std::string FormatJobLine(const nlohmann::json& job);

}  // namespace fulmarrock::tool

#endif  // SOURCE_TOOL_JOB_TEXT_H_
