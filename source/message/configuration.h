#ifndef SOURCE_MESSAGE_CONFIGURATION_H_
#define SOURCE_MESSAGE_CONFIGURATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "source/base/resources.h"

namespace fulmarrock {

/// Limits and scheduling weight of the customers of one plan.
struct Plan {
  std::string name;
  /// Share of contended capacity relative to other plans; at least 1.
  int64_t weight = 1;
  /// Maximum number of requests of one customer in progress, per entry.
  int64_t max_concurrent_requests = 0;
  /// Maximum number of pending tasks of one customer.
  int64_t max_pending_tasks = 0;
  /// Maximum total resources of one customer's running tasks.
  Resources quota;
  /// Whether jobs may be marked urgent.
  bool allows_urgent = false;

  bool operator==(const Plan&) const = default;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.name, self.weight, self.max_concurrent_requests,
            self.max_pending_tasks, self.quota.cpu_millicores,
            self.quota.memory_mib, self.quota.accelerators, self.allows_urgent);
  }
};

/// A customer and its plan.
struct Customer {
  std::string name;
  std::string plan;

  bool operator==(const Customer&) const = default;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.name, self.plan);
  }
};

/// The configuration that operators set: plans and customers, each sorted by
/// name.
struct Configuration {
  std::vector<Plan> plans;
  std::vector<Customer> customers;

  bool operator==(const Configuration&) const = default;

  /// Returns the named plan or customer, or null.
  const Plan* FindPlan(std::string_view name) const;
  const Customer* FindCustomer(std::string_view name) const;

  /// Returns the plan of a customer, or null for an unknown customer.
  const Plan* FindPlanOfCustomer(std::string_view customer) const;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.plans, self.customers);
  }
};

/// The difference between two successive versions of the configuration.
struct ConfigurationChange {
  uint64_t version = 0;
  std::vector<Plan> changed_plans;
  std::vector<std::string> removed_plans;
  std::vector<Customer> changed_customers;
  std::vector<std::string> removed_customers;

  bool operator==(const ConfigurationChange&) const = default;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.version, self.changed_plans, self.removed_plans,
            self.changed_customers, self.removed_customers);
  }
};

/// Returns the change that turns `from` into `to`. `version` is that of `to`.
ConfigurationChange ComputeChange(const Configuration& from,
                                  const Configuration& to,
                                  uint64_t version);

/// Applies a change in place. Plans and customers stay sorted by name.
void ApplyChange(const ConfigurationChange& change,
                 Configuration& configuration);

}  // namespace fulmarrock

#endif  // SOURCE_MESSAGE_CONFIGURATION_H_
