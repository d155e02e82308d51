#ifndef SOURCE_TOOL_TARGETS_COMMAND_H_
#define SOURCE_TOOL_TARGETS_COMMAND_H_

#include "source/tool/command.h"

namespace fulmarrock::tool {

/// Shows the targets that one entry knows, with their load.
class TargetsCommand : public Command {
 public:
  std::string_view Name() const override { return "targets"; }
  std::string_view Summary() const override {
    return "Shows the targets that an entry knows";
  }
  std::string_view ArgumentName() const override { return "ADDRESS"; }
  ExitCode Run(const CommandContext& context,
               const po::variables_map& options) const override;
};

}  // namespace fulmarrock::tool

#endif  // SOURCE_TOOL_TARGETS_COMMAND_H_
