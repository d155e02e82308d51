#include "source/tool/submit_command.h"

#include <ostream>

#include <nlohmann/json.hpp>

#include "source/config/configuration_json.h"
#include "source/tool/configuration_file.h"

namespace fulmarrock::tool {

void SubmitCommand::AddOptions(po::options_description& options) const {
  options.add_options()(
      "operation-id", po::value<std::string>(),
      "id of this submission; give the same one to repeat it after a lost "
      "answer, and the job is created once");
}

ExitCode SubmitCommand::Run(const CommandContext& context,
                            const po::variables_map& options) const {
  const Result<std::string> path = OneArgument(options);
  if (!path)
    return context.Fail(path.error());
  const Result<nlohmann::json> value = ReadJsonFile(*path);
  if (!value)
    return context.Fail(value.error());
  const Result<JobSpec> spec = JobSpecFromJson(*value);
  if (!spec)
    return context.Fail(spec.error());
  const std::string operation_id =
      options.count("operation-id") != 0
          ? options["operation-id"].as<std::string>()
          : OperatorClient::NewOperationId();
  const Result<nlohmann::json> reply = context.client.Post(
      "/v1/jobs",
      {{"operation_id", operation_id}, {"job", JobSpecToJson(*spec)}});
  if (!reply)
    return context.Fail(reply.error());
  if (context.prints_json)
    context.out << reply->dump(2) << '\n';
  else
    context.out << "job " << reply->value("job", uint64_t{0}) << '\n';
  return ExitCode::kSuccess;
}

}  // namespace fulmarrock::tool
