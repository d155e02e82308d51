#ifndef SOURCE_PLACEMENT_CUSTOMER_ORDER_H_
#define SOURCE_PLACEMENT_CUSTOMER_ORDER_H_

#include <cstdint>

#include "source/base/millis.h"
#include "source/base/resources.h"

namespace fulmarrock {

/// Input of the ranking of one customer within a task class.
struct CustomerDemand {
  /// Sum of the allocated sizes of the customer's running tasks of the class.
  Resources running;
  int64_t weight = 1;
  /// `PendingEntry::order` of the customer's first startable task.
  Millis first;
};

/// Ranks the customers that have startable tasks of one class.
class CustomerOrder {
 public:
  virtual ~CustomerOrder() = default;

  /// Returns the rank; a task of the customer with the lowest rank is scheduled
  /// next.
  virtual double Rank(const CustomerDemand& demand,
                      const Resources& total) const = 0;
};

/// Baseline: first in, first out over all customers.
class FifoOrder : public CustomerOrder {
 public:
  double Rank(const CustomerDemand& demand,
              const Resources& total) const override;
};

/// Weighted dominant resource fairness: ranks by the customer's dominant share
/// of the cluster, divided by the weight of its plan.
class WeightedFairOrder : public CustomerOrder {
 public:
  double Rank(const CustomerDemand& demand,
              const Resources& total) const override;
};

}  // namespace fulmarrock

#endif  // SOURCE_PLACEMENT_CUSTOMER_ORDER_H_
