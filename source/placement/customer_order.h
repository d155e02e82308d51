#ifndef SOURCE_PLACEMENT_CUSTOMER_ORDER_H_
#define SOURCE_PLACEMENT_CUSTOMER_ORDER_H_

#include <cstdint>

#include "source/base/millis.h"
#include "source/base/resources.h"

namespace fulmarrock {

/// What decides when it is a customer's turn within a class.
struct CustomerDemand {
  /// Charged sizes of the customer's running tasks of the class.
  Resources running;
  int64_t weight = 1;
  /// Order time of the customer's first startable task.
  Millis first;
};

/// Orders the customers that have startable tasks of one class.
class CustomerOrder {
 public:
  virtual ~CustomerOrder() = default;

  /// Returns the rank; the customer with the lowest one is next.
  virtual double Rank(const CustomerDemand& demand,
                      const Resources& total) const = 0;
};

/// Baseline: the oldest task first, whoever it belongs to.
class FifoOrder : public CustomerOrder {
 public:
  double Rank(const CustomerDemand& demand,
              const Resources& total) const override;
};

/// The lowest dominant share of the cluster, divided by the plan's weight.
class WeightedFairOrder : public CustomerOrder {
 public:
  double Rank(const CustomerDemand& demand,
              const Resources& total) const override;
};

}  // namespace fulmarrock

#endif  // SOURCE_PLACEMENT_CUSTOMER_ORDER_H_
