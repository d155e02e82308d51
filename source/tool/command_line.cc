#include "source/tool/command_line.h"

#include <cstdlib>
#include <iomanip>
#include <ostream>

#include <boost/program_options/parsers.hpp>
#include <boost/program_options/value_semantic.hpp>

#include <nlohmann/json.hpp>

#include "source/tool/apply_command.h"
#include "source/tool/cancel_command.h"
#include "source/tool/diff_command.h"
#include "source/tool/drain_command.h"
#include "source/tool/dump_command.h"
#include "source/tool/evacuate_command.h"
#include "source/tool/get_command.h"
#include "source/tool/list_command.h"
#include "source/tool/load_command.h"
#include "source/tool/member_command.h"
#include "source/tool/show_command.h"
#include "source/tool/status_command.h"
#include "source/tool/submit_command.h"
#include "source/tool/targets_command.h"
#include "source/tool/validate_command.h"
#include "source/tool/wait_command.h"

namespace fulmarrock::tool {
namespace {

using Strings = std::vector<std::string>;

constexpr char kAddressVariable[] = "FULMARROCK_ADDRESS";

po::options_description GlobalOptions() {
  po::options_description options("Options of every command");
  options.add_options()(
      "address,a", po::value<Strings>()->composing(),
      "HTTP address of a control member, as ip:port; may be repeated; the "
      "environment variable FULMARROCK_ADDRESS holds the default")(
      "json", po::bool_switch(), "print JSON")(
      "timeout-s", po::value<int64_t>()->default_value(15),
      "seconds to look for a member that can serve the request");
  return options;
}

Strings Addresses(const po::variables_map& options) {
  if (options.count("address") != 0)
    return options["address"].as<Strings>();
  const char* variable = std::getenv(kAddressVariable);
  return variable ? Strings{variable} : Strings{};
}

po::options_description OptionsOf(const Command& command) {
  po::options_description options("Options of " + std::string(command.Name()));
  command.AddOptions(options);
  return options;
}

}  // namespace

CommandLine::CommandLine(std::ostream& out, std::ostream& err)
    : m_out(out), m_err(err) {
  m_commands.push_back(std::make_unique<ApplyCommand>());
  m_commands.push_back(std::make_unique<DiffCommand>());
  m_commands.push_back(std::make_unique<ValidateCommand>());
  m_commands.push_back(std::make_unique<GetCommand>());
  m_commands.push_back(std::make_unique<SubmitCommand>());
  m_commands.push_back(std::make_unique<CancelCommand>());
  m_commands.push_back(std::make_unique<WaitCommand>());
  m_commands.push_back(std::make_unique<ListCommand>());
  m_commands.push_back(std::make_unique<ShowCommand>());
  m_commands.push_back(std::make_unique<StatusCommand>());
  m_commands.push_back(std::make_unique<TargetsCommand>());
  m_commands.push_back(std::make_unique<DrainCommand>());
  m_commands.push_back(std::make_unique<EvacuateCommand>());
  m_commands.push_back(std::make_unique<MemberCommand>());
  m_commands.push_back(std::make_unique<DumpCommand>());
  m_commands.push_back(std::make_unique<LoadCommand>());
}

CommandLine::~CommandLine() = default;

ExitCode CommandLine::Run(const Strings& arguments) {
  if (arguments.empty()) {
    PrintOverview(m_err);
    return ExitCode::kUsage;
  }
  const std::string& name = arguments[0];
  const Strings rest(arguments.begin() + 1, arguments.end());
  if (name == "help" || name == "--help" || name == "-h")
    return PrintHelp(rest);
  const Command* command = Find(name);
  if (!command) {
    m_err << "fulmarrock: \"" << name
          << "\" is not a command; see 'fulmarrock help'\n";
    return ExitCode::kUsage;
  }
  return RunCommand(*command, rest);
}

const Command* CommandLine::Find(std::string_view name) const {
  for (const auto& command : m_commands) {
    if (command->Name() == name)
      return command.get();
  }
  return nullptr;
}

ExitCode CommandLine::RunCommand(const Command& command,
                                 const Strings& arguments) {
  po::options_description options;
  options.add(GlobalOptions()).add(OptionsOf(command));
  options.add_options()("argument", po::value<Strings>());
  po::positional_options_description positional;
  if (!command.ArgumentName().empty())
    positional.add("argument", -1);
  po::variables_map values;
  try {
    po::store(po::command_line_parser(arguments)
                  .options(options)
                  .positional(positional)
                  .run(),
              values);
    po::notify(values);
  } catch (const po::error& e) {
    m_err << "fulmarrock " << command.Name() << ": " << e.what()
          << "; see 'fulmarrock help " << command.Name() << "'\n";
    return ExitCode::kUsage;
  }
  OperatorClient client(Addresses(values),
                        Millis::FromSeconds(values["timeout-s"].as<int64_t>()));
  const CommandContext context{client, values["json"].as<bool>(), m_out, m_err};
  try {
    return command.Run(context, values);
  } catch (const nlohmann::json::exception& e) {
    return context.Fail({ErrorKind::kCorruption,
                         std::string("unexpected reply: ") + e.what(),
                         "check that tool and daemon have compatible "
                         "versions"});
  }
}

ExitCode CommandLine::PrintHelp(const Strings& arguments) {
  if (arguments.empty()) {
    PrintOverview(m_out);
    return ExitCode::kSuccess;
  }
  const Command* command = Find(arguments[0]);
  if (!command) {
    m_err << "fulmarrock: \"" << arguments[0] << "\" is not a command\n";
    return ExitCode::kUsage;
  }
  m_out << "usage: fulmarrock " << command->Name() << " [options] "
        << command->ArgumentName() << "\n\n"
        << command->Summary() << ".\n\n"
        << OptionsOf(*command) << '\n'
        << GlobalOptions();
  return ExitCode::kSuccess;
}

void CommandLine::PrintOverview(std::ostream& stream) const {
  stream << "usage: fulmarrock COMMAND [options]\n\nCommands:\n";
  for (const auto& command : m_commands) {
    stream << "  " << std::left << std::setw(10) << command->Name()
           << command->Summary() << '\n';
  }
  stream << "  help      Describes a command\n\n" << GlobalOptions();
}

}  // namespace fulmarrock::tool
