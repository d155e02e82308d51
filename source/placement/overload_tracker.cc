#include "source/placement/overload_tracker.h"

namespace fulmarrock {
namespace {

// Minimum duration and number of reports of an overload before tasks are
// evicted: the agent's throttle needs a few windows of ten seconds to take
// effect, and a p99 varies by chance.
constexpr Millis kMinOverloadDuration = Millis::FromSeconds(30);
constexpr size_t kMinReports = 5;

// A record without a report for this long is stale.
constexpr Millis kReportTimeout = Millis::FromSeconds(60);

// Ratio of p99 to objective from which a service counts as overloaded, and the
// lower one at which it counts as recovered.
constexpr double kOverloadRatio = 1.2;
constexpr double kRecoveredRatio = 0.9;

// Minimum time between two evictions on a worker, so that the effect of each
// one is measured first.
constexpr Millis kEvictionInterval = Millis::FromSeconds(30);

// Bounds of the time for which the freed capacity stays reserved after an
// eviction.
constexpr Millis kMinReservationTime = Millis::FromSeconds(60);
constexpr Millis kMaxReservationTime = Millis::FromSeconds(300);

}  // namespace

void OverloadTracker::Record(WorkerIndex worker,
                             double latency_ratio,
                             Millis now) {
  auto it = m_workers.find(worker);
  if (latency_ratio >= kOverloadRatio) {
    if (it == m_workers.end())
      it = m_workers.emplace(worker, WorkerRecord()).first;
    WorkerRecord& record = it->second;
    if (!record.is_overloaded || now - record.last_report > kReportTimeout) {
      record.is_overloaded = true;
      record.overloaded_since = now;
      record.overloaded_reports = 0;
    }
    ++record.overloaded_reports;
    record.last_report = now;
    return;
  }
  if (it == m_workers.end() || latency_ratio > kRecoveredRatio)
    return;
  it->second.is_overloaded = false;
  if (!it->second.has_evicted)
    m_workers.erase(it);
}

std::vector<WorkerIndex> OverloadTracker::Due(Millis now) const {
  std::vector<WorkerIndex> due;
  for (const auto& [worker, record] : m_workers) {
    if (record.is_overloaded && record.overloaded_reports >= kMinReports &&
        now - record.overloaded_since >= kMinOverloadDuration &&
        now - record.last_report <= kReportTimeout &&
        (!record.has_evicted ||
         now - record.last_eviction >= kEvictionInterval))
      due.push_back(worker);
  }
  return due;
}

void OverloadTracker::OnEviction(WorkerIndex worker,
                                 const Resources& size,
                                 Millis now) {
  WorkerRecord& record = m_workers[worker];
  record.reserved += size;
  record.has_evicted = true;
  record.last_eviction = now;
}

std::vector<OverloadTracker::ReleasedCapacity> OverloadTracker::Release(
    Millis now) {
  std::vector<ReleasedCapacity> released_capacities;
  for (auto it = m_workers.begin(); it != m_workers.end();) {
    WorkerRecord& record = it->second;
    const Millis reserved_for = now - record.last_eviction;
    const bool has_expired =
        record.has_evicted &&
        (reserved_for >= kMaxReservationTime ||
         (!record.is_overloaded && reserved_for >= kMinReservationTime));
    if (has_expired) {
      released_capacities.push_back({it->first, record.reserved});
      record.reserved = Resources();
      record.has_evicted = false;
    }
    const bool is_stale = now - record.last_report > kReportTimeout;
    if (!record.has_evicted && (!record.is_overloaded || is_stale))
      it = m_workers.erase(it);
    else
      ++it;
  }
  return released_capacities;
}

Resources OverloadTracker::RemoveWorkerRecord(WorkerIndex worker) {
  const auto it = m_workers.find(worker);
  if (it == m_workers.end())
    return {};
  const Resources reserved = it->second.reserved;
  m_workers.erase(it);
  return reserved;
}

}  // namespace fulmarrock
