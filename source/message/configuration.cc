#include "source/message/configuration.h"

#include <algorithm>
#include <string_view>

namespace fulmarrock {
namespace {

template <typename Item>
auto LowerBound(std::vector<Item>& items, std::string_view name) {
  return std::lower_bound(items.begin(), items.end(), name,
                          [](const Item& item, std::string_view wanted) {
                            return item.name < wanted;
                          });
}

template <typename Item>
const Item* Find(const std::vector<Item>& items, std::string_view name) {
  const auto it =
      std::lower_bound(items.begin(), items.end(), name,
                       [](const Item& item, std::string_view wanted) {
                         return item.name < wanted;
                       });
  return it != items.end() && it->name == name ? &*it : nullptr;
}

template <typename Item>
void ComputeListChange(const std::vector<Item>& from,
                       const std::vector<Item>& to,
                       std::vector<Item>& changed,
                       std::vector<std::string>& removed) {
  for (const Item& item : to) {
    const Item* old_item = Find(from, item.name);
    if (!old_item || !(*old_item == item))
      changed.push_back(item);
  }
  for (const Item& item : from) {
    if (!Find(to, item.name))
      removed.push_back(item.name);
  }
}

template <typename Item>
void ApplyListChange(const std::vector<Item>& changed,
                     const std::vector<std::string>& removed,
                     std::vector<Item>& items) {
  for (const std::string& name : removed) {
    const auto it = LowerBound(items, name);
    if (it != items.end() && it->name == name)
      items.erase(it);
  }
  for (const Item& item : changed) {
    const auto it = LowerBound(items, item.name);
    if (it != items.end() && it->name == item.name)
      *it = item;
    else
      items.insert(it, item);
  }
}

}  // namespace

const Plan* Configuration::FindPlan(std::string_view name) const {
  return Find(plans, name);
}

const Customer* Configuration::FindCustomer(std::string_view name) const {
  return Find(customers, name);
}

const Plan* Configuration::FindPlanOfCustomer(std::string_view customer) const {
  const Customer* found = FindCustomer(customer);
  return found ? FindPlan(found->plan) : nullptr;
}

ConfigurationChange ComputeChange(const Configuration& from,
                                  const Configuration& to,
                                  uint64_t version) {
  ConfigurationChange change;
  change.version = version;
  ComputeListChange(from.plans, to.plans, change.changed_plans,
                    change.removed_plans);
  ComputeListChange(from.customers, to.customers, change.changed_customers,
                    change.removed_customers);
  return change;
}

void ApplyChange(const ConfigurationChange& change,
                 Configuration& configuration) {
  ApplyListChange(change.changed_plans, change.removed_plans,
                  configuration.plans);
  ApplyListChange(change.changed_customers, change.removed_customers,
                  configuration.customers);
}

}  // namespace fulmarrock
