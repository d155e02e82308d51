#ifndef SOURCE_ENTRY_ENTRY_OPTIONS_H_
#define SOURCE_ENTRY_ENTRY_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "source/base/ids.h"
#include "source/base/millis.h"

namespace fulmarrock {

/// Settings of an entry. The limits bound its memory use; the intervals are
/// constants of the classes that use them.
struct EntryOptions {
  NodeId id;
  /// Random number drawn at each process start; not zero.
  Incarnation incarnation = 0;
  std::string data_centre;
  std::vector<NodeId> control_members;
  /// Longest deadline that a caller may set.
  Millis max_deadline{600'000};
  /// Longest body; leaves space for the other fields in a frame of 4 MiB.
  size_t max_body_bytes = (4 << 20) - 65'536;
  /// Maximum length of customer, service, key, affinity and path.
  size_t max_name_bytes = 4096;
  /// Maximum number of requests in progress over all customers.
  int64_t max_in_progress = 20'000;
  /// Maximum number of requests in progress per customer until the first
  /// configuration arrives.
  int64_t default_max_concurrent_requests = 32;
  /// Maximum number of targets of one service that this entry uses.
  size_t subset_size = 32;
  /// Limits of the cache of responses for repeats of keyed requests.
  size_t max_cached_responses = 10'000;
  size_t max_cached_response_bytes = 64 << 20;
  /// A graceful shutdown waits at most this long for control to acknowledge the
  /// last claim outcomes.
  Millis drain_timeout{10'000};
};

}  // namespace fulmarrock

#endif  // SOURCE_ENTRY_ENTRY_OPTIONS_H_
