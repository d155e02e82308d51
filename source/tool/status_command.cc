#include "source/tool/status_command.h"

#include <ostream>

#include <nlohmann/json.hpp>

namespace fulmarrock::tool {
namespace {

using nlohmann::json;

void PrintMembers(const json& status, std::ostream& out) {
  out << "leader " << status.value("leader", "") << ", term "
      << status.value("term", uint64_t{0}) << ", committed "
      << status.value("commit_index", uint64_t{0}) << '\n';
  for (const json& member : status.value("members", json::array())) {
    out << "  member " << member.value("node", "")
        << (member.value("voter", true) ? "" : "  (catching up)") << '\n';
  }
}

void PrintVersions(const json& status, std::ostream& out) {
  out << "configuration version "
      << status.value("configuration_version", uint64_t{0}) << '\n';
  for (const json& process : status.value("processes", json::array())) {
    out << "  " << process.value("node", "") << " has version "
        << process.value("version", uint64_t{0}) << ", seen "
        << process.value("age_ms", int64_t{0}) << " ms ago\n";
  }
}

void PrintWorkers(const json& status, std::ostream& out) {
  out << "tasks: " << status.value("pending_tasks", uint64_t{0}) << " pending, "
      << status.value("running_tasks", uint64_t{0}) << " running\n";
  for (const json& worker : status.value("workers", json::array())) {
    const json used = worker.value("used", json::object());
    const json capacity = worker.value("capacity", json::object());
    out << "  worker " << worker.value("node", "") << "  "
        << used.value("cpu_millicores", int64_t{0}) << '/'
        << capacity.value("cpu_millicores", int64_t{0}) << "m cpu  "
        << used.value("memory_mib", int64_t{0}) << '/'
        << capacity.value("memory_mib", int64_t{0}) << " MiB  "
        << worker.value("running_tasks", uint64_t{0}) << " tasks"
        << (worker.value("alive", true) ? "" : "  NOT ALIVE")
        << (worker.value("draining", false) ? "  draining" : "")
        << (worker.value("quarantined", false) ? "  quarantined" : "") << '\n';
  }
}

}  // namespace

ExitCode StatusCommand::Run(const CommandContext& context,
                            const po::variables_map&) const {
  const Result<json> status = context.client.Get("/v1/status");
  if (!status)
    return context.Fail(status.error());
  if (context.prints_json) {
    context.out << status->dump(2) << '\n';
    return ExitCode::kSuccess;
  }
  PrintMembers(*status, context.out);
  PrintVersions(*status, context.out);
  PrintWorkers(*status, context.out);
  return ExitCode::kSuccess;
}

}  // namespace fulmarrock::tool
