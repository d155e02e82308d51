#include "source/workflow/worker_leases.h"

namespace fulmarrock {
namespace {

/// Clocks may differ by this part of a term, and timers fire late.
constexpr int64_t kDriftDivisor = 20;

/// Silence after which a worker gets no new work.
constexpr Millis kSilence{1'600};

}  // namespace

void WorkerLeases::Reset(Millis now) {
  m_leases.clear();
  m_started_at = now;
}

void WorkerLeases::Add(WorkerNumber worker) {
  m_leases.try_emplace(worker);
}

void WorkerLeases::Remove(WorkerNumber worker) {
  m_leases.erase(worker);
}

bool WorkerLeases::OnReport(WorkerNumber worker, Millis now) {
  Lease& lease = m_leases[worker];
  if (lease.is_releasing)
    return false;
  lease.heard_at = now;
  lease.is_heard = true;
  lease.is_expired = false;
  return true;
}

std::vector<WorkerNumber> WorkerLeases::TakeExpired(Millis now) {
  std::vector<WorkerNumber> expired;
  for (auto& [worker, lease] : m_leases) {
    if (lease.is_expired || now < EndOf(lease))
      continue;
    lease.is_expired = true;
    lease.is_releasing = true;
    expired.push_back(worker);
  }
  return expired;
}

void WorkerLeases::OnReleased(WorkerNumber worker) {
  const auto it = m_leases.find(worker);
  if (it != m_leases.end())
    it->second.is_releasing = false;
}

bool WorkerLeases::IsHeard(WorkerNumber worker, Millis now) const {
  const auto it = m_leases.find(worker);
  return it != m_leases.end() && it->second.is_heard &&
         !it->second.is_releasing && now - it->second.heard_at < kSilence;
}

Millis WorkerLeases::EndOf(const Lease& lease) const {
  const Millis begin = lease.is_heard ? lease.heard_at : m_started_at;
  return begin + m_term + m_term / kDriftDivisor;
}

}  // namespace fulmarrock
