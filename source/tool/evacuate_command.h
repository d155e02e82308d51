#ifndef SOURCE_TOOL_EVACUATE_COMMAND_H_
#define SOURCE_TOOL_EVACUATE_COMMAND_H_

#include <string>

#include "source/tool/command.h"

namespace fulmarrock::tool {

/// Evacuates data centres, ends their evacuation, and lists them.
class EvacuateCommand : public Command {
 public:
  std::string_view Name() const override { return "evacuate"; }
  std::string_view Summary() const override {
    return "Takes a data centre out of service, or lists them";
  }
  std::string_view ArgumentName() const override {
    return "start NAME | finish NAME | list";
  }
  ExitCode Run(const CommandContext& context,
               const po::variables_map& options) const override;

 private:
  static ExitCode Set(const CommandContext& context,
                      const std::string& data_centre,
                      bool is_evacuated);
  static ExitCode List(const CommandContext& context);
};

}  // namespace fulmarrock::tool

#endif  // SOURCE_TOOL_EVACUATE_COMMAND_H_
