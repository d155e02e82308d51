#include "source/tool/get_command.h"

#include <ostream>

#include <nlohmann/json.hpp>

namespace fulmarrock::tool {

ExitCode GetCommand::Run(const CommandContext& context,
                         const po::variables_map&) const {
  const Result<nlohmann::json> reply = context.client.Get("/v1/configuration");
  if (!reply)
    return context.Fail(reply.error());
  if (context.prints_json) {
    context.out << reply->dump(2) << '\n';
    return ExitCode::kSuccess;
  }
  // The text is a valid configuration file, so it can be edited and applied.
  context.out << "// version " << reply->value("version", uint64_t{0}) << '\n'
              << reply->value("configuration", nlohmann::json::object()).dump(2)
              << '\n';
  return ExitCode::kSuccess;
}

}  // namespace fulmarrock::tool
