#include "source/tool/job_text.h"

#include <charconv>

#include <nlohmann/json.hpp>

namespace fulmarrock::tool {
namespace {

uint64_t Count(const nlohmann::json& job, const char* name) {
  return job.value(name, uint64_t{0});
}

}  // namespace

Result<uint64_t> ParseJobId(const std::string& text) {
  uint64_t id = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, id);
  if (result.ec != std::errc() || result.ptr != end || id == 0) {
    return MakeError(ErrorKind::kInvalidArgument,
                     "\"" + text + "\" is not a job number",
                     "use a number printed by 'fulmarrock list'");
  }
  return id;
}

std::string FormatTaskCounts(const nlohmann::json& job) {
  std::string text;
  for (const char* state :
       {"pending", "running", "completed", "failed", "cancelled"}) {
    const uint64_t count = Count(job, state);
    if (count == 0)
      continue;
    if (!text.empty())
      text += ", ";
    text += std::to_string(count) + ' ' + state;
  }
  return text.empty() ? "no tasks" : text;
}

bool HasEnded(const nlohmann::json& job) {
  return Count(job, "pending") == 0 && Count(job, "running") == 0;
}

std::string FormatJobLine(const nlohmann::json& job) {
  const nlohmann::json spec = job.value("spec", nlohmann::json::object());
  std::string line = "job " + std::to_string(Count(job, "id")) + "  " +
                     spec.value("customer", "") + '/' + spec.value("name", "") +
                     "  " + FormatTaskCounts(job);
  const std::string reason = job.value("reason", "");
  if (!reason.empty())
    line += "  (" + reason + ')';
  return line;
}

}  // namespace fulmarrock::tool
