#include "source/config/configuration_json.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "source/config/json_reader.h"

namespace fulmarrock {
namespace {

using nlohmann::json;

constexpr int64_t kMaxWeight = 1000;
constexpr int64_t kMaxConcurrentRequests = 100'000;
constexpr int64_t kMaxPendingTasks = 1'000'000;
constexpr int64_t kMaxTasksPerJob = 100'000;
constexpr int64_t kMaxAttempts = 100;
constexpr int64_t kMaxRuntimeMs = int64_t{30} * 24 * 3600 * 1000;
constexpr size_t kMaxNameLength = 128;
// Each grant contains the payload, and several grants must fit in one frame.
constexpr size_t kMaxPayloadBytes = 64 * 1024;
// A configuration snapshot of these sizes stays below the frame limit of 4 MiB.
constexpr size_t kMaxPlans = 1'000;
constexpr size_t kMaxCustomers = 10'000;

bool IsValidName(std::string_view name) {
  const auto is_allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
  };
  return !name.empty() && name.size() <= kMaxNameLength &&
         std::all_of(name.begin(), name.end(), is_allowed);
}

void CheckName(const std::string& path,
               const std::string& name,
               FieldErrors& errors) {
  if (name.empty() || IsValidName(name))
    return;
  errors.Add(path, "\"" + name.substr(0, 40) + "\" is not a valid name",
             "use up to 128 letters, digits, '-', '_' and '.'");
}

Resources ReadResources(JsonReader& reader, int64_t minimum) {
  Resources resources;
  resources.cpu_millicores =
      reader.Integer("cpu_millicores", minimum, Resources::kMaxAmount);
  resources.memory_mib =
      reader.Integer("memory_mib", minimum, Resources::kMaxAmount);
  resources.accelerators =
      reader.Integer("accelerators", 0, Resources::kMaxAmount, 0);
  return resources;
}

Plan ReadPlan(JsonReader& reader) {
  Plan plan;
  plan.name = reader.String("name");
  plan.weight = reader.Integer("weight", 1, kMaxWeight, 1);
  plan.max_concurrent_requests =
      reader.Integer("max_concurrent_requests", 0, kMaxConcurrentRequests);
  plan.max_pending_tasks =
      reader.Integer("max_pending_tasks", 0, kMaxPendingTasks);
  plan.allows_urgent = reader.Boolean("allows_urgent", false);
  std::optional<JsonReader> quota = reader.Object("quota");
  if (quota) {
    plan.quota = ReadResources(*quota, 0);
    quota->Finish();
  } else {
    reader.Report("quota", "is missing",
                  "add { \"cpu_millicores\", \"memory_mib\", "
                  "\"accelerators\" }");
  }
  reader.Finish();
  return plan;
}

Customer ReadCustomer(JsonReader& reader) {
  Customer customer;
  customer.name = reader.String("name");
  customer.plan = reader.String("plan");
  reader.Finish();
  return customer;
}

template <typename Item>
void SortByName(std::vector<Item>& items) {
  std::stable_sort(
      items.begin(), items.end(),
      [](const Item& a, const Item& b) { return a.name < b.name; });
}

template <typename Item>
void CheckNames(const std::string& list,
                const std::vector<Item>& items,
                FieldErrors& errors) {
  for (size_t i = 0; i < items.size(); ++i) {
    const std::string path = "/" + list + "/" + items[i].name;
    if (items[i].name.empty())
      errors.Add(path, "an element has no name", "give each element a name");
    CheckName(path, items[i].name, errors);
    if (i > 0 && items[i - 1].name == items[i].name)
      errors.Add(path, "appears twice in the list", "keep one of them");
  }
}

void CheckPlan(const Plan& plan, FieldErrors& errors) {
  const std::string path = "/plans/" + plan.name;
  if (plan.weight < 1 || plan.weight > kMaxWeight)
    errors.Add(path + "/weight", "is out of range", "use 1 to 1000");
  if (plan.max_concurrent_requests < 0 ||
      plan.max_concurrent_requests > kMaxConcurrentRequests) {
    errors.Add(path + "/max_concurrent_requests", "is out of range",
               "use 0 to 100000");
  }
  if (plan.max_pending_tasks < 0 || plan.max_pending_tasks > kMaxPendingTasks)
    errors.Add(path + "/max_pending_tasks", "is out of range",
               "use 0 to 1000000");
  const Resources limit{Resources::kMaxAmount, Resources::kMaxAmount,
                        Resources::kMaxAmount};
  if (plan.quota.HasNegative() || !plan.quota.FitsIn(limit))
    errors.Add(path + "/quota", "is out of range",
               "use amounts from 0 to 2^40");
}

json ResourcesToJson(const Resources& resources) {
  return {{"cpu_millicores", resources.cpu_millicores},
          {"memory_mib", resources.memory_mib},
          {"accelerators", resources.accelerators}};
}

std::optional<TaskKind> TaskKindFromName(std::string_view name) {
  for (const TaskKind kind :
       {TaskKind::kBatch, TaskKind::kKernel, TaskKind::kService}) {
    if (TaskKindName(kind) == name)
      return kind;
  }
  return std::nullopt;
}

}  // namespace

Result<Configuration> ConfigurationFromJson(const json& value) {
  FieldErrors errors;
  Configuration configuration;
  JsonReader reader(value, "", errors);
  for (JsonReader& item : reader.Objects("plans"))
    configuration.plans.push_back(ReadPlan(item));
  for (JsonReader& item : reader.Objects("customers"))
    configuration.customers.push_back(ReadCustomer(item));
  reader.Finish();
  if (!errors.empty())
    return errors.ToError();
  SortByName(configuration.plans);
  SortByName(configuration.customers);
  const Result<void> valid = ValidateConfiguration(configuration);
  if (!valid)
    return tl::make_unexpected(valid.error());
  return configuration;
}

