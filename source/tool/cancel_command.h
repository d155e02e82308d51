#ifndef SOURCE_TOOL_CANCEL_COMMAND_H_
#define SOURCE_TOOL_CANCEL_COMMAND_H_

#include "source/tool/command.h"

namespace fulmarrock::tool {

/// Cancels jobs.
class CancelCommand : public Command {
 public:
  std::string_view Name() const override { return "cancel"; }
  std::string_view Summary() const override { return "Cancels jobs"; }
  std::string_view ArgumentName() const override { return "JOB"; }
  ExitCode Run(const CommandContext& context,
               const po::variables_map& options) const override;
};

}  // namespace fulmarrock::tool

#endif  // SOURCE_TOOL_CANCEL_COMMAND_H_
