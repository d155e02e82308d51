#ifndef SOURCE_PLACEMENT_TASK_CLASS_H_
#define SOURCE_PLACEMENT_TASK_CLASS_H_

#include <cstddef>
#include <cstdint>

namespace fulmarrock {

/// Scheduling class of a task, in order of precedence. Kernels and services
/// that are not urgent are interactive.
enum class TaskClass : uint8_t { kUrgent, kInteractive, kBatch };
inline constexpr size_t kTaskClassCount = 3;

/// Index of a customer in the queue's table.
using CustomerIndex = uint32_t;

}  // namespace fulmarrock

#endif  // SOURCE_PLACEMENT_TASK_CLASS_H_
