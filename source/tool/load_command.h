#ifndef SOURCE_TOOL_LOAD_COMMAND_H_
#define SOURCE_TOOL_LOAD_COMMAND_H_

#include "source/tool/command.h"

namespace fulmarrock::tool {

/// Sends requests to an entry at a fixed rate and reports latencies.
class LoadCommand : public Command {
 public:
  std::string_view Name() const override { return "load"; }
  std::string_view Summary() const override {
    return "Sends requests at a fixed rate";
  }
  std::string_view ArgumentName() const override { return "SERVICE"; }
  void AddOptions(po::options_description& options) const override;
  ExitCode Run(const CommandContext& context,
               const po::variables_map& options) const override;
};

}  // namespace fulmarrock::tool

#endif  // SOURCE_TOOL_LOAD_COMMAND_H_
