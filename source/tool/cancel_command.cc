#include "source/tool/cancel_command.h"

#include <ostream>
#include <vector>

#include <nlohmann/json.hpp>

#include "source/tool/job_text.h"

namespace fulmarrock::tool {

ExitCode CancelCommand::Run(const CommandContext& context,
                            const po::variables_map& options) const {
  if (options.count("argument") == 0)
    return context.Fail(OneArgument(options).error());
  std::vector<uint64_t> jobs;
  for (const std::string& text :
       options["argument"].as<std::vector<std::string>>()) {
    const Result<uint64_t> id = ParseJobId(text);
    if (!id)
      return context.Fail(id.error());
    jobs.push_back(*id);
  }
  const Result<nlohmann::json> reply =
      context.client.Post("/v1/jobs/cancel", {{"jobs", jobs}});
  if (!reply)
    return context.Fail(reply.error());
  if (context.prints_json)
    context.out << reply->dump(2) << '\n';
  else
    context.out << reply->value("cancelled", uint64_t{0})
                << " tasks are cancelled\n";
  return ExitCode::kSuccess;
}

}  // namespace fulmarrock::tool
