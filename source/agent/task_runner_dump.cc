#include <nlohmann/json.hpp>

#include "source/agent/task_runner.h"
#include "source/base/json_text.h"

namespace fulmarrock {
namespace {

const char* StateName(int state) {
  static const char* const kNames[] = {"running", "checkpointing", "stopping",
                                       "ended"};
  return kNames[state];
}

}  // namespace

std::string TaskRunner::DumpState() const {
  nlohmann::json dump = {
      {"incarnation", m_settings.incarnation},
      {"leader", m_leader},
      {"announced", m_is_announced},
      {"stopping", m_is_shutting_down},
      {"unacknowledged_events", m_events.size()},
      {"leases", nlohmann::json::array()},
  };
  for (const auto& [task, lease] : m_leases) {
    dump["leases"].push_back(
        {{"task", ToString(task)},
         {"epoch", lease.epoch},
         {"state", StateName(static_cast<int>(lease.state))},
         {"remaining_ms", (lease.valid_until - m_clock.Now()).count()},
         {"suspended", lease.is_suspended}});
  }
  return ToJsonText(dump);
}

}  // namespace fulmarrock
