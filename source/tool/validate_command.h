#ifndef SOURCE_TOOL_VALIDATE_COMMAND_H_
#define SOURCE_TOOL_VALIDATE_COMMAND_H_

#include "source/tool/command.h"

namespace fulmarrock::tool {

/// Validates a configuration, job or settings file without a daemon.
class ValidateCommand : public Command {
 public:
  std::string_view Name() const override { return "validate"; }
  std::string_view Summary() const override {
    return "Checks a file without contacting a daemon";
  }
  std::string_view ArgumentName() const override { return "FILE"; }
  void AddOptions(po::options_description& options) const override;
  ExitCode Run(const CommandContext& context,
               const po::variables_map& options) const override;
};

}  // namespace fulmarrock::tool

#endif  // SOURCE_TOOL_VALIDATE_COMMAND_H_
