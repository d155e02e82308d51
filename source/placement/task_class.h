#ifndef SOURCE_PLACEMENT_TASK_CLASS_H_
#define SOURCE_PLACEMENT_TASK_CLASS_H_

#include <cstddef>
#include <cstdint>

namespace fulmarrock {

/// Order in which classes of tasks are considered.
enum class TaskClass : uint8_t { kUrgent, kInteractive, kBatch };
inline constexpr size_t kTaskClassCount = 3;

/// Position of a customer in the queue's table.
using CustomerIndex = uint32_t;

}  // namespace fulmarrock

#endif  // SOURCE_PLACEMENT_TASK_CLASS_H_
