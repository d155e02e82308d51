#ifndef SOURCE_TOOL_DIFF_COMMAND_H_
#define SOURCE_TOOL_DIFF_COMMAND_H_

#include "source/tool/command.h"

namespace fulmarrock::tool {

/// Shows how a file differs from the current configuration.
class DiffCommand : public Command {
 public:
  std::string_view Name() const override { return "diff"; }
  std::string_view Summary() const override {
    return "Shows how a file differs from the lists in effect";
  }
  std::string_view ArgumentName() const override { return "FILE"; }
  ExitCode Run(const CommandContext& context,
               const po::variables_map& options) const override;
};

}  // namespace fulmarrock::tool

#endif  // SOURCE_TOOL_DIFF_COMMAND_H_
