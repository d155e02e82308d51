#ifndef SOURCE_ENTRY_ENTRY_OPTIONS_H_
#define SOURCE_ENTRY_ENTRY_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "source/base/ids.h"
#include "source/base/millis.h"

namespace fulmarrock {

/// Settings of an entry. Bounds protect its memory; the intervals of its parts
/// are fixed there.
struct EntryOptions {
  NodeId id;
  /// Random number drawn at each start, not zero.
  Incarnation incarnation = 0;
  std::string data_centre;
  std::vector<NodeId> control_members;
  /// Longest deadline a caller may ask for.
  Millis max_deadline{600'000};
  /// Longest body; leaves room for the other fields in a frame of 4 MiB.
  size_t max_body_bytes = (4 << 20) - 65'536;
  /// Longest customer, service, key, affinity and path.
  size_t max_name_bytes = 4096;
  /// Requests in progress over all customers.
  int64_t max_in_progress = 20'000;
  /// Requests in progress per customer until the first configuration arrives.
  int64_t unconfigured_concurrency = 32;
  /// Targets of one service that this entry uses.
  size_t subset_size = 32;
  /// Finished responses kept for repeats of keyed requests.
  size_t max_finished = 10'000;
  size_t max_finished_bytes = 64 << 20;
  /// A planned stop waits this long for control to take the last outcomes.
  Millis drain_timeout{10'000};
};

}  // namespace fulmarrock

#endif  // SOURCE_ENTRY_ENTRY_OPTIONS_H_
