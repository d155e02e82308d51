#include "source/tool/evacuate_command.h"

#include <cstdint>
#include <ostream>
#include <vector>

#include <nlohmann/json.hpp>

namespace fulmarrock::tool {
namespace {

using nlohmann::json;

void PrintDataCentre(const json& data_centre, std::ostream& out) {
  const bool is_evacuated = data_centre.value("evacuated", false);
  out << data_centre.value("name", "") << "  "
      << (is_evacuated ? "evacuated" : "in service");
  if (is_evacuated) {
    out << " for " << data_centre.value("since_ms_ago", int64_t{0}) / 1'000
        << " s";
  }
  out << "  " << data_centre.value("workers", int64_t{0}) << " workers  "
      << data_centre.value("active_tasks", int64_t{0}) << " tasks ("
      << data_centre.value("active_long_running", int64_t{0})
      << " long-running, "
      << data_centre.value("active_best_effort", int64_t{0})
      << " best-effort)\n";
}

}  // namespace

ExitCode EvacuateCommand::Run(const CommandContext& context,
                              const po::variables_map& options) const {
  std::vector<std::string> arguments;
  if (options.count("argument") != 0)
    arguments = options["argument"].as<std::vector<std::string>>();
  if (arguments.size() == 1 && arguments[0] == "list")
    return List(context);
  if (arguments.size() == 2 && arguments[0] == "start")
    return Set(context, arguments[1], true);
  if (arguments.size() == 2 && arguments[0] == "finish")
    return Set(context, arguments[1], false);
  return context.Fail({ErrorKind::kInvalidArgument,
                       "evacuate takes \"start NAME\", \"finish NAME\" or "
                       "\"list\"",
                       "see 'fulmarrock help evacuate'"});
}

ExitCode EvacuateCommand::Set(const CommandContext& context,
                              const std::string& data_centre,
                              bool is_evacuated) {
  const Result<json> reply =
      context.client.Post("/v1/data-centres/" + data_centre + "/evacuation",
                          {{"evacuated", is_evacuated}});
  if (!reply)
    return context.Fail(reply.error());
  if (context.prints_json)
    context.out << reply->dump(2) << '\n';
  else
    context.out << data_centre
                << (is_evacuated ? " is evacuated\n" : " is in service\n");
  return ExitCode::kSuccess;
}

ExitCode EvacuateCommand::List(const CommandContext& context) {
  const Result<json> reply = context.client.Get("/v1/data-centres");
  if (!reply)
    return context.Fail(reply.error());
  if (context.prints_json) {
    context.out << reply->dump(2) << '\n';
    return ExitCode::kSuccess;
  }
  for (const json& data_centre : reply->value("data_centres", json::array()))
    PrintDataCentre(data_centre, context.out);
  return ExitCode::kSuccess;
}

}  // namespace fulmarrock::tool
