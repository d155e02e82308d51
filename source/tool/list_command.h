#ifndef SOURCE_TOOL_LIST_COMMAND_H_
#define SOURCE_TOOL_LIST_COMMAND_H_

#include "source/tool/command.h"

namespace fulmarrock::tool {

/// Lists jobs.
class ListCommand : public Command {
 public:
  std::string_view Name() const override { return "list"; }
  std::string_view Summary() const override { return "Lists jobs"; }
  void AddOptions(po::options_description& options) const override;
  ExitCode Run(const CommandContext& context,
               const po::variables_map& options) const override;
};

}  // namespace fulmarrock::tool

#endif  // SOURCE_TOOL_LIST_COMMAND_H_
