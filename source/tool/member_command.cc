#include "source/tool/member_command.h"

#include <ostream>

#include <nlohmann/json.hpp>

namespace fulmarrock::tool {

void MemberCommand::AddOptions(po::options_description& options) const {
  options.add_options()("remove", po::bool_switch(),
                        "remove the member instead of adding it")(
      "incarnation", po::value<uint64_t>()->default_value(0),
      "incarnation of the new member's data folder, from its state dump");
}

ExitCode MemberCommand::Run(const CommandContext& context,
                            const po::variables_map& options) const {
  const Result<std::string> node = OneArgument(options);
  if (!node)
    return context.Fail(node.error());
  const bool is_removal = options["remove"].as<bool>();
  const Result<nlohmann::json> reply =
      is_removal
          ? context.client.Call("DELETE", "/v1/members/" + *node, {})
          : context.client.Post(
                "/v1/members",
                {{"node", *node},
                 {"incarnation", options["incarnation"].as<uint64_t>()}});
  if (!reply)
    return context.Fail(reply.error());
  if (context.prints_json)
    context.out << reply->dump(2) << '\n';
  else
    context.out << *node << (is_removal ? " is removed\n" : " is added\n");
  return ExitCode::kSuccess;
}

}  // namespace fulmarrock::tool
