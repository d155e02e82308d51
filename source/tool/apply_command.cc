#include "source/tool/apply_command.h"

#include <ostream>

#include <nlohmann/json.hpp>

#include "source/config/configuration_json.h"
#include "source/tool/configuration_file.h"

namespace fulmarrock::tool {

void ApplyCommand::AddOptions(po::options_description& options) const {
  options.add_options()(
      "base", po::value<uint64_t>(),
      "version the change is based on; without it, the newest version")(
      "operation-id", po::value<std::string>(),
      "id of this change; give the same one to repeat it after a lost answer");
}

ExitCode ApplyCommand::Run(const CommandContext& context,
                           const po::variables_map& options) const {
  const Result<std::string> path = OneArgument(options);
  if (!path)
    return context.Fail(path.error());
  const Result<Configuration> configuration = ReadConfigurationFile(*path);
  if (!configuration)
    return context.Fail(configuration.error());
  uint64_t base = 0;
  if (options.count("base") != 0) {
    base = options["base"].as<uint64_t>();
  } else {
    const Result<nlohmann::json> current =
        context.client.Get("/v1/configuration");
    if (!current)
      return context.Fail(current.error());
    base = current->value("version", uint64_t{0});
  }
  const std::string operation_id =
      options.count("operation-id") != 0
          ? options["operation-id"].as<std::string>()
          : OperatorClient::NewOperationId();
  const Result<nlohmann::json> reply = context.client.Post(
      "/v1/configuration",
      {{"operation_id", operation_id},
       {"base_version", base},
       {"configuration", ConfigurationToJson(*configuration)}});
  if (!reply)
    return context.Fail(reply.error());
  if (context.prints_json)
    context.out << reply->dump(2) << '\n';
  else
    context.out << "version " << reply->value("version", uint64_t{0})
                << " is accepted\n";
  return ExitCode::kSuccess;
}

}  // namespace fulmarrock::tool
