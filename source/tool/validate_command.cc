#include "source/tool/validate_command.h"

#include <ostream>

#include <nlohmann/json.hpp>

#include "source/config/configuration_json.h"
#include "source/config/settings.h"
#include "source/tool/configuration_file.h"

namespace fulmarrock::tool {
namespace {

Result<void> Validate(const std::string& path, const std::string& kind) {
  if (kind == "settings") {
    const Result<std::string> text = ReadTextFile(path);
    if (!text)
      return tl::make_unexpected(text.error());
    const Result<Settings> settings = ParseSettings(*text);
    if (!settings)
      return tl::make_unexpected(settings.error());
    return {};
  }
  if (kind == "job") {
    const Result<nlohmann::json> value = ReadJsonFile(path);
    if (!value)
      return tl::make_unexpected(value.error());
    const Result<JobSpec> spec = JobSpecFromJson(*value);
    if (!spec)
      return tl::make_unexpected(spec.error());
    return {};
  }
  if (kind == "lists") {
    const Result<Configuration> configuration = ReadConfigurationFile(path);
    if (!configuration)
      return tl::make_unexpected(configuration.error());
    return {};
  }
  return MakeError(ErrorKind::kInvalidArgument,
                   "\"" + kind + "\" is not a kind of file",
                   "use lists, job or settings");
}

}  // namespace

void ValidateCommand::AddOptions(po::options_description& options) const {
  options.add_options()("kind",
                        po::value<std::string>()->default_value("lists"),
                        "what the file holds: lists, job or settings");
}

ExitCode ValidateCommand::Run(const CommandContext& context,
                              const po::variables_map& options) const {
  const Result<std::string> path = OneArgument(options);
  if (!path)
    return context.Fail(path.error());
  const Result<void> valid = Validate(*path, options["kind"].as<std::string>());
  if (!valid)
    return context.Fail(valid.error());
  if (context.prints_json)
    context.out << "{\"valid\": true}\n";
  else
    context.out << *path << " is valid\n";
  return ExitCode::kSuccess;
}

}  // namespace fulmarrock::tool
