#include "source/tool/diff_command.h"

#include <ostream>

#include <nlohmann/json.hpp>

#include "source/config/configuration_json.h"
#include "source/tool/configuration_file.h"

namespace fulmarrock::tool {
namespace {

template <typename Item>
void PrintChanges(std::ostream& out,
                  std::string_view label,
                  const std::vector<Item>& changed,
                  const std::vector<std::string>& removed,
                  const std::vector<Item>& old_items) {
  for (const Item& item : changed) {
    bool is_new = true;
    for (const Item& old_item : old_items)
      is_new = is_new && old_item.name != item.name;
    out << (is_new ? "+ " : "~ ") << label << ' ' << item.name << '\n';
  }
  for (const std::string& name : removed)
    out << "- " << label << ' ' << name << '\n';
}

}  // namespace

ExitCode DiffCommand::Run(const CommandContext& context,
                          const po::variables_map& options) const {
  const Result<std::string> path = OneArgument(options);
  if (!path)
    return context.Fail(path.error());
  const Result<Configuration> configuration = ReadConfigurationFile(*path);
  if (!configuration)
    return context.Fail(configuration.error());
  const Result<nlohmann::json> reply = context.client.Get("/v1/configuration");
  if (!reply)
    return context.Fail(reply.error());
  const uint64_t version = reply->value("version", uint64_t{0});
  const Result<Configuration> current = ConfigurationFromJson(
      reply->value("configuration", nlohmann::json::object()));
  if (!current)
    return context.Fail(current.error());
  const ConfigurationChange change =
      ComputeChange(*current, *configuration, version);
  if (context.prints_json) {
    nlohmann::json value = {{"base_version", version},
                            {"changed_plans", nlohmann::json::array()},
                            {"removed_plans", change.removed_plans},
                            {"changed_customers", nlohmann::json::array()},
                            {"removed_customers", change.removed_customers}};
    for (const Plan& plan : change.changed_plans)
      value["changed_plans"].push_back(plan.name);
    for (const Customer& customer : change.changed_customers)
      value["changed_customers"].push_back(customer.name);
    context.out << value.dump(2) << '\n';
    return ExitCode::kSuccess;
  }
  context.out << "against version " << version << ":\n";
  PrintChanges(context.out, "plan", change.changed_plans, change.removed_plans,
               current->plans);
  PrintChanges(context.out, "customer", change.changed_customers,
               change.removed_customers, current->customers);
  return ExitCode::kSuccess;
}

}  // namespace fulmarrock::tool
