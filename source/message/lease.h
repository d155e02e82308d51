#ifndef SOURCE_MESSAGE_LEASE_H_
#define SOURCE_MESSAGE_LEASE_H_

#include <cstdint>

#include "source/base/ids.h"
#include "source/base/millis.h"

namespace fulmarrock {

/// Time for which a renewal covers the leases of an agent.
inline constexpr Millis kLeaseTerm{12'000};

/// Interval at which agents renew; two renewals may be lost before a lease
/// expires.
inline constexpr Millis kRenewalInterval{4'000};

/// Allowance for the drift of two clocks over one lease term. The agent counts
/// the term shorter by it, and control counts the term longer.
inline constexpr Millis kClockDriftMargin{500};

/// Returns the contribution of one lease to an agent's digest. Digests are sums
/// of these values, so that they do not depend on an order.
uint64_t LeaseDigest(const TaskId& task, Epoch epoch);

}  // namespace fulmarrock

#endif  // SOURCE_MESSAGE_LEASE_H_
