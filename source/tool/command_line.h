#ifndef SOURCE_TOOL_COMMAND_LINE_H_
#define SOURCE_TOOL_COMMAND_LINE_H_

#include <iosfwd>
#include <memory>
#include <string>
#include <vector>

#include "source/tool/command.h"

namespace fulmarrock::tool {

/// Finds the command that a command line names and runs it.
class CommandLine {
 public:
  CommandLine(std::ostream& out, std::ostream& err);
  ~CommandLine();

  /// Runs the command line without the program's name.
  ExitCode Run(const std::vector<std::string>& arguments);

 private:
  const Command* Find(std::string_view name) const;
  ExitCode RunCommand(const Command& command,
                      const std::vector<std::string>& arguments);
  ExitCode PrintHelp(const std::vector<std::string>& arguments);
  void PrintOverview(std::ostream& stream) const;

  std::ostream& m_out;
  std::ostream& m_err;
  std::vector<std::unique_ptr<Command>> m_commands;
};

}  // namespace fulmarrock::tool

#endif  // SOURCE_TOOL_COMMAND_LINE_H_
