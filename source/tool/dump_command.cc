#include "source/tool/dump_command.h"

#include <ostream>

namespace fulmarrock::tool {

void DumpCommand::AddOptions(po::options_description& options) const {
  options.add_options()("metrics", po::bool_switch(),
                        "print the metrics instead of the state");
}

ExitCode DumpCommand::Run(const CommandContext& context,
                          const po::variables_map& options) const {
  const Result<std::string> address = OneArgument(options);
  if (!address)
    return context.Fail(address.error());
  const char* path = options["metrics"].as<bool>() ? "/metrics" : "/dump";
  const Result<std::string> text = context.client.GetText(*address, path);
  if (!text)
    return context.Fail(text.error());
  context.out << *text << '\n';
  return ExitCode::kSuccess;
}

}  // namespace fulmarrock::tool
