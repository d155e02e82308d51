#include "source/message/lease.h"

#include <string_view>

#include "source/base/checksum.h"

namespace fulmarrock {

uint64_t LeaseDigest(const TaskId& task, Epoch epoch) {
  const uint64_t words[] = {task.job, task.index, epoch};
  return Checksum(
      std::string_view(reinterpret_cast<const char*>(words), sizeof(words)));
}

}  // namespace fulmarrock
