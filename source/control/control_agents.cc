#include <utility>

#include "source/control/control_role.h"

// The leader's handling of messages of agents that run tasks under leases of
// their own: announcements, renewals, reports and events.

namespace fulmarrock {
namespace {

constexpr size_t kMaxNameBytes = 256;

bool IsValidAnnounce(const NodeId& from, const WorkerAnnounce& announce) {
  return announce.incarnation != 0 && !from.empty() &&
         from.size() <= kMaxNameBytes &&
         announce.data_centre.size() <= kMaxNameBytes &&
         announce.rack.size() <= kMaxNameBytes &&
         announce.address.size() <= kMaxNameBytes &&
         ValidateRequest(announce.capacity).has_value();
}

size_t EventBytes(const TaskEvents& events) {
  size_t bytes = 0;
  for (const TaskEvent& event : events.events)
    bytes += 32 + event.detail.size();
  return bytes;
}

}  // namespace

void ControlRole::OnAnnounce(const NodeId& from,
                             const WorkerAnnounce& announce) {
  if (!IsValidAnnounce(from, announce)) {
    m_counters.Add("control_announcements_malformed");
    return;
  }
  m_transport.LearnAddress(from, announce.address);
  if (m_next_batch_bytes >= kMaxEntryBytes)
    return;
  // Incarnations are not ordered. A replaced incarnation may be the running
  // one, if the announcement that replaced it had been delayed.
  const WorkerIndex index = m_state.workers().Find(from);
  const WorkerRecord* worker = m_state.workers().Get(index);
  const bool is_past_incarnation =
      worker && worker->IsPastIncarnation(announce.incarnation);
  if (is_past_incarnation && !m_leases.HasExpired(index, m_clock.Now())) {
    m_counters.Add("control_announcements_of_past_incarnations");
    return;
  }
  m_next_batch.announcements.push_back({from, announce, is_past_incarnation});
  m_next_batch_bytes += 128;
}

void ControlRole::OnRenew(const NodeId& from, const LeaseRenew& renew) {
  const WorkerIndex index =
      FindRenewableWorker(from, renew.incarnation, renew.sent_at);
  if (index == kNoWorker)
    return;
  m_counters.Add("control_renewals");
  const WorkerRecord& worker = *m_state.workers().Get(index);
  if (!m_leases.OnRenewal(index, renew.sent_at, renew.answered_at,
                          !worker.tasks.empty(), m_clock.Now())) {
    m_counters.Add("control_workers_unreachable");
    return;
  }
  LeaseRenewReply reply;
  reply.incarnation = renew.incarnation;
  reply.sent_at = renew.sent_at;
  reply.is_renewed =
      renew.digest == worker.digest && renew.lease_count == worker.tasks.size();
  reply.needs_report = !reply.is_renewed;
  if (reply.needs_report)
    m_counters.Add("control_digest_mismatches");
  SendRenewReply(from, std::move(reply));
}

void ControlRole::OnReport(const NodeId& from, const LeaseReport& report) {
  const WorkerIndex index =
      FindRenewableWorker(from, report.incarnation, report.sent_at);
  if (index == kNoWorker)
    return;
  const Millis now = m_clock.Now();
  const bool has_leases = !m_state.workers().Get(index)->tasks.empty();
  if (!m_leases.OnRenewal(index, report.sent_at, report.answered_at, has_leases,
                          now)) {
    m_counters.Add("control_workers_unreachable");
    return;
  }
  LeaseRenewReply reply;
  reply.incarnation = report.incarnation;
  reply.sent_at = report.sent_at;
  reply.is_renewed = true;
  reply.revoked = m_dispatcher.Compare(index, report.leases, now);
  SendRenewReply(from, std::move(reply));
  m_dispatcher.SendDue(now);
}

WorkerIndex ControlRole::FindRenewableWorker(const NodeId& from,
                                             Incarnation incarnation,
                                             Millis sent_at) {
  const WorkerIndex index = m_state.workers().Find(from);
  const WorkerRecord* worker = m_state.workers().Get(index);
  if (!worker || worker->incarnation != incarnation) {
    // This reply makes the agent announce itself.
    LeaseRenewReply reply;
    reply.incarnation = incarnation;
    reply.sent_at = sent_at;
    SendRenewReply(from, std::move(reply));
    return kNoWorker;
  }
  if (!m_leases.IsExpiring(index))
    return index;
  // The release of these leases is proposed, so they must not be renewed. There
  // is no reply; the agent retries.
  if (!worker->tasks.empty())
    return kNoWorker;
  m_leases.OnReleased(index);
  return index;
}

void ControlRole::SendRenewReply(const NodeId& to, LeaseRenewReply reply) {
  reply.lease_duration = kLeaseDuration;
  m_transport.Send(to, reply);
}

void ControlRole::OnEvents(const NodeId& from, const TaskEvents& events) {
  const WorkerIndex index = m_state.workers().Find(from);
  const WorkerRecord* worker = m_state.workers().Get(index);
  if (!worker || worker->incarnation != events.incarnation ||
      events.events.empty() || events.first_sequence == 0) {
    m_counters.Add("control_events_ignored");
    return;
  }
  const uint64_t last = events.first_sequence + events.events.size() - 1;
  if (last <= worker->last_event_sequence) {
    SendEventsAck(index);
    return;
  }
  // Skips events that were resent while they are being committed.
  uint64_t& proposed = m_proposed_events[index];
  if (last <= proposed || m_next_batch_bytes >= kMaxEntryBytes)
    return;
  const size_t bytes = EventBytes(events);
  if (bytes > kMaxEntryBytes) {
    m_counters.Add("control_events_too_large");
    return;
  }
  proposed = last;
  m_next_batch.events.push_back({index, events});
  m_next_batch_bytes += bytes;
}

void ControlRole::SendEventsAck(WorkerIndex index) {
  const WorkerRecord* worker = m_state.workers().Get(index);
  if (worker) {
    m_transport.Send(worker->node, TaskEventsAck{worker->incarnation,
                                                 worker->last_event_sequence});
  }
}

void ControlRole::OnUsage(const NodeId& from, const UsageReport& report) {
  const WorkerRecord* worker =
      m_state.workers().Get(m_state.workers().Find(from));
  if (worker && worker->incarnation == report.incarnation)
    m_scheduler.OnUsage(from, report, m_clock.Now());
}

}  // namespace fulmarrock
