#include "source/placement/scheduler_policies.h"

#include "source/placement/packing_placement.h"

namespace fulmarrock {

SchedulerPolicies MakeDefaultPolicies() {
  SchedulerPolicies policies;
  policies.customer_order = std::make_unique<WeightedFairOrder>();
  policies.estimator = std::make_unique<MeasuredEstimator>();
  policies.interference = std::make_unique<PairwiseInterferenceModel>();
  policies.failure_attribution = std::make_unique<DistinctFailureAttribution>();
  policies.placement = std::make_unique<PackingPlacement>(
      *policies.interference, *policies.failure_attribution);
  policies.eviction = std::make_unique<CheapestEviction>(*policies.estimator);
  return policies;
}

SchedulerPolicies MakeBaselinePolicies() {
  SchedulerPolicies policies;
  policies.customer_order = std::make_unique<FifoOrder>();
  policies.estimator = std::make_unique<DeclaredEstimator>();
  policies.interference = std::make_unique<NoInterferenceModel>();
  policies.failure_attribution = std::make_unique<NoFailureAttribution>();
  policies.placement = std::make_unique<FirstFitPlacement>();
  policies.eviction = std::make_unique<NewestFirstEviction>();
  return policies;
}

}  // namespace fulmarrock
