#include "source/tool/targets_command.h"

#include <ostream>

#include <nlohmann/json.hpp>

namespace fulmarrock::tool {
namespace {

using nlohmann::json;

void PrintTarget(const json& target, std::ostream& out) {
  const int64_t in_flight = target.value("own_in_flight", int64_t{0}) +
                            target.value("others_in_flight", int64_t{0});
  out << target.value("service", "") << "  " << target.value("node", "")
      << "  in " << target.value("data_centre", "") << "  " << in_flight << '/'
      << target.value("slots", int64_t{0}) << " slots  "
      << target.value("service_time_ms", int64_t{0}) << " ms"
      << (target.value("leaving", false) ? "  leaving" : "")
      << (target.value("quarantined", false) ? "  quarantined" : "") << '\n';
}

}  // namespace

ExitCode TargetsCommand::Run(const CommandContext& context,
                             const po::variables_map& options) const {
  const Result<std::string> address = OneArgument(options);
  if (!address)
    return context.Fail(address.error());
  const Result<std::string> text = context.client.GetText(*address, "/dump");
  if (!text)
    return context.Fail(text.error());
  const json dump = json::parse(*text, nullptr, false);
  if (!dump.is_object() || !dump.contains("entry")) {
    return context.Fail({ErrorKind::kInvalidArgument,
                         *address + " does not run the entry role",
                         "name the HTTP address of an entry"});
  }
  const json targets = dump["entry"].value("targets", json::array());
  if (context.prints_json) {
    context.out << targets.dump(2) << '\n';
    return ExitCode::kSuccess;
  }
  for (const json& target : targets)
    PrintTarget(target, context.out);
  return ExitCode::kSuccess;
}

}  // namespace fulmarrock::tool
