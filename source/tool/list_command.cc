#include "source/tool/list_command.h"

#include <ostream>

#include <nlohmann/json.hpp>

#include "source/tool/job_text.h"

namespace fulmarrock::tool {

void ListCommand::AddOptions(po::options_description& options) const {
  options.add_options()("customer", po::value<std::string>(),
                        "list only the jobs of this customer");
}

ExitCode ListCommand::Run(const CommandContext& context,
                          const po::variables_map& options) const {
  std::string path = "/v1/jobs";
  if (options.count("customer") != 0)
    path += "?customer=" + options["customer"].as<std::string>();
  const Result<nlohmann::json> reply = context.client.Get(path);
  if (!reply)
    return context.Fail(reply.error());
  if (context.prints_json) {
    context.out << reply->dump(2) << '\n';
    return ExitCode::kSuccess;
  }
  for (const nlohmann::json& job :
       reply->value("jobs", nlohmann::json::array()))
    context.out << FormatJobLine(job) << '\n';
  return ExitCode::kSuccess;
}

}  // namespace fulmarrock::tool
