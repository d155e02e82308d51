#ifndef SOURCE_TOOL_SHOW_COMMAND_H_
#define SOURCE_TOOL_SHOW_COMMAND_H_

#include "source/tool/command.h"

namespace fulmarrock::tool {

/// Shows one job with its tasks.
class ShowCommand : public Command {
 public:
  std::string_view Name() const override { return "show"; }
  std::string_view Summary() const override {
    return "Shows a job with its tasks";
  }
  std::string_view ArgumentName() const override { return "JOB"; }
  ExitCode Run(const CommandContext& context,
               const po::variables_map& options) const override;
};

}  // namespace fulmarrock::tool

#endif  // SOURCE_TOOL_SHOW_COMMAND_H_
