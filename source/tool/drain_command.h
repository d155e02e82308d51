#ifndef SOURCE_TOOL_DRAIN_COMMAND_H_
#define SOURCE_TOOL_DRAIN_COMMAND_H_

#include "source/tool/command.h"

namespace fulmarrock::tool {

/// Stops or resumes placing tasks on a worker.
class DrainCommand : public Command {
 public:
  std::string_view Name() const override { return "drain"; }
  std::string_view Summary() const override {
    return "Stops placing tasks on a worker";
  }
  std::string_view ArgumentName() const override { return "WORKER"; }
  void AddOptions(po::options_description& options) const override;
  ExitCode Run(const CommandContext& context,
               const po::variables_map& options) const override;
};

}  // namespace fulmarrock::tool

#endif  // SOURCE_TOOL_DRAIN_COMMAND_H_
