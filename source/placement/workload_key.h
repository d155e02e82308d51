#ifndef SOURCE_PLACEMENT_WORKLOAD_KEY_H_
#define SOURCE_PLACEMENT_WORKLOAD_KEY_H_

#include <cstdint>
#include <string_view>

#include "source/base/checksum.h"
#include "source/message/task_messages.h"

namespace fulmarrock {

/// Hash of a workload's name. Keeps the records of estimates and interference
/// small, and valid after the job specifications are gone.
using WorkloadKey = uint64_t;

inline WorkloadKey MakeWorkloadKey(std::string_view name) {
  return Checksum(name);
}

/// Returns the key of a job's tasks: the declared workload or the job's name.
inline WorkloadKey WorkloadKeyOf(const JobSpec& spec) {
  return MakeWorkloadKey(spec.workload.empty() ? spec.name : spec.workload);
}

}  // namespace fulmarrock

#endif  // SOURCE_PLACEMENT_WORKLOAD_KEY_H_
