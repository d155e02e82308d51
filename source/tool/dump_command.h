#ifndef SOURCE_TOOL_DUMP_COMMAND_H_
#define SOURCE_TOOL_DUMP_COMMAND_H_

#include "source/tool/command.h"

namespace fulmarrock::tool {

/// Prints the state or the metrics of one process.
class DumpCommand : public Command {
 public:
  std::string_view Name() const override { return "dump"; }
  std::string_view Summary() const override {
    return "Prints the state of a process";
  }
  std::string_view ArgumentName() const override { return "ADDRESS"; }
  void AddOptions(po::options_description& options) const override;
  ExitCode Run(const CommandContext& context,
               const po::variables_map& options) const override;
};

}  // namespace fulmarrock::tool

#endif  // SOURCE_TOOL_DUMP_COMMAND_H_
