#include "source/control/configuration_history.h"

#include <algorithm>
#include <string>
#include <utility>

namespace fulmarrock {
namespace {

// A copy of lists of these sizes stays below the frame limit of 4 MiB.
constexpr size_t kMaxPlans = 1'000;
constexpr size_t kMaxCustomers = 10'000;
constexpr size_t kMaxNameBytes = 128;

// Beyond this many changes a copy of the lists of 110 teams is smaller.
constexpr uint64_t kMaxDeltaChanges = 64;

tl::unexpected<Error> Invalid(std::string message, std::string remedy) {
  return MakeError(ErrorKind::kInvalidArgument, std::move(message),
                   std::move(remedy));
}

template <typename Item>
Result<void> ValidateNames(const std::vector<Item>& items,
                           const std::string& list) {
  for (size_t i = 0; i < items.size(); ++i) {
    const std::string& name = items[i].name;
    if (name.empty() || name.size() > kMaxNameBytes) {
      return Invalid("a name in " + list + " is empty or too long",
                     "use names of 1 to 128 bytes");
    }
    if (i > 0 && items[i - 1].name == name)
      return Invalid(name + " appears twice in " + list, "remove one of them");
  }
  return {};
}

Result<void> ValidatePlan(const Plan& plan) {
  if (plan.weight < 1 || plan.weight > Resources::kMaxAmount) {
    return Invalid(
        "plan " + plan.name + " has a weight of " + std::to_string(plan.weight),
        "set weight to 1 or more");
  }
  const bool has_bad_limit =
      plan.max_concurrent_requests < 0 || plan.max_pending_tasks < 0 ||
      plan.max_concurrent_requests > Resources::kMaxAmount ||
      plan.max_pending_tasks > Resources::kMaxAmount;
  if (has_bad_limit) {
    return Invalid("plan " + plan.name + " has a limit out of range",
                   "keep limits between 0 and 2^40");
  }
  const Resources bound{Resources::kMaxAmount, Resources::kMaxAmount,
                        Resources::kMaxAmount};
  if (plan.quota.HasNegative() || !plan.quota.FitsIn(bound)) {
    return Invalid("plan " + plan.name +
                       " has a quota out of range: " + plan.quota.ToString(),
                   "keep every amount between 0 and 2^40");
  }
  return {};
}

bool HasSmallerName(const auto& left, const auto& right) {
  return left.name < right.name;
}

}  // namespace

Result<uint64_t> ConfigurationHistory::Apply(
    uint64_t base_version,
    const Configuration& configuration) {
  if (base_version != m_version) {
    return MakeError(
        ErrorKind::kConflict,
        "the lists are at version " + std::to_string(m_version) +
            ", but the change is based on version " +
            std::to_string(base_version),
        "get the newest lists, repeat the edit and apply it again");
  }
  ConfigurationChange change =
      ComputeChange(m_configuration, configuration, m_version + 1);
  m_configuration = configuration;
  ++m_version;
  m_changes.push_back(std::move(change));
  if (m_changes.size() > kMaxChanges)
    m_changes.pop_front();
  return m_version;
}

bool ConfigurationHistory::HasChangesSince(uint64_t version) const {
  if (version == 0 || version > m_version)
    return false;
  const uint64_t missing = m_version - version;
  return missing <= m_changes.size() && missing <= kMaxDeltaChanges;
}

std::vector<ConfigurationChange> ConfigurationHistory::ChangesSince(
    uint64_t version) const {
  const auto missing = static_cast<int64_t>(m_version - version);
  return {m_changes.end() - missing, m_changes.end()};
}

ConfigurationHistory::Image ConfigurationHistory::Save() const {
  return {m_version, m_configuration, {m_changes.begin(), m_changes.end()}};
}

void ConfigurationHistory::Restore(Image image) {
  m_version = image.version;
  m_configuration = std::move(image.configuration);
  m_changes.assign(image.changes.begin(), image.changes.end());
}

void SortLists(Configuration& configuration) {
  std::sort(configuration.plans.begin(), configuration.plans.end(),
            HasSmallerName<Plan, Plan>);
  std::sort(configuration.customers.begin(), configuration.customers.end(),
            HasSmallerName<Customer, Customer>);
}

Result<void> ValidateLists(const Configuration& configuration) {
  if (configuration.plans.size() > kMaxPlans ||
      configuration.customers.size() > kMaxCustomers) {
    return Invalid("the lists are too long",
                   "keep at most 1000 plans and 10000 customers");
  }
  if (auto valid = ValidateNames(configuration.plans, "plans"); !valid)
    return valid;
  if (auto valid = ValidateNames(configuration.customers, "customers"); !valid)
    return valid;
  for (const Plan& plan : configuration.plans) {
    if (auto valid = ValidatePlan(plan); !valid)
      return valid;
  }
  for (const Customer& customer : configuration.customers) {
    if (!configuration.FindPlan(customer.plan)) {
      return Invalid("customer " + customer.name + " holds the unknown plan " +
                         customer.plan,
                     "add the plan or assign a listed one");
    }
  }
  return {};
}

}  // namespace fulmarrock
