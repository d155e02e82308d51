#include "source/entry/target_table.h"

#include <algorithm>

namespace fulmarrock {
namespace {

// Announcements are delayed by far less than the time of this many restarts.
constexpr size_t kMaxFormerIncarnations = 8;

// Changes of the own requests in progress that are kept per target. Reports
// arrive more often than that.
constexpr size_t kMaxHistory = 256;

}  // namespace

int32_t Target::OthersInFlight() const {
  return std::max(0, load.running + load.queued - own_at_load);
}

bool TargetTable::OnAnnounce(const NodeId& from,
                             const TargetAnnounce& announce,
                             Millis now) {
  auto it = m_targets.find(from);
  if (it == m_targets.end()) {
    if (m_targets.size() >= m_options.max_targets)
      ForgetSilent(now);
    if (m_targets.size() >= m_options.max_targets)
      return false;
    it = m_targets.emplace(from, Target{}).first;
    it->second.node = from;
  }
  Target& target = it->second;
  const auto& former = target.former_incarnations;
  if (std::find(former.begin(), former.end(), announce.incarnation) !=
      former.end())
    return false;
  const bool is_new = target.incarnation != announce.incarnation;
  if (is_new) {
    if (target.incarnation != 0)
      target.former_incarnations.push_back(target.incarnation);
    if (former.size() > kMaxFormerIncarnations)
      target.former_incarnations.pop_front();
    target.incarnation = announce.incarnation;
    target.own_in_flight = 0;
    target.own_history.clear();
    target.load_time = Millis(0);
  }
  target.service = announce.service;
  target.data_centre = announce.data_centre;
  target.is_leaving = announce.is_leaving;
  target.affinities = announce.affinities;
  OnLoad(from, announce.incarnation, announce.load, now);
  return is_new;
}

void TargetTable::OnLoad(const NodeId& from,
                         Incarnation incarnation,
                         const TargetLoad& load,
                         Millis now) {
  const auto it = m_targets.find(from);
  if (it == m_targets.end() || it->second.incarnation != incarnation)
    return;
  Target& target = it->second;
  target.last_heard = now;
  // A report that was measured before the one held adds nothing.
  if (now - load.age < target.load_time)
    return;
  target.load = load;
  target.load_time = now - load.age;
  // Of the own requests, the report contains those that were there when it was
  // measured; the rest were counted here since.
  auto& history = target.own_history;
  while (history.size() > 1 && history[1].first <= target.load_time)
    history.pop_front();
  const bool is_covered =
      !history.empty() && history.front().first <= target.load_time;
  target.own_at_load =
      is_covered ? history.front().second : target.own_in_flight;
}

void TargetTable::AddInFlight(const NodeId& node,
                              Incarnation incarnation,
                              Millis now) {
  const auto it = m_targets.find(node);
  if (it != m_targets.end() && it->second.incarnation == incarnation)
    ChangeInFlight(it->second, 1, now);
}

void TargetTable::RemoveInFlight(const NodeId& node,
                                 Incarnation incarnation,
                                 Millis now) {
  const auto it = m_targets.find(node);
  if (it != m_targets.end() && it->second.incarnation == incarnation &&
      it->second.own_in_flight > 0)
    ChangeInFlight(it->second, -1, now);
}

void TargetTable::ChangeInFlight(Target& target, int32_t change, Millis now) {
  target.own_in_flight += change;
  target.own_history.emplace_back(now, target.own_in_flight);
  if (target.own_history.size() > kMaxHistory)
    target.own_history.pop_front();
}

std::vector<const Target*> TargetTable::FindUsable(std::string_view service,
                                                   Millis now) const {
  std::vector<const Target*> usable;
  for (const auto& [node, target] : m_targets) {
    if (target.service == service && IsUsable(target, now))
      usable.push_back(&target);
  }
  return usable;
}

const Target* TargetTable::FindOwner(std::string_view service,
                                     std::string_view affinity,
                                     Millis now) const {
  const Target* owner = nullptr;
  for (const Target* target : FindUsable(service, now)) {
    const auto& names = target->affinities;
    if (std::find(names.begin(), names.end(), affinity) == names.end())
      continue;
    if (owner)
      return nullptr;
    owner = target;
  }
  return owner;
}

const Target* TargetTable::Find(const NodeId& node) const {
  const auto it = m_targets.find(node);
  return it == m_targets.end() ? nullptr : &it->second;
}

void TargetTable::ForgetSilent(Millis now) {
  std::erase_if(m_targets, [&](const auto& item) {
    return item.second.last_heard + m_options.retention < now;
  });
}

bool TargetTable::IsUsable(const Target& target, Millis now) const {
  return !target.is_leaving &&
         now - target.last_heard < m_options.silence_timeout;
}

}  // namespace fulmarrock
