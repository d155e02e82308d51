#ifndef SOURCE_MESSAGE_TASK_MESSAGES_H_
#define SOURCE_MESSAGE_TASK_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "source/base/ids.h"
#include "source/base/millis.h"
#include "source/base/resources.h"

namespace fulmarrock {

/// Kind of the tasks of a job.
enum class TaskKind : uint8_t {
  kBatch,    ///< Runs to completion once; may be evicted.
  kKernel,   ///< Interactive, long-lived; evicted only with its instance.
  kService,  ///< Latency-critical service replica; never evicted.
};
constexpr TaskKind MaxValue(TaskKind) {
  return TaskKind::kService;
}

/// A job that a customer submits to control.
struct JobSpec {
  std::string name;
  std::string customer;
  TaskKind kind = TaskKind::kBatch;
  uint32_t task_count = 1;
  /// Requested resources of each task.
  Resources resources;
  /// Expected run time of one task; zero when not declared.
  Millis expected_runtime;
  bool is_urgent = false;
  bool can_checkpoint = false;
  /// Failed attempts of one task after which the job fails.
  uint32_t max_attempts = 3;
  /// Passed to the worker unchanged.
  std::string payload;
  /// Groups tasks with the same interference behaviour, for example a service
  /// or a program name; the job's name when empty.
  std::string workload;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.name, self.customer, self.kind, self.task_count,
            self.resources.cpu_millicores, self.resources.memory_mib,
            self.resources.accelerators, self.expected_runtime, self.is_urgent,
            self.can_checkpoint, self.max_attempts, self.payload,
            self.workload);
  }
};

/// Agent to control: this worker exists and can run tasks, unless draining.
struct WorkerAnnounce {
  std::string data_centre;
  std::string rack;
  Resources capacity;
  Incarnation incarnation = 0;
  bool is_draining = false;
  std::string address;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.data_centre, self.rack, self.capacity.cpu_millicores,
            self.capacity.memory_mib, self.capacity.accelerators,
            self.incarnation, self.is_draining, self.address);
  }
};

/// Control to agent: the announcement is committed.
struct WorkerAnnounceAck {
  Incarnation incarnation = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.incarnation);
  }
};

/// A lease that an agent holds: a task and the epoch of its grant.
struct HeldLease {
  TaskId task;
  Epoch epoch = 0;

  bool operator==(const HeldLease&) const = default;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.task, self.epoch);
  }
};

/// Agent to control: renews all leases of the agent at once.
struct LeaseRenew {
  Incarnation incarnation = 0;
  /// Sum of LeaseDigest() over all leases held.
  uint64_t digest = 0;
  uint32_t lease_count = 0;
  /// Time of sending by the agent's clock; returned unchanged.
  Millis sent_at;
  /// `sent_at` of the newest renewal or report whose reply arrived; shows
  /// control whether its messages reach the agent.
  Millis answered_at;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.incarnation, self.digest, self.lease_count, self.sent_at,
            self.answered_at);
  }
};

/// Control to agent: answers LeaseRenew and LeaseReport.
struct LeaseRenewReply {
  Incarnation incarnation = 0;
  Millis sent_at;
  /// Whether the leases are valid until `sent_at` plus `lease_duration`.
  bool is_renewed = false;
  Millis lease_duration;
  /// Whether the agent has to send its full set as a LeaseReport.
  bool needs_report = false;
  /// Leases of the last report that are no longer current; their tasks must be
  /// stopped.
  std::vector<HeldLease> revoked;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.incarnation, self.sent_at, self.is_renewed,
            self.lease_duration, self.needs_report, self.revoked);
  }
};

/// Agent to control: the full set of leases held, after a digest mismatch.
struct LeaseReport {
  Incarnation incarnation = 0;
  Millis sent_at;
  std::vector<HeldLease> leases;
  Millis answered_at;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.incarnation, self.sent_at, self.leases, self.answered_at);
  }
};

