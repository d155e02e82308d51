#include "source/agent/task_runner.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

#include "source/message/lease.h"

namespace fulmarrock {
namespace {

/// Time after which an unanswered message is sent again.
constexpr Millis kRetryInterval{1'000};
constexpr Millis kUsageInterval{30'000};
constexpr Millis kCleanupInterval{1'000};
/// A duplicate of a grant is refused by its age after one lease duration, so
/// that ended epochs need not be kept for longer.
constexpr Millis kEndedLeaseRetention = kLeaseDuration * 2;
constexpr int64_t kMinServiceRequests = 100;
constexpr size_t kMaxEventsPerMessage = 1'000;
constexpr size_t kMaxDetailBytes = 512;

bool IsEnd(TaskEventKind kind) {
  return kind != TaskEventKind::kStarted;
}

}  // namespace

TaskRunner::TaskRunner(TaskRunnerSettings settings,
                       Clock& clock,
                       Transport& transport,
                       RandomSource& random,
                       WorkerClient& worker,
                       Counters& counters)
    : m_settings(std::move(settings)),
      m_clock(clock),
      m_transport(transport),
      m_random(random),
      m_worker(worker),
      m_counters(counters) {
  m_worker.StopAll();
}

void TaskRunner::OnMessage(const NodeId& from, const Message& message) {
  if (const auto* announced = std::get_if<WorkerAnnounceAck>(&message)) {
    OnAnnounceAck(from, *announced);
  } else if (const auto* reply = std::get_if<LeaseRenewReply>(&message)) {
    OnRenewReply(from, *reply);
  } else if (const auto* grants = std::get_if<GrantBatch>(&message)) {
    OnGrants(*grants);
  } else if (const auto* stops = std::get_if<StopBatch>(&message)) {
    if (stops->incarnation != m_settings.incarnation)
      return;
    for (const TaskStop& stop : stops->stops)
      OnStop(stop);
  } else if (const auto* ack = std::get_if<TaskEventsAck>(&message)) {
    OnEventsAck(*ack);
  }
}

void TaskRunner::OnTick() {
  const Millis now = m_clock.Now();
  SuspendExpired();
  ReportKernels();
  // A draining agent keeps announcing itself: an acknowledgement does not show
  // whether it is for the announcement with `is_draining`.
  if ((!m_is_announced || m_is_shutting_down) && now >= m_next_announce)
    SendAnnounce();
  if (m_is_announced && now >= m_next_renew)
    SendRenew();
  if (!m_events.empty() && (m_has_unsent_events || now >= m_next_events))
    SendEvents();
  if ((!m_usage.empty() || m_service_probe) && now >= m_next_usage)
    SendUsage();
  if (now >= m_next_cleanup)
    RemoveEndedLeases();
}

void TaskRunner::BeginShutdown() {
  if (m_is_shutting_down)
    return;
  m_is_shutting_down = true;
  m_next_announce = m_clock.Now();
  for (auto& [task, lease] : m_leases) {
    // A kernel or service that cannot be checkpointed runs until it ends.
    const bool is_stoppable =
        lease.kind == TaskKind::kBatch || lease.can_checkpoint;
    if (lease.state == LeaseState::kRunning && is_stoppable)
      StopLease(task, lease, /*with_checkpoint=*/true);
  }
}

bool TaskRunner::IsDrained() const {
  return m_is_shutting_down && m_leases.empty() && m_events.empty();
}

void TaskRunner::OnTaskEvent(TaskId task,
                             TaskEventKind kind,
                             const std::string& detail,
                             Millis runtime) {
  const auto it = m_leases.find(task);
  if (it == m_leases.end() || it->second.state == LeaseState::kEnded) {
    m_counters.Add("agent_worker_events_ignored");
    return;
  }
  if (IsEnd(kind))
    EndLease(task, kind, detail, runtime);
  else
    AddEvent({task, it->second.epoch, kind, detail, runtime});
}

void TaskRunner::OnPastTaskEnd(TaskId task,
                               Epoch epoch,
                               TaskEventKind kind,
                               const std::string& detail,
                               Millis runtime) {
  // Without this event a task that completed after its agent died would run
  // again. Control ignores the event if it was reported before, or if the task
  // has been granted again since.
  m_counters.Add("agent_past_tasks_reported");
  AddEvent({task, epoch, kind, detail.substr(0, kMaxDetailBytes), runtime});
}

void TaskRunner::OnUsage(const std::vector<TaskUsage>& usage) {
  m_usage = usage;
}

void TaskRunner::OnAnnounceAck(const NodeId& from,
                               const WorkerAnnounceAck& ack) {
  if (ack.incarnation != m_settings.incarnation)
    return;
  m_leader = from;
  if (m_is_announced)
    return;
  m_is_announced = true;
  m_next_renew = m_clock.Now();
}

void TaskRunner::OnRenewReply(const NodeId& from,
                              const LeaseRenewReply& reply) {
  if (reply.incarnation != m_settings.incarnation ||
      reply.sent_at > m_clock.Now())
    return;
  m_leader = from;
  m_answered_at = std::max(m_answered_at, reply.sent_at);
  if (reply.needs_report) {
    SendReport();
    return;
  }
  if (!reply.is_renewed) {
    // Control does not know this agent incarnation, or has removed it.
    m_is_announced = false;
    return;
  }
  m_is_renewal_pending = false;
  // The interval is shortened by a random part of up to a tenth, so that agents
  // that started together do not renew together.
  const uint64_t spread = static_cast<uint64_t>(kRenewalInterval.count()) / 10;
  m_next_renew = reply.sent_at + kRenewalInterval -
                 Millis(static_cast<int64_t>(m_random.Below(spread)));
  for (const HeldLease& lease : reply.revoked) {
    const auto it = m_leases.find(lease.task);
    if (it != m_leases.end() && it->second.epoch == lease.epoch) {
      m_counters.Add("agent_leases_revoked");
      StopLease(lease.task, it->second, /*with_checkpoint=*/false);
    }
  }
  Renew(reply.sent_at, std::min(reply.lease_duration, kLeaseDuration));
}

void TaskRunner::OnGrants(const GrantBatch& batch) {
  const Millis valid_until =
      batch.lease_sent_at + kLeaseDuration - kClockDriftMargin;
  if (batch.incarnation != m_settings.incarnation ||
      m_clock.Now() >= valid_until) {
    // Control sends the grants that are still valid again after the next
    // renewal.
    m_counters.Add("agent_grants_not_current");
    return;
  }
  for (const TaskGrant& grant : batch.grants)
    OnGrant(grant, valid_until);
  UpdateWorkerLease();
}

void TaskRunner::OnGrant(const TaskGrant& grant, Millis valid_until) {
  if (IsEndedEpoch(grant.task, grant.epoch))
    return;
  const auto held = m_leases.find(grant.task);
  if (held != m_leases.end()) {
    // The older epoch has to end first; control sends the grant again.
    if (held->second.epoch < grant.epoch)
      StopLease(grant.task, held->second, /*with_checkpoint=*/false);
    return;
  }
  const bool is_valid = ValidateRequest(grant.resources).has_value();
  const bool fits =
      is_valid && (m_used + grant.resources).FitsIn(m_settings.capacity);
  Lease& lease = AddLease(grant.task, grant.epoch);
  if (!fits || m_is_shutting_down) {
    m_counters.Add("agent_grants_rejected");
    EndLease(grant.task, TaskEventKind::kRejected,
             m_is_shutting_down ? "the worker is draining"
                                : "not enough free capacity",
             Millis(0));
    return;
  }
  lease.kind = grant.kind;
  lease.resources = grant.resources;
  lease.can_checkpoint = grant.can_checkpoint;
  lease.workload = grant.workload;
  lease.started_at = m_clock.Now();
  lease.valid_until = valid_until;
  m_used += grant.resources;
  m_counters.Add("agent_tasks_started");
  m_worker.Start(grant);
}

void TaskRunner::OnStop(const TaskStop& stop) {
  if (IsEndedEpoch(stop.task, stop.epoch))
    return;
  const auto it = m_leases.find(stop.task);
  if (it == m_leases.end()) {
    // The grant has not arrived; from now on it is ignored as ended.
    AddLease(stop.task, stop.epoch);
    EndLease(stop.task, TaskEventKind::kStopped, "never started", Millis(0));
    return;
  }
  // An older epoch has to end first; control repeats the stop until then.
  if (it->second.epoch <= stop.epoch) {
    const bool with_checkpoint =
        stop.mode == StopMode::kCheckpoint && it->second.epoch == stop.epoch;
    StopLease(stop.task, it->second, with_checkpoint);
  }
}

void TaskRunner::OnEventsAck(const TaskEventsAck& ack) {
  if (ack.incarnation != m_settings.incarnation)
    return;
  while (!m_events.empty() && m_first_sequence <= ack.last_sequence) {
    const TaskId task = m_events.front().task;
    const auto it = m_leases.find(task);
    if (it != m_leases.end() && it->second.final_sequence == m_first_sequence) {
      m_digest -= LeaseDigest(task, it->second.epoch);
      m_ended_leases[task] = {it->second.epoch, m_clock.Now()};
      m_leases.erase(it);
    }
    m_events.pop_front();
    ++m_first_sequence;
  }
  // A message holds a limited number of events; the rest is sent at once.
  const uint64_t last_sequence = m_first_sequence + m_events.size() - 1;
  m_has_unsent_events |= last_sequence > m_last_sent_sequence;
}

TaskRunner::Lease& TaskRunner::AddLease(TaskId task, Epoch epoch) {
  m_digest += LeaseDigest(task, epoch);
  Lease& lease = m_leases[task];
  lease.epoch = epoch;
  return lease;
}

void TaskRunner::EndLease(TaskId task,
                          TaskEventKind kind,
                          const std::string& detail,
                          Millis runtime) {
  Lease& lease = m_leases.at(task);
  m_used -= lease.resources;
  lease.resources = Resources();
  lease.state = LeaseState::kEnded;
  lease.is_suspended = false;
  lease.final_sequence = AddEvent({task, lease.epoch, kind, detail, runtime});
}

void TaskRunner::StopLease(TaskId task, Lease& lease, bool with_checkpoint) {
  if (lease.state == LeaseState::kEnded || lease.state == LeaseState::kStopping)
    return;
  const bool should_checkpoint = with_checkpoint && lease.can_checkpoint;
  if (should_checkpoint && lease.state == LeaseState::kCheckpointing)
    return;
  lease.state =
      should_checkpoint ? LeaseState::kCheckpointing : LeaseState::kStopping;
  if (should_checkpoint)
    m_worker.Checkpoint(task);
  else
    m_worker.Stop(task);
}

bool TaskRunner::IsEndedEpoch(TaskId task, Epoch epoch) const {
  const auto held = m_leases.find(task);
  if (held != m_leases.end() && held->second.epoch > epoch)
    return true;
  const auto ended_lease = m_ended_leases.find(task);
  return ended_lease != m_ended_leases.end() &&
         ended_lease->second.epoch >= epoch;
}

uint64_t TaskRunner::AddEvent(TaskEvent event) {
  event.detail.resize(std::min(event.detail.size(), kMaxDetailBytes));
  m_events.push_back(std::move(event));
  m_has_unsent_events = true;
  return m_first_sequence + m_events.size() - 1;
}

void TaskRunner::SuspendExpired() {
  const Millis now = m_clock.Now();
  bool has_suspended = false;
  for (auto& [task, lease] : m_leases) {
    if (lease.state == LeaseState::kEnded || now < lease.valid_until)
      continue;
    if (!lease.is_suspended) {
      has_suspended = true;
      // This includes tasks that are being stopped: they must not execute
      // without a lease either.
      m_counters.Add("agent_tasks_suspended");
      lease.is_suspended = true;
      lease.suspended_at = now;
      m_worker.Suspend(task);
    } else if (lease.kind == TaskKind::kBatch &&
               lease.state == LeaseState::kRunning &&
               now >= lease.suspended_at + kLeaseDuration) {
      StopLease(task, lease, /*with_checkpoint=*/true);
    }
  }
  if (has_suspended)
    UpdateWorkerLease();
}

void TaskRunner::Renew(Millis sent_at, Millis lease_duration) {
  const Millis valid_until = sent_at + lease_duration - kClockDriftMargin;
  const bool is_valid = m_clock.Now() < valid_until;
  for (auto& [task, lease] : m_leases) {
    // The renewal does not cover leases that started after it was sent. When a
    // late reply arrives, control may have let such a lease expire and granted
    // the task elsewhere.
    if (lease.state == LeaseState::kEnded || lease.started_at >= sent_at)
      continue;
    lease.valid_until = std::max(lease.valid_until, valid_until);
    // A task that is being stopped stays suspended until it has ended.
    if (!is_valid || !lease.is_suspended || lease.state != LeaseState::kRunning)
      continue;
    lease.is_suspended = false;
    m_counters.Add("agent_tasks_resumed");
    m_worker.Resume(task);
  }
  UpdateWorkerLease();
}

void TaskRunner::UpdateWorkerLease() {
  Millis earliest = Millis::Max();
  for (const auto& [task, lease] : m_leases) {
    if (lease.state != LeaseState::kEnded && !lease.is_suspended)
      earliest = std::min(earliest, lease.valid_until);
  }
  const Millis now = m_clock.Now();
  if (earliest != Millis::Max() && earliest > now)
    m_worker.ExtendLeases(earliest - now);
}

void TaskRunner::ReportKernels() {
  if (!m_kernel_listener)
    return;
  std::vector<std::string> kernels;
  for (const auto& [task, lease] : m_leases) {
    if (lease.kind == TaskKind::kKernel &&
        lease.state == LeaseState::kRunning && !lease.is_suspended)
      kernels.push_back(lease.workload);
  }
  if (kernels == m_kernels)
    return;
  m_kernels = std::move(kernels);
  m_kernel_listener->OnKernelsChanged(m_kernels);
}

void TaskRunner::RemoveEndedLeases() {
  const Millis now = m_clock.Now();
  m_next_cleanup = now + kCleanupInterval;
  std::erase_if(m_ended_leases, [now](const auto& item) {
    return item.second.ended_at + kEndedLeaseRetention <= now;
  });
}

void TaskRunner::SendAnnounce() {
  m_next_announce = m_clock.Now() + kRetryInterval;
  WorkerAnnounce announce;
  announce.data_centre = m_settings.data_centre;
  announce.rack = m_settings.rack;
  announce.capacity = m_settings.capacity;
  announce.incarnation = m_settings.incarnation;
  announce.is_draining = m_is_shutting_down;
  announce.address = m_settings.address;
  SendToControl(announce);
  if (!m_is_announced)
    m_leader.clear();
}

void TaskRunner::SendRenew() {
  const Millis now = m_clock.Now();
  m_next_renew = now + kRetryInterval;
  // The leader did not reply to the last renewal.
  if (m_is_renewal_pending)
    m_leader.clear();
  m_is_renewal_pending = true;
  LeaseRenew renew;
  renew.incarnation = m_settings.incarnation;
  renew.digest = m_digest;
  renew.lease_count = static_cast<uint32_t>(m_leases.size());
  renew.sent_at = now;
  renew.answered_at = m_answered_at;
  SendToControl(renew);
}

void TaskRunner::SendReport() {
  LeaseReport report;
  report.incarnation = m_settings.incarnation;
  report.sent_at = m_clock.Now();
  report.answered_at = m_answered_at;
  report.leases.reserve(m_leases.size());
  for (const auto& [task, lease] : m_leases)
    report.leases.push_back({task, lease.epoch});
  SendToControl(report);
}

void TaskRunner::SendEvents() {
  if (!m_is_announced)
    return;
  m_next_events = m_clock.Now() + kRetryInterval;
  m_has_unsent_events = false;
  TaskEvents message;
  message.incarnation = m_settings.incarnation;
  message.first_sequence = m_first_sequence;
  const size_t count = std::min(m_events.size(), kMaxEventsPerMessage);
  message.events.assign(m_events.begin(),
                        m_events.begin() + static_cast<ptrdiff_t>(count));
  m_last_sent_sequence = m_first_sequence + count - 1;
  SendToControl(message);
}

void TaskRunner::SendUsage() {
  m_next_usage = m_clock.Now() + kUsageInterval;
  UsageReport report;
  report.incarnation = m_settings.incarnation;
  report.tasks = std::exchange(m_usage, {});
  report.services = MeasureService();
  if (!m_leader.empty())
    m_transport.Send(m_leader, report);
}

std::vector<ServiceLatency> TaskRunner::MeasureService() const {
  if (!m_service_probe)
    return {};
  const std::optional<LatencySample> sample = m_service_probe->Read();
  // A p99 over few requests is mostly noise.
  if (!sample || sample->request_count < kMinServiceRequests)
    return {};
  ServiceLatency latency{m_service, sample->p99, sample->objective, {}};
  for (const auto& [task, lease] : m_leases) {
    if (lease.kind == TaskKind::kBatch && lease.state == LeaseState::kRunning &&
        !lease.is_suspended)
      latency.colocated_workloads.push_back(lease.workload);
  }
  std::vector<std::string>& names = latency.colocated_workloads;
  std::sort(names.begin(), names.end());
  names.erase(std::unique(names.begin(), names.end()), names.end());
  return {std::move(latency)};
}

void TaskRunner::SendToControl(const Message& message) {
  if (!m_leader.empty()) {
    m_transport.Send(m_leader, message);
    return;
  }
  for (const NodeId& member : m_settings.control_members)
    m_transport.Send(member, message);
}

}  // namespace fulmarrock
