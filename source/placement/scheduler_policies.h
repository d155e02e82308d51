#ifndef SOURCE_PLACEMENT_SCHEDULER_POLICIES_H_
#define SOURCE_PLACEMENT_SCHEDULER_POLICIES_H_

#include <memory>

#include "source/placement/customer_order.h"
#include "source/placement/eviction_policy.h"
#include "source/placement/failure_attribution.h"
#include "source/placement/interference_model.h"
#include "source/placement/placement_policy.h"
#include "source/placement/usage_estimator.h"

namespace fulmarrock {

/// The policies of a FairScheduler. Later members may hold references to
/// earlier ones.
struct SchedulerPolicies {
  std::unique_ptr<CustomerOrder> customer_order;
  std::unique_ptr<UsageEstimator> estimator;
  std::unique_ptr<InterferenceModel> interference;
  std::unique_ptr<FailureAttribution> failure_attribution;
  std::unique_ptr<PlacementPolicy> placement;
  std::unique_ptr<EvictionPolicy> eviction;
};

/// Returns the policies used in production.
SchedulerPolicies MakeDefaultPolicies();

/// Returns the baseline of every policy, for comparisons.
SchedulerPolicies MakeBaselinePolicies();

}  // namespace fulmarrock

#endif  // SOURCE_PLACEMENT_SCHEDULER_POLICIES_H_