/// One task to start.
struct TaskGrant {
  TaskId task;
  Epoch epoch = 0;
  TaskKind kind = TaskKind::kBatch;
  Resources resources;
  std::string customer;
  std::string workload;
  std::string payload;
  bool can_checkpoint = false;
  /// Checkpoint to resume from; empty to start from the beginning.
  std::string checkpoint;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.task, self.epoch, self.kind, self.resources.cpu_millicores,
            self.resources.memory_mib, self.resources.accelerators,
            self.customer, self.workload, self.payload, self.can_checkpoint,
            self.checkpoint);
  }
};

/// Control to agent: start these tasks. Sent only after the grants are
/// committed.
struct GrantBatch {
  Incarnation incarnation = 0;
  std::vector<TaskGrant> grants;
  /// `sent_at` of the newest renewal that control received from the agent. The
  /// tasks may start only before this instant plus the lease duration: a batch
  /// that arrives later may list tasks that were since granted elsewhere.
  Millis lease_sent_at;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.incarnation, self.grants, self.lease_sent_at);
  }
};

/// How a task is to be stopped.
enum class StopMode : uint8_t {
  kCheckpoint,  ///< Save a checkpoint first; the task will resume elsewhere.
  kCancel,      ///< The customer cancelled it; nothing is kept.
};
constexpr StopMode MaxValue(StopMode) {
  return StopMode::kCancel;
}

/// One task to stop.
struct TaskStop {
  TaskId task;
  Epoch epoch = 0;
  StopMode mode = StopMode::kCancel;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.task, self.epoch, self.mode);
  }
};

/// Control to agent: stop these tasks.
struct StopBatch {
  Incarnation incarnation = 0;
  std::vector<TaskStop> stops;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.incarnation, self.stops);
  }
};

/// Kind of an event of a task at its worker.
enum class TaskEventKind : uint8_t {
  kStarted,
  kCompleted,
  kFailed,
  kCheckpointed,  ///< Stopped after saving a checkpoint.
  kStopped,       ///< Stopped without one.
  kRejected,      ///< The agent refused the grant; it never started.
};
constexpr TaskEventKind MaxValue(TaskEventKind) {
  return TaskEventKind::kRejected;
}

/// One event of one task.
struct TaskEvent {
  TaskId task;
  Epoch epoch = 0;
  TaskEventKind kind = TaskEventKind::kStarted;
  /// Checkpoint name, failure reason or empty.
  std::string detail;
  /// Time the task ran under this epoch.
  Millis runtime;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.task, self.epoch, self.kind, self.detail, self.runtime);
  }
};

/// Agent to control: events in order, resent until acknowledged.
struct TaskEvents {
  Incarnation incarnation = 0;
  /// Number of the first event; events of an incarnation count from 1.
  uint64_t first_sequence = 0;
  std::vector<TaskEvent> events;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.incarnation, self.first_sequence, self.events);
  }
};

/// Control to agent: all events up to this number are committed.
struct TaskEventsAck {
  Incarnation incarnation = 0;
  uint64_t last_sequence = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.incarnation, self.last_sequence);
  }
};

/// Measured resource usage of one running task.
struct TaskUsage {
  TaskId task;
  int64_t cpu_millicores = 0;
  int64_t memory_mib = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.task, self.cpu_millicores, self.memory_mib);
  }
};

/// Measured latency of a service, and the workloads that ran beside it.
struct ServiceLatency {
  std::string service;
  Millis p99;
  Millis objective;
  std::vector<std::string> colocated_workloads;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.service, self.p99, self.objective, self.colocated_workloads);
  }
};

/// Agent to control: measurements for usage estimates and interference models.
struct UsageReport {
  Incarnation incarnation = 0;
  std::vector<TaskUsage> tasks;
  std::vector<ServiceLatency> services;
  /// Time between the measurement and sending.
  Millis age;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.incarnation, self.tasks, self.services, self.age);
  }
};

}  // namespace fulmarrock

#endif  // SOURCE_MESSAGE_TASK_MESSAGES_H_
