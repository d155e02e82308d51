#include <utility>

#include "source/config/configuration_json.h"
#include "source/control/control_role.h"

// The part of the control role that handles the calls of OperatorService.

namespace fulmarrock {
namespace {

constexpr size_t kMaxOperationIdBytes = 128;
constexpr size_t kMaxWaiters = 10'000;

JobView MakeView(const JobRecord& job) {
  JobView view;
  view.id = job.id;
  view.spec = job.spec;
  view.pending = job.Count(TaskState::kPending);
  view.running = job.Count(TaskState::kRunning) +
                 job.Count(TaskState::kEvicting) +
                 job.Count(TaskState::kCancelling);
  view.completed = job.Count(TaskState::kCompleted);
  view.failed = job.Count(TaskState::kFailed);
  view.cancelled = job.Count(TaskState::kCancelled);
  view.reason = job.reason;
  return view;
}

}  // namespace

void ControlRole::ApplyConfiguration(ApplyRequest request,
                                     Done<uint64_t> done) {
  if (!IsAccepting(done) || !IsValidOperationId(request.operation_id, done))
    return;
  SortConfiguration(request.configuration);
  if (Result<void> valid = ValidateConfiguration(request.configuration);
      !valid) {
    m_counters.Add("control_invalid_lists");
    done(tl::make_unexpected(valid.error()));
    return;
  }
  ApplyCommand command;
  command.token = AddWaiter(std::move(done));
  command.operation_id = std::move(request.operation_id);
  command.fingerprint =
      Fingerprint(request.base_version, request.configuration);
  command.base_version = request.base_version;
  command.configuration = std::move(request.configuration);
  m_next_batch_bytes += 64 * (command.configuration.plans.size() +
                              command.configuration.customers.size());
  m_next_batch.configurations.push_back(std::move(command));
}

void ControlRole::SetQueueConfiguration(QueueConfiguration queue_configuration,
                                        Done<bool> done) {
  if (!IsAccepting(done)) {
    m_workflows.callers().LogUnservedQueueConfiguration(
        queue_configuration.version, m_log->Leader());
    return;
  }
  m_next_batch_bytes += queue_configuration.document.size() * 2;
  m_workflows.callers().SetQueueConfiguration(
      std::move(queue_configuration), m_next_batch.workflow,
      [done = std::move(done)](const Result<void>& result) {
        if (result)
          done(true);
        else
          done(tl::make_unexpected(result.error()));
      });
}

Result<QueueConfiguration> ControlRole::GetQueueConfiguration() const {
  if (!IsLeading())
    return tl::make_unexpected(NotLeader());
  if (m_state.workflows().queue_configuration().version == 0) {
    return MakeError(ErrorKind::kUnavailable, "no queues are configured yet",
                     "set the queue configuration first");
  }
  return m_state.workflows().queue_configuration();
}

void ControlRole::SetEvacuation(EvacuationRequest request, Done<bool> done) {
  if (IsAccepting(done))
    m_evacuations.Submit(std::move(request), m_next_batch.evacuations,
                         std::move(done));
}

Result<std::vector<DataCentreView>> ControlRole::ListDataCentres() const {
  if (!IsLeading())
    return tl::make_unexpected(NotLeader());
  return m_evacuations.List(m_clock.Now() + m_time_offset);
}

void ControlRole::SubmitJob(SubmitRequest request, Done<JobId> done) {
  if (!IsAccepting(done) || !IsValidOperationId(request.operation_id, done))
    return;
  if (Result<void> valid = ValidateJobSpec(request.spec); !valid) {
    m_counters.Add("control_invalid_jobs");
    done(tl::make_unexpected(valid.error()));
    return;
  }
  SubmitCommand command;
  command.token = AddWaiter(std::move(done));
  command.operation_id = std::move(request.operation_id);
  command.fingerprint = Fingerprint(request.spec);
  command.spec = std::move(request.spec);
  m_next_batch_bytes += 256 + command.spec.payload.size();
  m_next_batch.submissions.push_back(std::move(command));
}

void ControlRole::CancelJobs(std::vector<JobId> jobs, Done<uint64_t> done) {
  if (!IsAccepting(done))
    return;
  m_next_batch_bytes += 9 * jobs.size();
  const uint64_t token = AddWaiter(std::move(done));
  m_next_batch.cancellations.push_back({token, std::move(jobs)});
}

void ControlRole::SetWorkerDraining(NodeId worker,
                                    bool is_draining,
                                    Done<bool> done) {
  if (!IsAccepting(done))
    return;
  const uint64_t token = AddWaiter([done](const Result<uint64_t>& result) {
    done(result.map([](uint64_t value) { return value != 0; }));
  });
  m_next_batch.drains.push_back({token, std::move(worker), is_draining});
}

void ControlRole::AddMember(NodeId node,
                            Incarnation incarnation,
                            Done<bool> done) {
  if (!IsAccepting(done))
    return;
  const Result<LogIndex> index = m_log->AddMember(node, incarnation);
  if (!index)
    done(tl::make_unexpected(index.error()));
  else
    m_member_waiters.push_back({*index, std::move(done)});
}

void ControlRole::RemoveMember(NodeId node, Done<bool> done) {
  if (!IsAccepting(done))
    return;
  const Result<LogIndex> index = m_log->RemoveMember(node);
  if (!index)
    done(tl::make_unexpected(index.error()));
  else
    m_member_waiters.push_back({*index, std::move(done)});
}

ConfigSnapshot ControlRole::GetConfiguration() const {
  return {m_state.config().version(), m_state.config().configuration()};
}

Result<JobView> ControlRole::ShowJob(JobId id) const {
  const JobRecord* job = m_state.jobs().Find(id);
  if (!job) {
    return MakeError(ErrorKind::kNotFound,
                     "job " + std::to_string(id) + " is not known",
                     "finished jobs are kept for 24 h; list the jobs");
  }
  JobView view = MakeView(*job);
  view.tasks.reserve(job->tasks.size());
  for (uint32_t i = 0; i < job->tasks.size(); ++i) {
    const TaskRecord& task = job->tasks[i];
    TaskView& shown = view.tasks.emplace_back();
    shown.index = i;
    shown.state = task.state;
    shown.epoch = task.epoch;
    if (const WorkerRecord* worker = m_state.workers().Get(task.worker))
      shown.worker = worker->node;
    shown.failed_attempts = task.failed_attempts;
    shown.evictions = task.evictions;
    if (const auto it = job->task_details.find(i);
        it != job->task_details.end())
      shown.detail = it->second.detail;
  }
  return view;
}

std::vector<JobView> ControlRole::ListJobs(std::string_view customer) const {
  std::vector<JobView> views;
  for (const auto& [id, job] : m_state.jobs().jobs()) {
    if (customer.empty() || job.spec.customer == customer)
      views.push_back(MakeView(job));
  }
  return views;
}

ClusterStatus ControlRole::GetStatus() const {
  ClusterStatus status;
  status.member = m_self;
  status.leader = m_log->Leader();
  status.term = m_log->CurrentTerm();
  status.commit_index = m_log->CommitIndex();
  status.members = m_log->Members();
  status.configuration_version = m_state.config().version();
  status.processes = m_distributor.Processes(m_clock.Now());
  const WorkerTable& workers = m_state.workers();
  for (WorkerIndex i = 0; i < workers.index_count(); ++i) {
    const WorkerRecord* worker = workers.Get(i);
    if (!worker)
      continue;
    WorkerView& view = status.workers.emplace_back();
    view.node = worker->node;
    view.data_centre = worker->data_centre;
    view.rack = worker->rack;
    view.capacity = worker->capacity;
    view.used = worker->used;
    view.running_tasks =
        static_cast<uint32_t>(worker->tasks.size() + worker->orphans.size());
    view.is_draining = worker->IsDraining();
    // The scheduler quarantines a worker sooner; the quarantine in the
    // replicated record survives a change of leader.
    view.is_quarantined =
        worker->IsQuarantined() || m_scheduler.IsQuarantined(view.node);
    view.is_alive = m_is_leader && m_leases.IsAvailable(i);
  }
  const JobTable& jobs = m_state.jobs();
  status.pending_tasks = jobs.CountTasks(TaskState::kPending);
  status.running_tasks = jobs.CountTasks(TaskState::kRunning) +
                         jobs.CountTasks(TaskState::kEvicting) +
                         jobs.CountTasks(TaskState::kCancelling);
  return status;
}

Error ControlRole::NotLeader() const {
  const NodeId leader = m_log->Leader();
  return {ErrorKind::kNotLeader, m_self + " is not the leader",
          leader.empty() || leader == m_self
              ? "try again in a moment; no leader is known"
              : "ask " + leader};
}

template <typename T>
bool ControlRole::IsAccepting(const Done<T>& done) {
  if (!IsLeading()) {
    done(tl::make_unexpected(NotLeader()));
    return false;
  }
  const bool is_overloaded =
      m_waiters.size() >= kMaxWaiters || m_next_batch_bytes >= kMaxEntryBytes;
  if (m_is_stopping || is_overloaded) {
    done(MakeError(ErrorKind::kUnavailable,
                   "this member accepts no changes at present",
                   "repeat the change with the same operation id"));
    return false;
  }
  return true;
}

template <typename T>
bool ControlRole::IsValidOperationId(const std::string& id,
                                     const Done<T>& done) {
  if (!id.empty() && id.size() <= kMaxOperationIdBytes)
    return true;
  done(MakeError(ErrorKind::kInvalidArgument,
                 "the operation id is missing or too long",
                 "choose a new id of 1 to 128 bytes for each change"));
  return false;
}

uint64_t ControlRole::AddWaiter(Waiter waiter) {
  const uint64_t token = m_random.Next();
  m_waiters[token] = std::move(waiter);
  return token;
}

void ControlRole::FailWaiters(const Error& error) {
  for (auto& [token, waiter] : std::exchange(m_waiters, {}))
    waiter(tl::make_unexpected(error));
  for (MemberWaiter& waiter : std::exchange(m_member_waiters, {}))
    waiter.done(tl::make_unexpected(error));
}

void ControlRole::CompleteMemberWaiters() {
  std::vector<MemberWaiter> open;
  for (MemberWaiter& waiter : std::exchange(m_member_waiters, {})) {
    if (m_log->CommitIndex() >= waiter.index)
      waiter.done(true);
    else
      open.push_back(std::move(waiter));
  }
  for (MemberWaiter& waiter : open)
    m_member_waiters.push_back(std::move(waiter));
}

}  // namespace fulmarrock
