#ifndef SOURCE_MESSAGE_WORKFLOW_H_
#define SOURCE_MESSAGE_WORKFLOW_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "source/base/ids.h"
#include "source/base/millis.h"
#include "source/base/resources.h"

namespace fulmarrock {

/// Key that a caller chooses for a workflow; a repeated submission with the
/// same key means the same workflow.
using WorkflowKey = uint64_t;

/// Identifies one task of a workflow.
struct TaskName {
  WorkflowKey workflow = 0;
  /// Number of the occurrence, from zero.
  uint32_t occurrence = 0;
  uint32_t step = 0;
  uint32_t index = 0;

  auto operator<=>(const TaskName&) const = default;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.workflow, self.occurrence, self.step, self.index);
  }
};

/// Returns a task's name as "KEY/OCCURRENCE/STEP/INDEX", the key in
/// hexadecimal.
std::string ToString(const TaskName& name);

/// Returns a workflow's key as 16 hexadecimal digits.
std::string FormatWorkflowKey(WorkflowKey key);

/// Number of a run of a task. It increases with each run, across workers and
/// leaders.
using RunNumber = uint32_t;

/// A set of identical tasks of a workflow.
struct StepSpec {
  uint32_t count = 1;
  int64_t cpu_millicores = 0;
  int64_t memory_mib = 0;
  int64_t accelerators = 0;
  /// Estimated duration of one task.
  Millis estimate;
  /// Steps, by position, whose tasks must all have completed first.
  std::vector<uint32_t> depends_on;
  /// Whether tasks save their progress and can resume from it.
  bool has_checkpoints = false;
  /// Whether the tasks are a gang, which runs only all together.
  bool is_gang = false;
  /// Whether the tasks slow down when they run on more than one rack.
  bool is_rack_bound = false;
  /// Whether several copies of a task may run in parallel.
  bool is_speculative = false;
  /// Whether tasks run until the workflow is cancelled.
  bool is_long_running = false;
  /// Whether tasks are best-effort: they use only CPU time that others leave
  /// unused, so their CPU does not count against a worker's capacity.
  bool is_best_effort = false;
  /// Label that a worker must have, or empty.
  std::string required_label;
  /// Rack that holds the data, or empty.
  std::string data_rack;
  /// Maximum number of tasks of one occurrence on one worker; zero for no
  /// limit.
  uint32_t max_per_worker = 0;
  /// Container image of the tasks; tasks of one image behave alike.
  std::string image;
  /// Tail latency objective of latency-critical tasks; zero for other tasks.
  Millis latency_target;
  /// Maximum number of tasks that the scheduler's own actions may make
  /// unavailable at a time; negative for no limit.
  int32_t max_unavailable = -1;

  Resources resources() const {
    return {cpu_millicores, memory_mib, accelerators};
  }

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.count, self.cpu_millicores, self.memory_mib, self.accelerators,
            self.estimate, self.depends_on, self.has_checkpoints, self.is_gang,
            self.is_rack_bound, self.is_speculative, self.is_long_running,
            self.is_best_effort, self.required_label, self.data_rack,
            self.max_per_worker, self.image, self.latency_target,
            self.max_unavailable);
  }
};

/// A workflow that a caller submits.
struct WorkflowSpec {
  WorkflowKey key = 0;
  /// Passed to the worker with every task.
  std::string payload;
  std::vector<StepSpec> steps;
  /// Number of occurrences; zero for a workflow that runs once, immediately.
  uint32_t repeat_count = 0;
  /// When the first occurrence is due, in milliseconds since 1970.
  int64_t first_due_unix_ms = 0;
  Millis interval;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.key, self.payload, self.steps, self.repeat_count,
            self.first_due_unix_ms, self.interval);
  }
};

/// A queue of workflows, selected by the host and the path of a call.
struct QueueSettings {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::string service;
  /// Zero is the highest priority.
  int64_t priority = 0;
  /// Number of failed runs of a task after which its workflow fails.
  uint32_t max_attempts = 1;
  /// Objective for the duration of a workflow: its critical path times this
  /// factor, plus `target_duration`.
  double slack_factor = 1.0;
  Millis target_duration;
  Millis timeout;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.name, self.host, self.path_prefix, self.service, self.priority,
            self.max_attempts, self.slack_factor, self.target_duration,
            self.timeout);
  }
};

/// A pool of workers.
struct ServiceSettings {
  std::string name;
  /// Whether workers refuse runs that exceed their free capacity.
  bool has_admission_control = true;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.name, self.has_admission_control);
  }
};

/// One version of the queues and services that operators set.
struct QueueConfiguration {
  uint64_t version = 0;
  std::vector<QueueSettings> queues;
  std::vector<ServiceSettings> services;
  /// The text that the operator sent, returned unchanged when it is read.
  std::string document;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.version, self.queues, self.services, self.document);
  }
};

/// State of a workflow as its caller sees it.
enum class WorkflowPhase : uint8_t {
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled,
};
constexpr WorkflowPhase MaxValue(WorkflowPhase) {
  return WorkflowPhase::kCancelled;
}
constexpr bool IsFinal(WorkflowPhase phase) {
  return phase >= WorkflowPhase::kCompleted;
}

/// How a run ended.
enum class RunOutcome : uint8_t {
  kDone,
  kFailed,           ///< The task failed, or its worker did.
  kStopped,          ///< Stopped on an instruction.
  kLeaseExpired,     ///< The worker's lease expired.
  kGangMemberEnded,  ///< Another member of its gang ended.
  kGangIncomplete,   ///< Not all members of its gang started.
  kRefused,          ///< It never started and never will.
  kDeclined,         ///< As kRefused; the worker currently accepts no runs.
};
constexpr RunOutcome MaxValue(RunOutcome) {
  return RunOutcome::kDeclined;
}

/// Returns the name of an outcome, for logs and the workers' API.
std::string_view ToString(RunOutcome outcome);

/// Identifies one incarnation of a worker, from its start to its end.
struct WorkerIncarnation {
  std::string id;
  /// Start time in milliseconds since 1970.
  int64_t start_time_unix_ms = 0;

  bool operator==(const WorkerIncarnation&) const = default;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.id, self.start_time_unix_ms);
  }
};

/// Attributes of a worker. During one incarnation only the capacity changes: it
/// may shrink and grow again at any time.
struct WorkerAttributes {
  std::string service;
  std::string data_centre;
  std::string rack;
  std::vector<std::string> labels;
  int64_t cpu_millicores = 0;
  int64_t memory_mib = 0;
  int64_t accelerators = 0;

  Resources capacity() const {
    return {cpu_millicores, memory_mib, accelerators};
  }
  bool operator==(const WorkerAttributes&) const = default;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.service, self.data_centre, self.rack, self.labels,
            self.cpu_millicores, self.memory_mib, self.accelerators);
  }
};

}  // namespace fulmarrock

template <>
struct std::hash<fulmarrock::TaskName> {
  size_t operator()(const fulmarrock::TaskName& name) const noexcept {
    return name.workflow ^ (uint64_t{name.occurrence} << 40) ^
           (uint64_t{name.step} << 20) ^ name.index;
  }
};

#endif  // SOURCE_MESSAGE_WORKFLOW_H_
