#ifndef SOURCE_CONTROL_JOB_TABLE_H_
#define SOURCE_CONTROL_JOB_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "source/control/commands.h"
#include "source/control/operator_service.h"

namespace fulmarrock {

/// One task. Kept small, since a group has up to 141,000 running tasks.
struct TaskRecord {
  /// Replicated time at which the task entered its current state.
  Millis since;
  uint32_t epoch = 0;
  WorkerIndex worker = kNoWorker;
  uint16_t failed_attempts = 0;
  uint16_t evictions = 0;
  TaskState state = TaskState::kPending;
  /// Whether the agent reported the start under the current epoch.
  bool is_started = false;
  /// Whether the worker's agent restarted since the grant, so that the lease
  /// belongs to an earlier incarnation.
  bool is_orphan = false;

  /// Whether a worker may be running the task.
  bool IsActive() const {
    return state == TaskState::kRunning || state == TaskState::kEvicting ||
           state == TaskState::kCancelling;
  }

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.state, self.epoch, self.worker, self.since, self.is_started,
            self.is_orphan, self.failed_attempts, self.evictions);
  }
};
static_assert(sizeof(TaskRecord) <= 24);

/// Texts of one task. Stored apart, since few tasks have any.
struct TaskDetails {
  uint32_t index = 0;
  std::string checkpoint;
  std::string detail;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.index, self.checkpoint, self.detail);
  }
};

/// One job with its tasks; the spec is stored once for all of them.
struct JobRecord {
  JobId id = 0;
  JobSpec spec;
  std::vector<TaskRecord> tasks;
  std::map<uint32_t, TaskDetails> task_details;
  std::string reason;
  /// Number of tasks per state, indexed by TaskState.
  uint32_t counts[static_cast<size_t>(MaxValue(TaskState{})) + 1] = {};

  uint32_t Count(TaskState state) const {
    return counts[static_cast<size_t>(state)];
  }
  /// Number of tasks that have not ended.
  uint32_t OpenCount() const;
  const std::string& Checkpoint(uint32_t index) const;
};

/// All open jobs, and the finished jobs of the last 24 h.
class JobTable {
 public:
  static constexpr Millis kRetention = Millis::FromSeconds(24 * 3600);
  static constexpr size_t kMaxFinishedTasks = 200'000;
  static constexpr uint32_t kMaxTasksPerJob = 100'000;
  /// Submissions beyond this many open tasks are refused, to limit memory.
  static constexpr size_t kMaxOpenTasks = 500'000;

  /// Part of a snapshot.
  struct JobSnapshot {
    JobId id = 0;
    JobSpec spec;
    std::vector<TaskRecord> tasks;
    std::vector<TaskDetails> task_details;
    std::string reason;

    template <typename Self, typename Visitor>
    static void VisitFields(Self& self, Visitor& visitor) {
      visitor(self.id, self.spec, self.tasks, self.task_details, self.reason);
    }
  };
  struct FinishedJob {
    JobId id = 0;
    Millis time;

    template <typename Self, typename Visitor>
    static void VisitFields(Self& self, Visitor& visitor) {
      visitor(self.id, self.time);
    }
  };
  struct Snapshot {
    JobId last_id = 0;
    std::vector<JobSnapshot> jobs;
    std::vector<FinishedJob> finished;

    template <typename Self, typename Visitor>
    static void VisitFields(Self& self, Visitor& visitor) {
      visitor(self.last_id, self.jobs, self.finished);
    }
  };

  /// Adds a job that passed ValidateJobSpec(); its tasks are pending.
  JobRecord& Add(const JobSpec& spec, Millis now);

  JobRecord* Find(JobId id);
  const JobRecord* Find(JobId id) const;

  /// Returns a task or null.
  TaskRecord* FindTask(TaskId id);
  const TaskRecord* FindTask(TaskId id) const;

  /// Moves a task to a state. The job is finished when its last open task ends.
  void SetState(JobRecord& job, uint32_t index, TaskState state, Millis now);

  /// Removes finished jobs beyond the retention period or the limit of tasks,
  /// oldest first.
  void Prune(Millis now);

  /// Number of pending tasks of one customer.
  size_t CountPendingTasks(std::string_view customer) const;

  size_t CountTasks(TaskState state) const {
    return m_counts[static_cast<size_t>(state)];
  }
  size_t OpenCount() const { return m_open_count; }
  const std::map<JobId, JobRecord>& jobs() const { return m_jobs; }

  Snapshot Save() const;
  void Restore(Snapshot snapshot);

 private:
  void Count(JobRecord& job, TaskState state, int amount);

  // Elements of a map keep their addresses, so that the scheduler may keep
  // pointers to the specs.
  std::map<JobId, JobRecord> m_jobs;
  std::deque<FinishedJob> m_finished;
  std::map<std::string, size_t, std::less<>> m_pending_by_customer;
  size_t m_counts[static_cast<size_t>(MaxValue(TaskState{})) + 1] = {};
  size_t m_open_count = 0;
  size_t m_finished_tasks = 0;
  JobId m_last_id = 0;
};

/// Checks a specification against the customer's plan and the current jobs.
Result<void> ValidateAgainstPlan(const JobSpec& spec,
                                 const Configuration& configuration,
                                 const JobTable& jobs);

}  // namespace fulmarrock

#endif  // SOURCE_CONTROL_JOB_TABLE_H_
