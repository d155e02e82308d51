#ifndef SOURCE_TOOL_GET_COMMAND_H_
#define SOURCE_TOOL_GET_COMMAND_H_

#include "source/tool/command.h"

namespace fulmarrock::tool {

/// Prints the current configuration.
class GetCommand : public Command {
 public:
  std::string_view Name() const override { return "get"; }
  std::string_view Summary() const override {
    return "Prints the lists in effect";
  }
  ExitCode Run(const CommandContext& context,
               const po::variables_map& options) const override;
};

}  // namespace fulmarrock::tool

#endif  // SOURCE_TOOL_GET_COMMAND_H_
