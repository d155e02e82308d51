#ifndef BENCH_UNLIMITED_PLAN_H_
#define BENCH_UNLIMITED_PLAN_H_

#include <initializer_list>
#include <string>

#include "source/message/configuration.h"

namespace fulmarrock::bench {

/// Returns a configuration in which these customers have the same plan, whose
/// quota of CPU and memory no benchmark reaches. It allows no accelerators.
inline Configuration MakeUnlimitedConfiguration(
    std::initializer_list<std::string> customers) {
  Plan plan;
  plan.name = "p";
  plan.quota = {Resources::kMaxAmount, Resources::kMaxAmount, 0};
  Configuration configuration;
  configuration.plans.push_back(plan);
  for (const std::string& customer : customers)
    configuration.customers.push_back({customer, plan.name});
  return configuration;
}

}  // namespace fulmarrock::bench

#endif  // BENCH_UNLIMITED_PLAN_H_
