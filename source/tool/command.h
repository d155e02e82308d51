#ifndef SOURCE_TOOL_COMMAND_H_
#define SOURCE_TOOL_COMMAND_H_

#include <iosfwd>
#include <string>
#include <string_view>

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>

#include "source/tool/exit_code.h"
#include "source/tool/operator_client.h"

namespace fulmarrock::tool {

namespace po = boost::program_options;

/// What a command needs to run.
struct CommandContext {
  OperatorClient& client;
  /// Whether to print JSON instead of human-readable text.
  bool prints_json = false;
  std::ostream& out;
  std::ostream& err;

  /// Prints an error and returns its exit code.
  ExitCode Fail(const Error& error) const;
};

/// One command of the tool.
class Command {
 public:
  virtual ~Command() = default;

  virtual std::string_view Name() const = 0;

  /// One line for the overview of commands.
  virtual std::string_view Summary() const = 0;

  /// Name of the positional argument for the usage line, or empty. The values
  /// arrive as the option "argument", a vector of strings.
  virtual std::string_view ArgumentName() const { return ""; }

  virtual void AddOptions(po::options_description& options) const;

  virtual ExitCode Run(const CommandContext& context,
                       const po::variables_map& options) const = 0;

 protected:
  /// Returns the only positional argument, or an error with the usage.
  Result<std::string> OneArgument(const po::variables_map& options) const;
};

}  // namespace fulmarrock::tool

#endif  // SOURCE_TOOL_COMMAND_H_
