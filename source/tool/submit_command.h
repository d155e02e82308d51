#ifndef SOURCE_TOOL_SUBMIT_COMMAND_H_
#define SOURCE_TOOL_SUBMIT_COMMAND_H_

#include "source/tool/command.h"

namespace fulmarrock::tool {

/// Submits a job described in a file.
class SubmitCommand : public Command {
 public:
  std::string_view Name() const override { return "submit"; }
  std::string_view Summary() const override { return "Submits a job"; }
  std::string_view ArgumentName() const override { return "FILE"; }
  void AddOptions(po::options_description& options) const override;
  ExitCode Run(const CommandContext& context,
               const po::variables_map& options) const override;
};

}  // namespace fulmarrock::tool

#endif  // SOURCE_TOOL_SUBMIT_COMMAND_H_
