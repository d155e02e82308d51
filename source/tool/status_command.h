#ifndef SOURCE_TOOL_STATUS_COMMAND_H_
#define SOURCE_TOOL_STATUS_COMMAND_H_

#include "source/tool/command.h"

namespace fulmarrock::tool {

/// Shows members, configuration versions and workers.
class StatusCommand : public Command {
 public:
  std::string_view Name() const override { return "status"; }
  std::string_view Summary() const override {
    return "Shows members, configuration versions and workers";
  }
  ExitCode Run(const CommandContext& context,
               const po::variables_map& options) const override;
};

}  // namespace fulmarrock::tool

#endif  // SOURCE_TOOL_STATUS_COMMAND_H_
