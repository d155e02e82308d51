#include <utility>

#include "source/control/control_state.h"
#include "source/message/field_codec.h"

namespace fulmarrock {

/// A snapshot's content. New fields go to the end of their struct: older
/// members ignore them, and newer ones find defaults where they are missing.
struct ControlState::Image {
  /// Raised only when older members must not read the snapshot at all.
  static constexpr uint32_t kFormat = 1;

  uint32_t format = kFormat;
  Millis time;
  ConfigurationHistory::Image lists;
  std::vector<OperationRecord> operations;
  JobTable::Image jobs;
  std::vector<WorkerRecord> workers;
  std::vector<ClaimRecord> claims;
  WorkflowState::Image workflows;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.format, self.time, self.lists, self.operations, self.jobs,
            self.workers, self.claims, self.workflows);
  }
};

std::string ControlState::Save() const {
  Image image;
  image.time = m_time;
  image.lists = m_lists.Save();
  image.operations = m_operations.Save();
  image.jobs = m_jobs.Save();
  image.workers = m_workers.Save();
  image.claims = m_claims.Save();
  image.workflows = m_workflows.Save();
  return PackStruct(image);
}

Result<void> ControlState::Restore(std::string_view bytes) {
  Result<Image> decoded = UnpackStruct<Image>(bytes);
  if (!decoded)
    return tl::make_unexpected(std::move(decoded.error()));
  Image& image = *decoded;
  if (image.format == 0 || image.format > Image::kFormat) {
    return MakeError(
        ErrorKind::kCorruption,
        "snapshot format " + std::to_string(image.format) + " is not supported",
        "upgrade this process");
  }
  m_time = image.time;
  m_lists.Restore(std::move(image.lists));
  m_operations.Restore(image.operations);
  m_jobs.Restore(std::move(image.jobs));
  m_workers.Restore(std::move(image.workers));
  m_claims.Restore(std::move(image.claims));
  m_workflows.Restore(std::move(image.workflows));
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
