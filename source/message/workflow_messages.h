#ifndef SOURCE_MESSAGE_WORKFLOW_MESSAGES_H_
#define SOURCE_MESSAGE_WORKFLOW_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "source/base/ids.h"
#include "source/base/millis.h"
#include "source/message/consensus_messages.h"
#include "source/message/workflow.h"

namespace fulmarrock {

/// What a caller wants of a workflow or a queue.
enum class WorkflowCallKind : uint8_t {
  kSubmit,
  kShow,
  kCancel,
  kCountPending,
};
constexpr WorkflowCallKind MaxValue(WorkflowCallKind) {
  return WorkflowCallKind::kCountPending;
}

/// Entry to control: one call of a caller.
struct WorkflowCall {
  /// Drawn by the entry; a reply carries it back.
  uint64_t call = 0;
  WorkflowCallKind kind = WorkflowCallKind::kSubmit;
  std::string host;
  /// Path without the key.
  std::string path;
  WorkflowKey key = 0;
  /// Only in submissions.
  WorkflowSpec spec;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.call, self.kind, self.host, self.path, self.key, self.spec);
  }
};

/// How control answered a WorkflowCall.
enum class WorkflowReplyKind : uint8_t {
  kAccepted,          ///< Stored; also for a repeat.
  kPhase,             ///< `phase` holds.
  kCounted,           ///< `pending` holds.
  kCancelled,         ///< The cancellation is stored.
  kWorkflowNotFound,  ///< No such workflow exists.
  kQueueNotFound,     ///< No such queue exists.
  kNotConfigured,     ///< No queues are configured yet. Nothing was stored.
  kRefused,           ///< Not accepted, and it never runs.
  kInvalid,           ///< The specification cannot be run.
  kNotLeader,         ///< Nothing was done; ask `leader`.
  kUnknownResult,     ///< It may or may not be stored.
};
constexpr WorkflowReplyKind MaxValue(WorkflowReplyKind) {
  return WorkflowReplyKind::kUnknownResult;
}

/// Control to entry: answers a WorkflowCall.
struct WorkflowReply {
  uint64_t call = 0;
  WorkflowReplyKind kind = WorkflowReplyKind::kNotLeader;
  WorkflowPhase phase = WorkflowPhase::kQueued;
  uint32_t pending = 0;
  /// When the caller may try again; zero for no advice.
  Millis retry_after;
  /// The leader as far as known, or empty.
  NodeId leader;
  /// Members of the group, for finding it later.
  std::vector<NodeId> members;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.call, self.kind, self.phase, self.pending, self.retry_after,
            self.leader, self.members);
  }
};

/// A run that a worker lists, or that the agent has confirmed.
struct RunId {
  TaskName task;
  RunNumber run = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.task, self.run);
  }
};

/// End of a run, as the agent learned it.
struct RunEvent {
  /// Counts the events of one agent process from 1.
  uint64_t sequence = 0;
  TaskName task;
  RunNumber run = 0;
  RunOutcome kind = RunOutcome::kDone;
  /// Progress to resume from; empty for none.
  std::string checkpoint;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.sequence, self.task, self.run, self.kind, self.checkpoint);
  }
};

/// A run whose progress no longer changes, or that is far slower than its
/// estimate.
struct StalledRun {
  TaskName task;
  RunNumber run = 0;
  /// Time since the last progress.
  Millis time_without_progress;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.task, self.run, self.time_without_progress);
  }
};

/// Tail latency of a task that serves.
struct LatencyCriticalSample {
  std::string image;
  /// In percent of its target.
  int64_t latency_percent = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.image, self.latency_percent);
  }
};

/// What the fillers of one image do on a worker.
struct BestEffortSample {
  std::string image;
  /// Processors in use, smoothed over the time that latencies take to follow.
  int64_t cpu_millicores = 0;
  /// Share of full speed at which they were told to work.
  int64_t speed_limit_percent = 100;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.image, self.cpu_millicores, self.speed_limit_percent);
  }
};

