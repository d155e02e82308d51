#include <nlohmann/json.hpp>

#include "source/base/json_text.h"
#include "source/control/control_role.h"

namespace fulmarrock {
namespace {

nlohmann::json DumpResources(const Resources& resources) {
  return {{"cpu_millicores", resources.cpu_millicores},
          {"memory_mib", resources.memory_mib},
          {"accelerators", resources.accelerators}};
}

nlohmann::json DumpWorker(const WorkerView& worker) {
  return {{"node", worker.node},
          {"data_centre", worker.data_centre},
          {"rack", worker.rack},
          {"capacity", DumpResources(worker.capacity)},
          {"used", DumpResources(worker.used)},
          {"tasks", worker.running_tasks},
          {"draining", worker.is_draining},
          {"quarantined", worker.is_quarantined},
          {"alive", worker.is_alive}};
}

}  // namespace

std::string ControlRole::DumpState() const {
  const ClusterStatus status = GetStatus();
  nlohmann::json dump = {
      {"member", status.member},
      {"leader", status.leader},
      {"term", status.term},
      {"commit_index", status.commit_index},
      {"applied_index", m_last_applied},
      {"time", m_state.time().count()},
      {"configuration_version", status.configuration_version},
      {"jobs", m_state.jobs().jobs().size()},
      {"pending_tasks", status.pending_tasks},
      {"running_tasks", status.running_tasks},
      {"operations", m_state.operations().size()},
      {"claims", m_state.claims().size()},
      {"waiting_operators", m_waiters.size()},
      {"workers", nlohmann::json::array()},
      {"processes", nlohmann::json::object()},
  };
  for (const WorkerView& worker : status.workers)
    dump["workers"].push_back(DumpWorker(worker));
  for (const ProcessVersion& process : status.processes)
    dump["processes"][process.node] = process.version;
  for (const auto& [name, entry] : m_state.evacuations().entries()) {
    dump["evacuations"][name] = {
        {"is_evacuated", entry.is_evacuated},
        {"for_ms", (m_state.time() - entry.changed_at).count()}};
  }
  if (m_is_leader) {
    dump["scheduler"] = nlohmann::json::parse(m_scheduler.DumpState(), nullptr,
                                              /*allow_exceptions=*/false);
  }
  // Names come from other processes and may contain invalid UTF-8.
  return ToJsonText(dump);
}

}  // namespace fulmarrock
