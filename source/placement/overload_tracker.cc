#include "source/placement/overload_tracker.h"

namespace fulmarrock {
namespace {

// The agent's throttle needs a few windows of ten seconds to settle, and a p99
// varies by chance; only a violation that outlasts both is a reason to evict.
constexpr Millis kPersistence = Millis::FromSeconds(30);
constexpr size_t kMinReports = 5;

// A record without a report for this long says nothing about the present.
constexpr Millis kReportTimeout = Millis::FromSeconds(60);

// Ratio above which a service counts as overloaded, and the lower one at which
// it counts as recovered.
constexpr double kOverloadRatio = 1.2;
constexpr double kRecoveredRatio = 0.9;

// One task at a time, so that the effect of each eviction is measured first.
constexpr Millis kEvictionInterval = Millis::FromSeconds(30);

// Bounds of the time for which the evicted capacity is held back.
constexpr Millis kMinHold = Millis::FromSeconds(60);
constexpr Millis kMaxHold = Millis::FromSeconds(300);

}  // namespace

void OverloadTracker::Record(WorkerIndex worker,
                             double latency_ratio,
                             Millis now) {
  auto it = m_workers.find(worker);
  if (latency_ratio >= kOverloadRatio) {
    if (it == m_workers.end())
      it = m_workers.emplace(worker, WorkerRecord()).first;
    WorkerRecord& record = it->second;
    if (!record.is_above || now - record.last_report > kReportTimeout) {
      record.is_above = true;
      record.above_since = now;
      record.reports_above = 0;
    }
    ++record.reports_above;
    record.last_report = now;
    return;
  }
  if (it == m_workers.end() || latency_ratio > kRecoveredRatio)
    return;
  it->second.is_above = false;
  if (!it->second.has_evicted)
    m_workers.erase(it);
}

std::vector<WorkerIndex> OverloadTracker::Due(Millis now) const {
  std::vector<WorkerIndex> due;
  for (const auto& [worker, record] : m_workers) {
    if (record.is_above && record.reports_above >= kMinReports &&
        now - record.above_since >= kPersistence &&
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
  record.held += size;
  record.has_evicted = true;
  record.last_eviction = now;
}

std::vector<OverloadTracker::Hold> OverloadTracker::Release(Millis now) {
  std::vector<Hold> holds;
  for (auto it = m_workers.begin(); it != m_workers.end();) {
    WorkerRecord& record = it->second;
    const Millis held_for = now - record.last_eviction;
    const bool is_over =
        record.has_evicted &&
        (held_for >= kMaxHold || (!record.is_above && held_for >= kMinHold));
    if (is_over) {
      holds.push_back({it->first, record.held});
      record.held = Resources();
      record.has_evicted = false;
    }
    const bool is_silent = now - record.last_report > kReportTimeout;
    if (!record.has_evicted && (!record.is_above || is_silent))
      it = m_workers.erase(it);
    else
      ++it;
  }
  return holds;
}

Resources OverloadTracker::ForgetWorker(WorkerIndex worker) {
  const auto it = m_workers.find(worker);
  if (it == m_workers.end())
    return {};
  const Resources held = it->second.held;
  m_workers.erase(it);
  return held;
}

}  // namespace fulmarrock
