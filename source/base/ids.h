#ifndef SOURCE_BASE_IDS_H_
#define SOURCE_BASE_IDS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace fulmarrock {

/// Name of a process of the system, unique in the settings of a deployment.
using NodeId = std::string;

/// Random number drawn at each start of a process; distinguishes a restarted
/// process from its predecessor. Zero stands for "unknown".
using Incarnation = uint64_t;

/// Number of a job, assigned when its submission is committed.
using JobId = uint64_t;

/// Increases with each grant of a task; only the holder of the highest epoch
/// may run the task.
using Epoch = uint64_t;

/// One task of a job.
struct TaskId {
  JobId job = 0;
  uint32_t index = 0;

  auto operator<=>(const TaskId&) const = default;
};

/// Identifies one request of a caller: the entry's incarnation and a sequence
/// number, so that ids of a restarted entry never repeat.
struct RequestId {
  uint64_t entry_incarnation = 0;
  uint64_t sequence = 0;

  auto operator<=>(const RequestId&) const = default;
};

std::string ToString(const TaskId& id);
std::string ToString(const RequestId& id);

}  // namespace fulmarrock

template <>
struct std::hash<fulmarrock::TaskId> {
  size_t operator()(const fulmarrock::TaskId& id) const noexcept {
    return (id.job * 0x9E3779B97F4A7C15u) ^ id.index;
  }
};

template <>
struct std::hash<fulmarrock::RequestId> {
  size_t operator()(const fulmarrock::RequestId& id) const noexcept {
    return (id.entry_incarnation * 0x9E3779B97F4A7C15u) ^ id.sequence;
  }
};

#endif  // SOURCE_BASE_IDS_H_