Result<void> ValidateConfiguration(const Configuration& configuration) {
  FieldErrors errors;
  if (configuration.plans.size() > kMaxPlans)
    errors.Add("/plans", "has too many elements", "keep at most 1000 plans");
  if (configuration.customers.size() > kMaxCustomers)
    errors.Add("/customers", "has too many elements",
               "keep at most 10000 customers");
  CheckNames("plans", configuration.plans, errors);
  CheckNames("customers", configuration.customers, errors);
  for (const Plan& plan : configuration.plans)
    CheckPlan(plan, errors);
  for (const Customer& customer : configuration.customers) {
    if (!configuration.FindPlan(customer.plan)) {
      errors.Add("/customers/" + customer.name + "/plan",
                 "names the unknown plan \"" + customer.plan + "\"",
                 "add the plan or name an existing one");
    }
  }
  if (!errors.empty())
    return errors.ToError();
  return {};
}

json ConfigurationToJson(const Configuration& configuration) {
  json plans = json::array();
  for (const Plan& plan : configuration.plans) {
    plans.push_back({{"name", plan.name},
                     {"weight", plan.weight},
                     {"max_concurrent_requests", plan.max_concurrent_requests},
                     {"max_pending_tasks", plan.max_pending_tasks},
                     {"quota", ResourcesToJson(plan.quota)},
                     {"allows_urgent", plan.allows_urgent}});
  }
  json customers = json::array();
  for (const Customer& customer : configuration.customers)
    customers.push_back({{"name", customer.name}, {"plan", customer.plan}});
  return {{"plans", std::move(plans)}, {"customers", std::move(customers)}};
}

Result<JobSpec> JobSpecFromJson(const json& value) {
  FieldErrors errors;
  JsonReader reader(value, "", errors);
  JobSpec spec;
  spec.name = reader.String("name");
  spec.customer = reader.String("customer");
  const std::string kind = reader.String("kind", "batch");
  const std::optional<TaskKind> known_kind = TaskKindFromName(kind);
  if (!known_kind)
    reader.Report("kind", "is not a known kind",
                  "use \"batch\", \"kernel\" or \"service\"");
  spec.kind = known_kind.value_or(TaskKind::kBatch);
  spec.task_count = static_cast<uint32_t>(
      reader.Integer("task_count", 1, kMaxTasksPerJob, 1));
  std::optional<JsonReader> resources = reader.Object("resources");
  if (resources) {
    spec.resources = ReadResources(*resources, 1);
    resources->Finish();
  } else {
    reader.Report("resources", "is missing",
                  "add { \"cpu_millicores\", \"memory_mib\", "
                  "\"accelerators\" } for one task");
  }
  spec.expected_runtime =
      Millis(reader.Integer("expected_runtime_ms", 0, kMaxRuntimeMs, 0));
  spec.is_urgent = reader.Boolean("urgent", false);
  spec.can_checkpoint = reader.Boolean("can_checkpoint", false);
  spec.max_attempts =
      static_cast<uint32_t>(reader.Integer("max_attempts", 1, kMaxAttempts, 3));
  spec.payload = reader.String("payload", "");
  spec.workload = reader.String("workload", "");
  reader.Finish();
  if (!errors.empty())
    return errors.ToError();
  const Result<void> valid = ValidateJobSpec(spec);
  if (!valid)
    return tl::make_unexpected(valid.error());
  return spec;
}

json JobSpecToJson(const JobSpec& spec) {
  return {{"name", spec.name},
          {"customer", spec.customer},
          {"kind", TaskKindName(spec.kind)},
          {"task_count", spec.task_count},
          {"resources", ResourcesToJson(spec.resources)},
          {"expected_runtime_ms", spec.expected_runtime.count()},
          {"urgent", spec.is_urgent},
          {"can_checkpoint", spec.can_checkpoint},
          {"max_attempts", spec.max_attempts},
          {"payload", spec.payload},
          {"workload", spec.workload}};
}

Result<void> ValidateJobSpec(const JobSpec& spec) {
  FieldErrors errors;
  CheckName("/name", spec.name, errors);
  CheckName("/customer", spec.customer, errors);
  CheckName("/workload", spec.workload, errors);
  if (spec.name.empty() || spec.customer.empty())
    errors.Add("/", "name and customer must not be empty", "set both");
  if (spec.task_count < 1 || spec.task_count > kMaxTasksPerJob)
    errors.Add("/task_count", "is out of range", "use 1 to 100000");
  if (spec.max_attempts < 1 || spec.max_attempts > kMaxAttempts)
    errors.Add("/max_attempts", "is out of range", "use 1 to 100");
  if (spec.expected_runtime < Millis(0) ||
      spec.expected_runtime > Millis(kMaxRuntimeMs))
    errors.Add("/expected_runtime_ms", "is out of range", "use 0 to 30 days");
  if (spec.payload.size() > kMaxPayloadBytes)
    errors.Add("/payload", "is larger than 64 KiB",
               "store the data elsewhere and pass a reference");
  const Result<void> resources = ValidateRequest(spec.resources);
  if (!resources)
    errors.Add("/resources", resources.error().message,
               resources.error().remedy);
  if (!errors.empty())
    return errors.ToError();
  return {};
}

std::string_view TaskKindName(TaskKind kind) {
  switch (kind) {
    case TaskKind::kBatch:
      return "batch";
    case TaskKind::kKernel:
      return "kernel";
    case TaskKind::kService:
      return "service";
  }
  return "unknown";
}

}  // namespace fulmarrock
