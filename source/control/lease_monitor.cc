#include "source/control/lease_monitor.h"

#include <algorithm>

namespace fulmarrock {
namespace {

constexpr size_t kTicksPerScan = 100;

}  // namespace

void LeaseMonitor::Reset(WorkerIndex count, Millis now) {
  m_entries.clear();
  m_next_worker = 0;
  m_reset_at = now;
  if (count > 0)
    Get(count - 1);
  // After a change of leader it is not known which workers have leases of
  // earlier incarnations.
  for (Entry& entry : m_entries)
    entry.has_orphans = true;
}

void LeaseMonitor::OnAnnounced(WorkerIndex worker,
                               bool is_restart,
                               Millis now) {
  Entry& entry = Get(worker);
  entry.last_contact_at = now;
  if (!is_restart)
    return;
  entry.orphan_deadline = std::max(entry.orphan_deadline, entry.deadline);
  entry.has_orphans = true;
  entry.deadline = now + kSafeLeaseDuration;
  entry.has_renewal = false;
  entry.is_expiring = false;
  entry.has_unconfirmed_reply = false;
}

bool LeaseMonitor::OnRenewal(WorkerIndex worker,
                             Millis sent_at,
                             Millis answered_at,
                             bool has_leases,
                             Millis now) {
  Entry& entry = Get(worker);
  if (entry.has_unconfirmed_reply && answered_at >= entry.unconfirmed_sent_at)
    entry.has_unconfirmed_reply = false;
  if (entry.has_unconfirmed_reply && has_leases &&
      now >= entry.unconfirmed_since + kLeaseDuration)
    return false;
  if (!entry.has_unconfirmed_reply) {
    entry.has_unconfirmed_reply = true;
    entry.unconfirmed_sent_at = sent_at;
    entry.unconfirmed_since = now;
  }
  entry.last_contact_at = now;
  entry.deadline = std::max(entry.deadline, now + kSafeLeaseDuration);
  entry.last_sent_at =
      entry.has_renewal ? std::max(entry.last_sent_at, sent_at) : sent_at;
  entry.has_renewal = true;
  return true;
}

bool LeaseMonitor::IsExpiring(WorkerIndex worker) const {
  return worker < m_entries.size() && m_entries[worker].is_expiring;
}

bool LeaseMonitor::HasExpired(WorkerIndex worker, Millis now) const {
  return worker < m_entries.size() && now >= m_entries[worker].deadline;
}

void LeaseMonitor::OnReleased(WorkerIndex worker) {
  Get(worker).is_expiring = false;
}

std::optional<Millis> LeaseMonitor::LastSentAt(WorkerIndex worker) const {
  if (worker >= m_entries.size() || !m_entries[worker].has_renewal)
    return std::nullopt;
  return m_entries[worker].last_sent_at;
}

bool LeaseMonitor::IsAvailable(WorkerIndex worker) const {
  return worker < m_entries.size() && m_entries[worker].is_available;
}

void LeaseMonitor::PausePlacements(WorkerIndex worker, Millis until) {
  Entry& entry = Get(worker);
  entry.placements_paused_until = until;
  entry.is_available = false;
}

std::vector<LeaseEvent> LeaseMonitor::Scan(Millis now) {
  std::vector<LeaseEvent> events;
  const size_t part = (m_entries.size() + kTicksPerScan - 1) / kTicksPerScan;
  for (size_t i = 0; i < part; ++i) {
    if (m_next_worker >= m_entries.size())
      m_next_worker = 0;
    Check(m_next_worker++, now, events);
  }
  return events;
}

LeaseMonitor::Entry& LeaseMonitor::Get(WorkerIndex worker) {
  while (worker >= m_entries.size()) {
    Entry& entry = m_entries.emplace_back();
    entry.last_contact_at = m_reset_at;
    entry.deadline = m_reset_at + kSafeLeaseDuration + kLeaderOverlap;
    entry.orphan_deadline = entry.deadline;
  }
  return m_entries[worker];
}

void LeaseMonitor::Check(WorkerIndex worker,
                         Millis now,
                         std::vector<LeaseEvent>& events) {
  Entry& entry = m_entries[worker];
  if (entry.has_orphans && now >= entry.orphan_deadline) {
    entry.has_orphans = false;
    events.push_back({LeaseEvent::Kind::kOrphansExpired, worker});
  }
  if (now >= entry.deadline) {
    entry.is_expiring = true;
    events.push_back({LeaseEvent::Kind::kExpired, worker});
  }
  const bool is_reachable = !entry.has_unconfirmed_reply ||
                            now < entry.unconfirmed_since + kUnresponsiveAfter;
  const bool is_available = is_reachable &&
                            now < entry.last_contact_at + kUnresponsiveAfter &&
                            now >= entry.placements_paused_until;
  if (is_available != entry.is_available) {
    entry.is_available = is_available;
    events.push_back({is_available ? LeaseEvent::Kind::kPlacementsResumed
                                   : LeaseEvent::Kind::kPlacementsStopped,
                      worker});
  }
  if (now >= entry.last_contact_at + kRemovableAfter)
    events.push_back({LeaseEvent::Kind::kRemovable, worker});
}

}  // namespace fulmarrock
