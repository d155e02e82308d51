#include "source/placement/customer_order.h"

#include <algorithm>

namespace fulmarrock {
namespace {

double Share(int64_t part, int64_t total) {
  return total <= 0 ? 0 : static_cast<double>(part) / total;
}

}  // namespace

double FifoOrder::Rank(const CustomerDemand& demand, const Resources&) const {
  return static_cast<double>(demand.first.count());
}

double WeightedFairOrder::Rank(const CustomerDemand& demand,
                               const Resources& total) const {
  const double share =
      std::max({Share(demand.running.cpu_millicores, total.cpu_millicores),
                Share(demand.running.memory_mib, total.memory_mib),
                Share(demand.running.accelerators, total.accelerators)});
  return share / static_cast<double>(std::max<int64_t>(demand.weight, 1));
}

}  // namespace fulmarrock
