#include "source/entry/target_table.h"

#include <algorithm>

namespace fulmarrock {
namespace {

// An announcement is never delayed for as long as this many restarts of an
// agent take.
constexpr size_t kMaxFormerIncarnations = 8;

// Number of changes of the own requests in progress that are kept per target.
// A load report arrives before that many changes.
constexpr size_t kMaxHistory = 256;

}  // namespace

int32_t Target::OthersInFlight() const {
  return std::max(0, load.running + load.queued - own_in_flight_at_load);
}

bool TargetTable::OnAnnounce(const NodeId& from,
                             const TargetAnnounce& announce,
                             Millis now) {
  auto it = m_targets.find(from);
  if (it == m_targets.end()) {
    if (m_targets.size() >= m_options.max_targets)
      RemoveStale(now);
    if (m_targets.size() >= m_options.max_targets)
      return false;
    it = m_targets.emplace(from, Target{}).first;
    it->second.node = from;
    ++m_membership_version;
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
    target.own_in_flight_history.clear();
    target.load_time = Millis(0);
  }
  if (target.service != announce.service)
    ++m_membership_version;
  target.service = announce.service;
  target.data_centre = announce.data_centre;
  target.is_draining = announce.is_draining;
  if (target.affinities != announce.affinities)
    SetAffinities(target, announce.affinities);
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
  target.last_contact = now;
  // The stored report was measured later than this one.
  if (now - load.age < target.load_time)
    return;
  target.load = load;
  target.load_time = now - load.age;
  // The report counts the own requests that were in progress when it was
  // measured; find that number in the history.
  auto& history = target.own_in_flight_history;
  while (history.size() > 1 && history[1].first <= target.load_time)
    history.pop_front();
  const bool is_covered =
      !history.empty() && history.front().first <= target.load_time;
  target.own_in_flight_at_load =
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
  target.own_in_flight_history.emplace_back(now, target.own_in_flight);
  if (target.own_in_flight_history.size() > kMaxHistory)
    target.own_in_flight_history.pop_front();
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
  const auto it = m_owners.find(affinity);
  if (it == m_owners.end())
    return nullptr;
  for (const NodeId& node : it->second) {
    const Target& target = m_targets.at(node);
    if (target.service != service || !IsUsable(target, now))
      continue;
    if (owner)
      return nullptr;
    owner = &target;
  }
  return owner;
}

const Target* TargetTable::Find(const NodeId& node) const {
  const auto it = m_targets.find(node);
  return it == m_targets.end() ? nullptr : &it->second;
}

void TargetTable::RemoveStale(Millis now) {
  for (auto it = m_targets.begin(); it != m_targets.end();) {
    if (it->second.last_contact + m_options.retention >= now) {
      ++it;
      continue;
    }
    SetAffinities(it->second, {});
    it = m_targets.erase(it);
    ++m_membership_version;
  }
}

void TargetTable::SetAffinities(Target& target,
                                const std::vector<std::string>& names) {
  for (const std::string& name : target.affinities) {
    const auto it = m_owners.find(name);
    if (it == m_owners.end())
      continue;
    it->second.erase(target.node);
    if (it->second.empty())
      m_owners.erase(it);
  }
  for (const std::string& name : names)
    m_owners[name].insert(target.node);
  target.affinities = names;
}

bool TargetTable::IsUsable(const Target& target, Millis now) const {
  return !target.is_draining &&
         now - target.last_contact < m_options.contact_timeout;
}

}  // namespace fulmarrock
