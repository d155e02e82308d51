#include "source/tool/show_command.h"

#include <ostream>

#include <nlohmann/json.hpp>

#include "source/tool/job_text.h"

namespace fulmarrock::tool {

ExitCode ShowCommand::Run(const CommandContext& context,
                          const po::variables_map& options) const {
  const Result<std::string> argument = OneArgument(options);
  if (!argument)
    return context.Fail(argument.error());
  const Result<uint64_t> id = ParseJobId(*argument);
  if (!id)
    return context.Fail(id.error());
  const Result<nlohmann::json> job =
      context.client.Get("/v1/jobs/" + std::to_string(*id));
  if (!job)
    return context.Fail(job.error());
  if (context.prints_json) {
    context.out << job->dump(2) << '\n';
    return ExitCode::kSuccess;
  }
  context.out << FormatJobLine(*job) << '\n';
  for (const nlohmann::json& task :
       job->value("tasks", nlohmann::json::array())) {
    context.out << "  task " << task.value("index", uint64_t{0}) << "  "
                << task.value("state", "") << "  epoch "
                << task.value("epoch", uint64_t{0});
    const std::string worker = task.value("worker", "");
    if (!worker.empty())
      context.out << "  on " << worker;
    const std::string detail = task.value("detail", "");
    if (!detail.empty())
      context.out << "  (" << detail << ')';
    context.out << '\n';
  }
  return ExitCode::kSuccess;
}

}  // namespace fulmarrock::tool