/// How much fillers of one image disturb tasks of another that serve.
struct InterferenceCoefficient {
  std::string latency_critical_image;
  std::string best_effort_image;
  /// Natural logarithm of the factor by which the tail latency grows for each
  /// processor that the fillers use.
  double growth_per_core = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.latency_critical_image, self.best_effort_image,
            self.growth_per_core);
  }
};

/// Agent to control: the worker beside it. Sent on events and as a heartbeat.
struct WorkerReport {
  /// Of the agent process.
  Incarnation agent_incarnation = 0;
  /// On the agent's clock; the lease counts from here.
  Millis sent_at;
  WorkerIncarnation worker_incarnation;
  WorkerAttributes attributes;
  /// Whether the worker takes new runs.
  bool is_accepting_runs = false;
  /// Whether the worker has left for good, or everything on it has ended.
  bool all_runs_ended = false;
  /// Whether `listed` holds everything that runs; otherwise it holds what was
  /// confirmed since the last report.
  bool is_full_report = false;
  std::vector<RunId> listed_runs;
  /// Events up to here are stored, as far as the agent knows.
  uint64_t stored_sequence = 0;
  std::vector<RunEvent> events;
  std::vector<StalledRun> stalled_runs;
  /// Both only in reports with new figures.
  std::vector<LatencyCriticalSample> latency_critical_samples;
  std::vector<BestEffortSample> best_effort_samples;
  bool has_samples = false;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.agent_incarnation, self.sent_at, self.worker_incarnation,
            self.attributes, self.is_accepting_runs, self.all_runs_ended,
            self.is_full_report, self.listed_runs, self.stored_sequence,
            self.events, self.stalled_runs, self.latency_critical_samples,
            self.best_effort_samples, self.has_samples);
  }
};

/// Order to start a run.
struct StartInstruction {
  TaskName task;
  RunNumber run = 0;
  std::string payload;
  std::string checkpoint;
  Millis estimate;
  bool is_best_effort = false;
  /// Objective for the tail latency; zero for a task that does not serve.
  Millis latency_target;
  bool is_long_running = false;
  /// Name of what the task runs.
  std::string image;
  int64_t cpu_millicores = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.task, self.run, self.payload, self.checkpoint, self.estimate,
            self.is_best_effort, self.latency_target, self.is_long_running,
            self.image, self.cpu_millicores);
  }
};

/// Control to agent: answers a report, extends the lease, carries orders.
struct WorkerInstructions {
  Term term = 0;
  /// Agent process and worker's life the orders are for.
  Incarnation agent_incarnation = 0;
  WorkerIncarnation worker_incarnation;
  /// `sent_at` of the newest report; the lease lasts from there.
  Millis report_sent_at;
  Millis lease;
  /// Whether the next report has to be full.
  bool needs_full_report = false;
  /// Events up to here are stored and need not be sent again.
  uint64_t stored_sequence = 0;
  std::vector<StartInstruction> starts;
  std::vector<RunId> stops;
  std::vector<NodeId> members;
  /// What is known of the images' pressure on each other; only when it changed.
  std::vector<InterferenceCoefficient> interference_coefficients;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.term, self.agent_incarnation, self.worker_incarnation,
            self.report_sent_at, self.lease, self.needs_full_report,
            self.stored_sequence, self.starts, self.stops, self.members,
            self.interference_coefficients);
  }
};

/// Control member to its group: asks to become a member.
struct JoinRequest {
  Incarnation incarnation = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.incarnation);
  }
};

/// Control to whoever asked the wrong member: where the group is.
struct GroupView {
  NodeId leader;
  std::vector<NodeId> members;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.leader, self.members);
  }
};

}  // namespace fulmarrock

#endif  // SOURCE_MESSAGE_WORKFLOW_MESSAGES_H_
