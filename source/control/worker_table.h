#ifndef SOURCE_CONTROL_WORKER_TABLE_H_
#define SOURCE_CONTROL_WORKER_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "source/control/commands.h"

namespace fulmarrock {

/// Replicated record of a worker, with values derived from the tasks assigned
/// to it.
struct WorkerRecord {
  NodeId node;
  std::string data_centre;
  std::string rack;
  std::string address;
  Resources capacity;
  Incarnation incarnation = 0;
  /// Incarnations before the current one, newest last. A delayed announcement
  /// of one of them is refused.
  std::vector<Incarnation> past_incarnations;
  uint64_t last_event_sequence = 0;
  bool is_draining_by_agent = false;
  bool is_draining_by_operator = false;
  /// Jobs of which a task failed on this worker since the last completion
  /// there, up to kQuarantineJobs.
  std::vector<JobId> failed_jobs;

  // The following members are derived from the job table and not part of a
  // snapshot.
  /// Leases of the current incarnation.
  std::vector<TaskId> tasks;
  /// Leases of earlier incarnations, which are released when the last lease of
  /// those has expired.
  std::vector<TaskId> orphans;
  Resources used;
  uint64_t digest = 0;

  bool IsDraining() const {
    return is_draining_by_agent || is_draining_by_operator;
  }
  bool IsQuarantined() const;
  bool IsPastIncarnation(Incarnation other) const;
  bool HasTasks() const { return !tasks.empty() || !orphans.empty(); }

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.node, self.data_centre, self.rack, self.address,
            self.capacity.cpu_millicores, self.capacity.memory_mib,
            self.capacity.accelerators, self.incarnation,
            self.past_incarnations, self.last_event_sequence,
            self.is_draining_by_agent, self.is_draining_by_operator,
            self.failed_jobs);
  }
};

/// Workers by index. Indexes of removed workers are reused.
class WorkerTable {
 public:
  /// A worker is quarantined after tasks of this many distinct jobs failed on
  /// it without a completion in between.
  static constexpr size_t kQuarantineJobs = 5;

  /// New workers beyond this count are refused, to limit memory.
  static constexpr size_t kMaxWorkers = 20'000;

  enum class AnnounceResult { kUnchanged, kUpdated, kRestarted, kRefused };

  /// Adds or updates a worker. When it returns kRestarted, the leases of the
  /// previous incarnation have become orphans.
  AnnounceResult Announce(const AnnounceCommand& command);

  /// Removes a worker without tasks.
  bool RemoveWorker(WorkerIndex index, Incarnation incarnation);

  /// Adds a lease to a worker; `is_orphan` when it belongs to an earlier
  /// incarnation.
  void Assign(WorkerIndex index,
              TaskId task,
              Epoch epoch,
              const Resources& resources,
              bool is_orphan);

  /// Removes a lease from a worker.
  void Unassign(WorkerIndex index,
                TaskId task,
                Epoch epoch,
                const Resources& resources);

  /// Counts the completion or failure of an attempt for the quarantine; returns
  /// whether the worker entered or left quarantine.
  bool CountAttempt(WorkerIndex index, JobId job, bool has_failed);

  /// Return a worker or null.
  const WorkerRecord* Get(WorkerIndex index) const;
  WorkerRecord* GetMutable(WorkerIndex index);
  WorkerIndex Find(std::string_view node) const;

  /// Number of indexes, including unused ones.
  WorkerIndex index_count() const {
    return static_cast<WorkerIndex>(m_workers.size());
  }
  size_t size() const { return m_by_node.size(); }

  /// Unused indexes have an empty node.
  const std::vector<WorkerRecord>& Save() const { return m_workers; }
  void Restore(std::vector<WorkerRecord> workers);

 private:
  WorkerIndex Add(const NodeId& node);

  std::vector<WorkerRecord> m_workers;
  std::unordered_map<NodeId, WorkerIndex> m_by_node;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONTROL_WORKER_TABLE_H_
