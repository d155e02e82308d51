#ifndef SOURCE_TOOL_APPLY_COMMAND_H_
#define SOURCE_TOOL_APPLY_COMMAND_H_

#include "source/tool/command.h"

namespace fulmarrock::tool {

/// Replaces the configuration (plans and customers) with that of a file.
class ApplyCommand : public Command {
 public:
  std::string_view Name() const override { return "apply"; }
  std::string_view Summary() const override {
    return "Replaces the lists of plans and customers";
  }
  std::string_view ArgumentName() const override { return "FILE"; }
  void AddOptions(po::options_description& options) const override;
  ExitCode Run(const CommandContext& context,
               const po::variables_map& options) const override;
};

}  // namespace fulmarrock::tool

#endif  // SOURCE_TOOL_APPLY_COMMAND_H_
