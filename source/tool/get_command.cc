#include "source/tool/get_command.h"

#include <ostream>

#include <nlohmann/json.hpp>

namespace fulmarrock::tool {

ExitCode GetCommand::Run(const CommandContext& context,
                         const po::variables_map&) const {
  const Result<nlohmann::json> answer = context.client.Get("/v1/configuration");
  if (!answer)
    return context.Fail(answer.error());
  if (context.prints_json) {
    context.out << answer->dump(2) << '\n';
    return ExitCode::kSuccess;
  }
  // The text form is a valid list file, so that it can be edited and applied.
  context.out
      << "// version " << answer->value("version", uint64_t{0}) << '\n'
      << answer->value("configuration", nlohmann::json::object()).dump(2)
      << '\n';
  return ExitCode::kSuccess;
}

}  // namespace fulmarrock::tool
