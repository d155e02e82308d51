#ifndef SOURCE_TOOL_WAIT_COMMAND_H_
#define SOURCE_TOOL_WAIT_COMMAND_H_

#include "source/tool/command.h"

namespace fulmarrock::tool {

/// Waits until a job has ended and reports its progress.
class WaitCommand : public Command {
 public:
  std::string_view Name() const override { return "wait"; }
  std::string_view Summary() const override {
    return "Waits until a job has ended";
  }
  std::string_view ArgumentName() const override { return "JOB"; }
  void AddOptions(po::options_description& options) const override;
  ExitCode Run(const CommandContext& context,
               const po::variables_map& options) const override;
};

}  // namespace fulmarrock::tool

#endif  // SOURCE_TOOL_WAIT_COMMAND_H_
