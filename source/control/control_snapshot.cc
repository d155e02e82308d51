#include <utility>

#include "source/control/control_state.h"
#include "source/message/field_codec.h"

namespace fulmarrock {

/// A snapshot's content. New fields go to the end of their struct: older
/// members ignore them, and newer ones find defaults where they are missing.
struct ControlState::Snapshot {
  /// Increased only for snapshots that older members must not read at all.
  static constexpr uint32_t kFormat = 2;
  /// Format of snapshots without evacuations. Older members can read it; one
  /// that ignored an evacuation would start runs there as the leader.
  static constexpr uint32_t kFormatWithoutEvacuations = 1;

  uint32_t format = kFormatWithoutEvacuations;
  Millis time;
  ConfigurationHistory::Snapshot config;
  std::vector<OperationRecord> operations;
  JobTable::Snapshot jobs;
  std::vector<WorkerRecord> workers;
  std::vector<ClaimRecord> claims;
  WorkflowState::Snapshot workflows;
  EvacuationTable::Snapshot evacuations;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.format, self.time, self.config, self.operations, self.jobs,
            self.workers, self.claims, self.workflows, self.evacuations);
  }
};

std::string ControlState::Save() const {
  Snapshot snapshot;
  snapshot.time = m_time;
  snapshot.config = m_config.Save();
  snapshot.operations = m_operations.Save();
  snapshot.jobs = m_jobs.Save();
  snapshot.workers = m_workers.Save();
  snapshot.claims = m_claims.Save();
  snapshot.workflows = m_workflows.Save();
  snapshot.evacuations = m_evacuations.Save();
  if (!snapshot.evacuations.entries.empty())
    snapshot.format = Snapshot::kFormat;
  return PackStruct(snapshot);
}

Result<void> ControlState::Restore(std::string_view bytes) {
  Result<Snapshot> decoded = UnpackStruct<Snapshot>(bytes);
  if (!decoded)
    return tl::make_unexpected(std::move(decoded.error()));
  Snapshot& snapshot = *decoded;
  if (snapshot.format == 0 || snapshot.format > Snapshot::kFormat) {
    return MakeError(ErrorKind::kCorruption,
                     "snapshot format " + std::to_string(snapshot.format) +
                         " is not supported",
                     "upgrade this process");
  }
  m_time = snapshot.time;
  m_config.Restore(std::move(snapshot.config));
  m_operations.Restore(snapshot.operations);
  m_jobs.Restore(std::move(snapshot.jobs));
  m_workers.Restore(std::move(snapshot.workers));
  m_claims.Restore(std::move(snapshot.claims));
  m_workflows.Restore(std::move(snapshot.workflows));
  m_evacuations.Restore(std::move(snapshot.evacuations));
  for (const auto& [id, job] : m_jobs.jobs()) {
    for (uint32_t i = 0; i < job.tasks.size(); ++i) {
      const TaskRecord& task = job.tasks[i];
      if (task.IsActive() && !m_workers.Get(task.worker)) {
        return MakeError(ErrorKind::kCorruption,
                         "task " + ToString(TaskId{id, i}) +
                             " runs on a worker that the snapshot lacks",
                         "remove this member and add it again");
      }
      if (task.IsActive()) {
        m_workers.Assign(task.worker, {id, i}, task.epoch, job.spec.resources,
                         task.is_orphan);
      }
    }
  }
  return {};
}

}  // namespace fulmarrock
