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

/// Operation of a caller on a workflow or a queue.
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
  /// Random id from the entry; the reply has the same one.
  uint64_t call = 0;
  WorkflowCallKind kind = WorkflowCallKind::kSubmit;
  std::string host;
  /// Path without the key.
  std::string path;
  WorkflowKey key = 0;
  /// Only in submissions.
  WorkflowSpec spec;
  /// Number of the sending of this call, from one; zero from older versions.
  uint32_t attempt = 0;
  /// Whether an earlier sending of this call may be stored.
  bool may_be_stored = false;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.call, self.kind, self.host, self.path, self.key, self.spec,
            self.attempt, self.may_be_stored);
  }
};

/// How control answered a WorkflowCall.
enum class WorkflowReplyKind : uint8_t {
  kAccepted,          ///< Stored; also for a repeated submission.
  kPhase,             ///< `phase` is set.
  kCounted,           ///< `pending` is set.
  kCancelled,         ///< The cancellation is stored.
  kWorkflowNotFound,  ///< No such workflow exists.
  kQueueNotFound,     ///< No such queue exists.
  kNotConfigured,     ///< No queues are configured yet. Nothing was stored.
  kRefused,           ///< Not accepted, and it never runs.
  kInvalid,           ///< The specification cannot be run.
  kNotLeader,         ///< Nothing was done; ask `leader`.
  kUnknownResult,     ///< The call may or may not have taken effect.
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
  /// Time after which the caller may try again; zero for no advice.
  Millis retry_after;
  /// The leader, or empty if not known.
  NodeId leader;
  /// Members of the control group, for finding its leader later.
  std::vector<NodeId> members;
  /// Attempt of the call that this replies to; zero from older versions.
  uint32_t attempt = 0;
  /// Term in which the leader was elected; zero from older versions.
  Term term = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.call, self.kind, self.phase, self.pending, self.retry_after,
            self.leader, self.members, self.attempt, self.term);
  }
};

/// Identifies one run of a task.
struct RunId {
  TaskName task;
  RunNumber run = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.task, self.run);
  }
};

/// The end of a run.
struct RunEvent {
  /// Counts the events of one agent process from 1.
  uint64_t sequence = 0;
  TaskName task;
  RunNumber run = 0;
  RunOutcome kind = RunOutcome::kDone;
  /// Checkpoint to resume from; empty for none.
  std::string checkpoint;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.sequence, self.task, self.run, self.kind, self.checkpoint);
  }
};

/// A run that ended because its worker crashed.
struct LostRun {
  TaskName task;
  RunNumber run = 0;
  /// Whether the worker confirmed the start and crashed so soon afterwards that
  /// the run may be the cause.
  bool has_just_started = false;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.task, self.run, self.has_just_started);
  }
};

/// A run without progress for a time that is long compared with its estimate.
struct StalledRun {
  TaskName task;
  RunNumber run = 0;
  /// Time since the progress last changed.
  Millis time_without_progress;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.task, self.run, self.time_without_progress);
  }
};

/// Tail latency of a latency-critical task.
struct LatencyCriticalSample {
  std::string image;
  /// In percent of its target.
  int64_t latency_percent = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.image, self.latency_percent);
  }
};

/// CPU use and speed limit of the best-effort tasks of one image on a worker.
struct BestEffortSample {
  std::string image;
  /// CPU in use, smoothed over the time that latencies take to respond to it.
  int64_t cpu_millicores = 0;
  /// Speed limit of the tasks, in percent of full speed.
  int64_t speed_limit_percent = 100;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.image, self.cpu_millicores, self.speed_limit_percent);
  }
};

/// Interference of best-effort tasks of one image with latency-critical tasks
/// of another.
struct InterferenceCoefficient {
  std::string latency_critical_image;
  std::string best_effort_image;
  /// Natural logarithm of the factor by which the tail latency grows for each
  /// core that the best-effort tasks use.
  double growth_per_core = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.latency_critical_image, self.best_effort_image,
            self.growth_per_core);
  }
};

