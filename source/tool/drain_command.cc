#include "source/tool/drain_command.h"

#include <ostream>

#include <nlohmann/json.hpp>

namespace fulmarrock::tool {

void DrainCommand::AddOptions(po::options_description& options) const {
  options.add_options()("undo", po::bool_switch(),
                        "let the worker accept tasks again");
}

ExitCode DrainCommand::Run(const CommandContext& context,
                           const po::variables_map& options) const {
  const Result<std::string> worker = OneArgument(options);
  if (!worker)
    return context.Fail(worker.error());
  const bool is_draining = !options["undo"].as<bool>();
  const Result<nlohmann::json> reply = context.client.Post(
      "/v1/workers/" + *worker + "/drain", {{"draining", is_draining}});
  if (!reply)
    return context.Fail(reply.error());
  if (context.prints_json)
    context.out << reply->dump(2) << '\n';
  else
    context.out << *worker
                << (is_draining ? " accepts no new tasks\n"
                                : " accepts tasks again\n");
  return ExitCode::kSuccess;
}

}  // namespace fulmarrock::tool
