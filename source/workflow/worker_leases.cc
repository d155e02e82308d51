#include "source/workflow/worker_leases.h"

namespace fulmarrock {
namespace {

/// The lease duration divided by this is the allowance for clock drift and for
/// late timers.
constexpr int64_t kDriftDivisor = 20;

/// A worker without a report for this time gets no new runs.
constexpr Millis kUnresponsiveAfter{1'600};

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
  lease.last_report_at = now;
  lease.has_report = true;
  lease.is_expired = false;
  return true;
}

std::vector<WorkerNumber> WorkerLeases::TakeExpired(Millis now) {
  std::vector<WorkerNumber> expired;
  for (auto& [worker, lease] : m_leases) {
    if (lease.is_expired || now < ExpiryOf(lease))
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

bool WorkerLeases::HasRecentReport(WorkerNumber worker, Millis now) const {
  const auto it = m_leases.find(worker);
  return it != m_leases.end() && it->second.has_report &&
         !it->second.is_releasing &&
         now - it->second.last_report_at < kUnresponsiveAfter;
}

Millis WorkerLeases::ExpiryOf(const Lease& lease) const {
  const Millis begin = lease.has_report ? lease.last_report_at : m_started_at;
  return begin + m_duration + m_duration / kDriftDivisor;
}

}  // namespace fulmarrock
