#include "source/control/lease_monitor.h"

#include <algorithm>

namespace fulmarrock {
namespace {

constexpr size_t kTicksPerScan = 100;

}  // namespace

void LeaseMonitor::Reset(WorkerIndex count, Millis now) {
  m_entries.clear();
  m_next = 0;
  m_reset_at = now;
  if (count > 0)
    Get(count - 1);
  // Leases of earlier incarnations are not told apart after a change of leader.
  for (Entry& entry : m_entries)
    entry.has_orphans = true;
}

void LeaseMonitor::OnAnnounced(WorkerIndex worker,
                               bool is_restart,
                               Millis now) {
  Entry& entry = Get(worker);
  entry.last_heard = now;
  if (!is_restart)
    return;
  entry.orphan_deadline = std::max(entry.orphan_deadline, entry.deadline);
  entry.has_orphans = true;
  entry.deadline = now + kSafeTerm;
  entry.has_renewal = false;
  entry.is_expiring = false;
  entry.is_answer_open = false;
}

bool LeaseMonitor::OnRenewal(WorkerIndex worker,
                             Millis sent_at,
                             Millis answered_at,
                             bool has_leases,
                             Millis now) {
  Entry& entry = Get(worker);
  if (entry.is_answer_open && answered_at >= entry.open_sent_at)
    entry.is_answer_open = false;
  if (entry.is_answer_open && has_leases &&
      now >= entry.open_since + kLeaseDuration)
    return false;
  if (!entry.is_answer_open) {
    entry.is_answer_open = true;
    entry.open_sent_at = sent_at;
    entry.open_since = now;
  }
  entry.last_heard = now;
  entry.deadline = std::max(entry.deadline, now + kSafeTerm);
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

bool LeaseMonitor::IsAlive(WorkerIndex worker) const {
  return worker < m_entries.size() && m_entries[worker].is_alive;
}

void LeaseMonitor::Pause(WorkerIndex worker, Millis until) {
  Entry& entry = Get(worker);
  entry.paused_until = until;
  entry.is_alive = false;
}

std::vector<LeaseEvent> LeaseMonitor::Scan(Millis now) {
  std::vector<LeaseEvent> events;
  const size_t part = (m_entries.size() + kTicksPerScan - 1) / kTicksPerScan;
  for (size_t i = 0; i < part; ++i) {
    if (m_next >= m_entries.size())
      m_next = 0;
    Check(m_next++, now, events);
  }
  return events;
}

LeaseMonitor::Entry& LeaseMonitor::Get(WorkerIndex worker) {
  while (worker >= m_entries.size()) {
    Entry& entry = m_entries.emplace_back();
    entry.last_heard = m_reset_at;
    entry.deadline = m_reset_at + kSafeTerm + kLeaderOverlap;
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
  const bool is_reachable =
      !entry.is_answer_open || now < entry.open_since + kSilence;
  const bool is_alive = is_reachable && now < entry.last_heard + kSilence &&
                        now >= entry.paused_until;
  if (is_alive != entry.is_alive) {
    entry.is_alive = is_alive;
    events.push_back(
        {is_alive ? LeaseEvent::Kind::kHeard : LeaseEvent::Kind::kSilent,
         worker});
  }
  if (now >= entry.last_heard + kGoneAfter)
    events.push_back({LeaseEvent::Kind::kGone, worker});
}

}  // namespace fulmarrock
