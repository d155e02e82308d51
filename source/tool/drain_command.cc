#include "source/tool/drain_command.h"

#include <ostream>

#include <nlohmann/json.hpp>

namespace fulmarrock::tool {

void DrainCommand::AddOptions(po::options_description& options) const {
  options.add_options()("undo", po::bool_switch(),
                        "let the worker take tasks again");
}

ExitCode DrainCommand::Run(const CommandContext& context,
                           const po::variables_map& options) const {
  const Result<std::string> worker = OneArgument(options);
  if (!worker)
    return context.Fail(worker.error());
  const bool is_draining = !options["undo"].as<bool>();
  const Result<nlohmann::json> answer = context.client.Post(
      "/v1/workers/" + *worker + "/drain", {{"draining", is_draining}});
  if (!answer)
    return context.Fail(answer.error());
  if (context.prints_json)
    context.out << answer->dump(2) << '\n';
  else
    context.out << *worker
                << (is_draining ? " takes no new tasks\n"
                                : " takes tasks again\n");
  return ExitCode::kSuccess;
}

}  // namespace fulmarrock::tool
