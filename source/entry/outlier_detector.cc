#include "source/entry/outlier_detector.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "source/base/median.h"

namespace fulmarrock {
namespace {

// Weight of a new result in the smoothed share of failures.
constexpr double kFailureGain = 0.1;

// Delay of the next probe after a successful one, and the shortest interval
// between probes.
constexpr Millis kProbeInterval{200};

}  // namespace

void OutlierDetector::OnSuccess(const NodeId& node, Millis now) {
  Record& record = m_records[node];
  AddResult(record, false);
  if (!record.is_quarantined || record.is_slow)
    return;
  record.next_probe = now + kProbeInterval;
  if (++record.successful_probes < m_options.probes_to_release)
    return;
  record.is_quarantined = false;
  record.quarantine = Millis(0);
  record.results = 0;
  record.failure_share = 0;
}

void OutlierDetector::OnFailure(const NodeId& node, Millis now) {
  Record& record = m_records[node];
  AddResult(record, true);
  if (record.consecutive_failures >= m_options.max_consecutive_failures ||
      (record.results >= m_options.min_results &&
       record.failure_share > m_options.max_failure_share) ||
      record.is_quarantined)
    Quarantine(record, now);
}

void OutlierDetector::OnUnresponsive(const NodeId& node, Millis now) {
  Record& record = m_records[node];
  AddResult(record, true);
  Quarantine(record, now);
}

void OutlierDetector::DetectSlowTargets(
    const std::vector<const Target*>& targets,
    Millis now) {
  std::vector<Millis> times;
  for (const Target* target : targets) {
    if (target->load.service_time > Millis(0))
      times.push_back(target->load.service_time);
  }
  // With fewer than three targets, the median does not show which is slow.
  if (times.size() < 3)
    return;
  const Millis median = Median(std::move(times));
  const double limit =
      m_options.slow_factor * static_cast<double>(median.count());
  for (const Target* target : targets) {
    Record& record = m_records[target->node];
    const bool is_slow =
        static_cast<double>(target->load.service_time.count()) > limit;
    if (is_slow && !record.is_quarantined)
      Quarantine(record, now);
    record.is_slow = is_slow;
  }
}

std::vector<const Target*> OutlierDetector::Filter(
    const std::vector<const Target*>& targets,
    Millis now) const {
  std::vector<const Target*> healthy;
  std::vector<const Target*> quarantined;
  for (const Target* target : targets) {
    const bool is_excluded = IsQuarantined(target->node);
    (is_excluded ? quarantined : healthy).push_back(target);
  }
  const auto needed =
      targets.size() - static_cast<size_t>(m_options.max_share *
                                           static_cast<double>(targets.size()));
  // When too many are quarantined, those closest to their next probe stay in
  // use.
  std::sort(quarantined.begin(), quarantined.end(),
            [&](const Target* a, const Target* b) {
              return m_records.at(a->node).next_probe - now <
                     m_records.at(b->node).next_probe - now;
            });
  for (const Target* target : quarantined) {
    if (healthy.size() >= needed)
      break;
    healthy.push_back(target);
  }
  return healthy;
}

const Target* OutlierDetector::TakeProbe(
    const std::vector<const Target*>& targets,
    Millis now) {
  for (const Target* target : targets) {
    const auto it = m_records.find(target->node);
    if (it == m_records.end() || !it->second.is_quarantined ||
        it->second.next_probe > now)
      continue;
    Record& record = it->second;
    record.next_probe = now + std::max(record.quarantine, kProbeInterval);
    return target;
  }
  return nullptr;
}

bool OutlierDetector::IsQuarantined(const NodeId& node) const {
  const auto it = m_records.find(node);
  return it != m_records.end() && it->second.is_quarantined;
}

void OutlierDetector::RemoveMissing(const TargetTable& table) {
  std::erase_if(m_records, [&](const auto& item) {
    return table.Find(item.first) == nullptr;
  });
}

size_t OutlierDetector::CountQuarantined() const {
  return static_cast<size_t>(std::count_if(
      m_records.begin(), m_records.end(),
      [](const auto& item) { return item.second.is_quarantined; }));
}

void OutlierDetector::AddResult(Record& record, bool is_failure) {
  record.results = std::min(record.results + 1, 1'000'000);
  record.failure_share +=
      kFailureGain * ((is_failure ? 1.0 : 0.0) - record.failure_share);
  record.consecutive_failures =
      is_failure ? record.consecutive_failures + 1 : 0;
}

void OutlierDetector::Quarantine(Record& record, Millis now) {
  // A failure in the first half of a quarantine most likely belongs to a
  // request that was sent before, so it does not prolong the quarantine.
  if (record.is_quarantined && now + record.quarantine / 2 < record.next_probe)
    return;
  record.quarantine = record.is_quarantined ? std::min(m_options.max_quarantine,
                                                       record.quarantine * 2)
                                            : m_options.first_quarantine;
  record.is_quarantined = true;
  record.successful_probes = 0;
  record.next_probe = now + record.quarantine;
}

}  // namespace fulmarrock
