#ifndef SOURCE_TOOL_MEMBER_COMMAND_H_
#define SOURCE_TOOL_MEMBER_COMMAND_H_

#include "source/tool/command.h"

namespace fulmarrock::tool {

/// Adds a control member or removes one.
class MemberCommand : public Command {
 public:
  std::string_view Name() const override { return "member"; }
  std::string_view Summary() const override {
    return "Adds or removes a control member";
  }
  std::string_view ArgumentName() const override { return "NODE"; }
  void AddOptions(po::options_description& options) const override;
  ExitCode Run(const CommandContext& context,
               const po::variables_map& options) const override;
};

}  // namespace fulmarrock::tool

#endif  // SOURCE_TOOL_MEMBER_COMMAND_H_
