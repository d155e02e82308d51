#ifndef SOURCE_CONTROL_OPERATOR_SERVICE_H_
#define SOURCE_CONTROL_OPERATOR_SERVICE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "source/base/error.h"
#include "source/base/ids.h"
#include "source/base/resources.h"
#include "source/message/config_messages.h"
#include "source/message/consensus_messages.h"
#include "source/message/task_messages.h"
#include "source/message/workflow.h"

namespace fulmarrock {

/// Replacement of the configuration of a known version.
struct ApplyRequest {
  /// Chosen by the operator's tool; a repeated request gets the first result.
  std::string operation_id;
  uint64_t base_version = 0;
  Configuration configuration;
};

/// Submission of a job.
struct SubmitRequest {
  std::string operation_id;
  JobSpec spec;
};

/// State of one task.
enum class TaskState : uint8_t {
  kPending,
  kRunning,
  kEvicting,
  kCancelling,
  kCompleted,
  kFailed,
  kCancelled,
};
constexpr TaskState MaxValue(TaskState) {
  return TaskState::kCancelled;
}
std::string_view ToString(TaskState state);

/// One task as shown to operators.
struct TaskView {
  uint32_t index = 0;
  TaskState state = TaskState::kPending;
  Epoch epoch = 0;
  NodeId worker;
  uint32_t failed_attempts = 0;
  uint32_t evictions = 0;
  std::string detail;
};

/// One job as shown to operators and customers.
struct JobView {
  JobId id = 0;
  JobSpec spec;
  uint32_t pending = 0;
  uint32_t running = 0;
  uint32_t completed = 0;
  uint32_t failed = 0;
  uint32_t cancelled = 0;
  /// Why the job is pending, failed or can never run; empty otherwise.
  std::string reason;
  /// Filled by ShowJob() only.
  std::vector<TaskView> tasks;
};

/// One worker as shown to operators.
struct WorkerView {
  NodeId node;
  std::string data_centre;
  std::string rack;
  Resources capacity;
  Resources used;
  uint32_t running_tasks = 0;
  bool is_draining = false;
  bool is_quarantined = false;
  bool is_alive = false;
};

/// Version of the configuration in effect at one process.
struct ProcessVersion {
  NodeId node;
  uint64_t version = 0;
  /// Time since the process last polled.
  Millis age;
};

/// State of the group as shown to operators.
struct ClusterStatus {
  NodeId member;
  NodeId leader;
  Term term = 0;
  LogIndex commit_index = 0;
  std::vector<Member> members;
  uint64_t configuration_version = 0;
  std::vector<ProcessVersion> processes;
  std::vector<WorkerView> workers;
  uint64_t pending_tasks = 0;
  uint64_t running_tasks = 0;
};

/// Request to evacuate a data centre, or to end its evacuation.
struct EvacuationRequest {
  std::string data_centre;
  bool is_evacuated = false;
};

/// One data centre as shown to operators.
struct DataCentreView {
  std::string name;
  bool is_evacuated = false;
  /// Time since its evacuation began; zero while it is not evacuated.
  Millis evacuated_for;
  uint32_t workers = 0;
  /// Runs on its workers.
  uint32_t active_tasks = 0;
  uint32_t active_long_running = 0;
  uint32_t active_best_effort = 0;
};

/// Interface of control for operators and customers. All calls are made on the
/// role's thread; `done` is called once on the same thread, when the change is
/// committed or has failed. Changes fail with kNotLeader at a follower; the
/// error's remedy names the leader if it is known.
class OperatorService {
 public:
  template <typename T>
  using Done = std::function<void(Result<T>)>;

  virtual ~OperatorService() = default;

  /// Passes the new version to `done`. Fails with kConflict when `base_version`
  /// is not the newest version, and with kInvalidArgument when the
  /// configuration is inconsistent.
  virtual void ApplyConfiguration(ApplyRequest request,
                                  Done<uint64_t> done) = 0;
  virtual void SubmitJob(SubmitRequest request, Done<JobId> done) = 0;

  /// Cancels jobs in one log entry; passes the number of affected tasks to
  /// `done`.
  virtual void CancelJobs(std::vector<JobId> jobs, Done<uint64_t> done) = 0;

  /// Stops or resumes placing tasks on a worker.
  virtual void SetWorkerDraining(NodeId worker,
                                 bool is_draining,
                                 Done<bool> done) = 0;
  virtual void AddMember(NodeId node,
                         Incarnation incarnation,
                         Done<bool> done) = 0;
  virtual void RemoveMember(NodeId node, Done<bool> done) = 0;

  /// Read this member's state, which may be outdated at a follower.
  virtual ConfigSnapshot GetConfiguration() const = 0;
  virtual Result<JobView> ShowJob(JobId job) const = 0;
  virtual std::vector<JobView> ListJobs(std::string_view customer) const = 0;
  virtual ClusterStatus GetStatus() const = 0;

  /// Sets the queue configuration: the queues and services of workflows.
  /// Succeeds without a change when the version is not newer than the current
  /// one. Fails with kInvalidArgument for invalid content, kNotLeader, or
  /// kUnavailable when the result is not known.
  virtual void SetQueueConfiguration(QueueConfiguration queue_configuration,
                                     Done<bool> done) = 0;

  /// Returns the queue configuration in effect. Fails with kNotLeader when this
  /// member cannot know which version is the newest.
  virtual Result<QueueConfiguration> GetQueueConfiguration() const = 0;

  /// Evacuates a data centre or finishes its evacuation; `done` is called when
  /// the request is committed, also if it changes nothing. Fails with
  /// kInvalidArgument for a malformed name, kNotFound for an unknown data
  /// centre, kNotLeader, or kUnavailable when the request should be repeated.
  virtual void SetEvacuation(EvacuationRequest request, Done<bool> done) = 0;

  /// Returns the data centres that workers, settings or evacuations name, in
  /// the order of their names. Fails with kNotLeader when this member cannot
  /// know the newest state.
  virtual Result<std::vector<DataCentreView>> ListDataCentres() const = 0;

  /// Returns the leader if this member knows it, or an empty id.
  virtual NodeId LeaderNode() const = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONTROL_OPERATOR_SERVICE_H_