/// Agent to control: state of the worker beside it. Sent on events and as a
/// heartbeat.
struct WorkerReport {
  Incarnation agent_incarnation = 0;
  /// By the agent's clock; the lease counts from this time.
  Millis sent_at;
  WorkerIncarnation worker_incarnation;
  WorkerAttributes attributes;
  /// Whether the worker accepts new runs.
  bool is_accepting_runs = false;
  /// Whether the worker has deregistered, or is unreachable and its lease has
  /// expired even with maximum clock drift.
  bool all_runs_ended = false;
  /// Whether `listed_runs` holds all runs on the worker; otherwise it holds
  /// those confirmed since the last report.
  bool is_full_report = false;
  std::vector<RunId> listed_runs;
  /// Control has stored the events up to this one, as far as the agent knows.
  uint64_t stored_sequence = 0;
  std::vector<RunEvent> events;
  std::vector<StalledRun> stalled_runs;
  /// Both sample lists are set only if `has_samples` is.
  std::vector<LatencyCriticalSample> latency_critical_samples;
  std::vector<BestEffortSample> best_effort_samples;
  bool has_samples = false;
  /// Runs of the agent's earlier worker if that crashed recently.
  std::vector<LostRun> lost_runs;
  /// Runs that the worker lists and whose start instruction the agent lacks, so
  /// that it does not know their resources.
  std::vector<RunId> runs_without_instruction;
  /// Whether the worker is about to end. A worker may also accept no runs
  /// because its agent is about to end, has not polled it yet, or not recently.
  bool is_draining = false;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.agent_incarnation, self.sent_at, self.worker_incarnation,
            self.attributes, self.is_accepting_runs, self.all_runs_ended,
            self.is_full_report, self.listed_runs, self.stored_sequence,
            self.events, self.stalled_runs, self.latency_critical_samples,
            self.best_effort_samples, self.has_samples, self.lost_runs,
            self.runs_without_instruction, self.is_draining);
  }
};

/// Instruction to start a run.
struct StartInstruction {
  TaskName task;
  RunNumber run = 0;
  std::string payload;
  std::string checkpoint;
  Millis estimate;
  bool is_best_effort = false;
  /// Tail latency objective; zero for a task that is not latency-critical.
  Millis latency_target;
  bool is_long_running = false;
  /// Container image of the task.
  std::string image;
  /// Resources of the task; the CPU of a best-effort task does not count
  /// against the worker's capacity.
  int64_t cpu_millicores = 0;
  int64_t memory_mib = 0;
  int64_t accelerators = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.task, self.run, self.payload, self.checkpoint, self.estimate,
            self.is_best_effort, self.latency_target, self.is_long_running,
            self.image, self.cpu_millicores, self.memory_mib,
            self.accelerators);
  }
};

/// Control to agent: replies to a report, extends the lease, and instructs the
/// agent to start and stop runs.
struct WorkerInstructions {
  Term term = 0;
  /// Agent and worker incarnations that the instructions are for.
  Incarnation agent_incarnation = 0;
  WorkerIncarnation worker_incarnation;
  /// `sent_at` of the newest report, from which the lease duration counts.
  Millis report_sent_at;
  Millis lease;
  /// Whether the next report has to be full.
  bool needs_full_report = false;
  /// Events up to this one are stored and need not be sent again.
  uint64_t stored_sequence = 0;
  std::vector<StartInstruction> starts;
  std::vector<RunId> stops;
  std::vector<NodeId> members;
  /// Known coefficients; empty if control has not updated them since the last
  /// instructions.
  std::vector<InterferenceCoefficient> interference_coefficients;
  /// Version of the table of evacuated data centres that `is_evacuated` is
  /// from; zero from older versions and while no data centre was ever
  /// evacuated.
  uint64_t evacuation_version = 0;
  /// Whether the worker's data centre is evacuated, so that no run may start.
  bool is_evacuated = false;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.term, self.agent_incarnation, self.worker_incarnation,
            self.report_sent_at, self.lease, self.needs_full_report,
            self.stored_sequence, self.starts, self.stops, self.members,
            self.interference_coefficients, self.evacuation_version,
            self.is_evacuated);
  }
};

/// Control member to its group: asks to become a member.
struct JoinRequest {
  /// Zero asks for a GroupView only; the membership does not change.
  Incarnation incarnation = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.incarnation);
  }
};

/// Entry process to any control member: asks for a GroupView.
struct GroupViewRequest {
  template <typename Self, typename Visitor>
  static void VisitFields(Self&, Visitor& visitor) {
    visitor();
  }
};

/// A control member's view of its group: the reply to a GroupViewRequest, and
/// to a message for the leader that another member received.
struct GroupView {
  /// The leader, or empty if not known.
  NodeId leader;
  std::vector<NodeId> members;
  /// Term in which the leader was elected; zero from older versions.
  Term term = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.leader, self.members, self.term);
  }
};

}  // namespace fulmarrock

#endif  // SOURCE_MESSAGE_WORKFLOW_MESSAGES_H_
