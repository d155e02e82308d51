#ifndef SOURCE_MESSAGE_LEASE_H_
#define SOURCE_MESSAGE_LEASE_H_

#include <cstdint>

#include "source/base/ids.h"
#include "source/base/millis.h"

namespace fulmarrock {

/// Time for which a renewal extends the leases of an agent.
inline constexpr Millis kLeaseDuration{12'000};

/// Interval at which agents renew; two renewals may be lost before a lease
/// expires.
inline constexpr Millis kRenewalInterval{4'000};

/// Allowance for the drift between two clocks during one lease. Leases expire
/// earlier by it at the agent, and later by it at control.
inline constexpr Millis kClockDriftMargin{500};

/// Returns the hash of one lease. An agent's digest is the sum of the hashes of
/// its leases, so that it does not depend on their order.
uint64_t LeaseDigest(const TaskId& task, Epoch epoch);

}  // namespace fulmarrock

#endif  // SOURCE_MESSAGE_LEASE_H_
