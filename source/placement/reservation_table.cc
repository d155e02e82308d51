#include "source/placement/reservation_table.h"

#include <algorithm>
#include <tuple>

namespace fulmarrock {
namespace {

// Time for a checkpoint to be saved, two network delays and a commit.
constexpr Millis kUrgentTimeout = Millis::FromSeconds(4);

}  // namespace

void ReservationTable::Add(const PendingEntry& entry,
                           std::optional<WorkerIndex> worker,
                           Millis now) {
  Remove(entry.task.task);
  const Resources& declared = entry.task.spec->resources;
  m_claims.emplace(
      entry.task.task,
      Reservation{entry.task.task, worker, entry.customer, entry.task_class,
                  entry.need, declared, entry.task.since, now});
  const auto index = static_cast<size_t>(entry.task_class);
  m_by_customer[entry.customer].push_back(entry.task.task);
  if (!worker) {
    m_quota_claims.emplace(entry.customer, entry.task_class);
    return;
  }
  ++m_counts[index];
  m_cluster.AddClaim(*worker, entry.need);
}

void ReservationTable::Remove(TaskId task) {
  const auto it = m_claims.find(task);
  if (it == m_claims.end())
    return;
  const Reservation claim = it->second;
  m_claims.erase(it);
  const auto index = static_cast<size_t>(claim.task_class);
  const auto siblings = m_by_customer.find(claim.customer);
  std::erase(siblings->second, task);
  if (siblings->second.empty())
    m_by_customer.erase(siblings);
  m_queue.UnblockCustomer(claim.customer);
  if (!claim.worker) {
    m_quota_claims.erase({claim.customer, claim.task_class});
    return;
  }
  --m_counts[index];
  m_cluster.RemoveClaim(*claim.worker, claim.need);
}

const Reservation* ReservationTable::Find(TaskId task) const {
  const auto it = m_claims.find(task);
  return it == m_claims.end() ? nullptr : &it->second;
}

bool ReservationTable::HasWorker(TaskId task) const {
  const Reservation* claim = Find(task);
  return claim && claim->worker;
}

bool ReservationTable::FitsQuota(const PendingEntry& entry) const {
  const CustomerState& customer = m_queue.customer(entry.customer);
  Resources wanted = customer.declared + entry.task.spec->resources;
  const auto siblings = m_by_customer.find(entry.customer);
  // Two claims that waited for each other's quota would wait for ever.
  if (siblings == m_by_customer.end() || Find(entry.task.task))
    return wanted.FitsIn(customer.quota);
  for (const TaskId task : siblings->second) {
    const Reservation& claim = *Find(task);
    if (claim.task_class <= entry.task_class && claim.since <= entry.task.since)
      wanted += claim.declared;
  }
  return wanted.FitsIn(customer.quota);
}

void ReservationTable::RemoveOnWorker(WorkerIndex worker) {
  for (const Reservation& claim : All()) {
    if (claim.worker == worker)
      Remove(claim.task);
  }
}

void ReservationTable::RemoveLessUrgent() {
  for (const Reservation& claim : All()) {
    if (claim.worker && claim.task_class != TaskClass::kUrgent)
      Remove(claim.task);
  }
}

void ReservationTable::RemoveStale(Millis now) {
  for (const Reservation& claim : All()) {
    if (!claim.worker)
      continue;
    const bool is_late = claim.task_class == TaskClass::kUrgent &&
                         now - claim.made > kUrgentTimeout;
    if (is_late || IsHopeless(claim))
      Remove(claim.task);
  }
}

std::vector<Reservation> ReservationTable::Ready() const {
  std::vector<Reservation> claims = All();
  std::stable_sort(claims.begin(), claims.end(),
                   [](const Reservation& left, const Reservation& right) {
                     return std::tie(left.task_class, left.made) <
                            std::tie(right.task_class, right.made);
                   });
  // A later claim must not take the first part of what an earlier one still
  // collects.
  std::unordered_map<WorkerIndex, Resources> earlier;
  std::erase_if(claims, [&](const Reservation& claim) {
    if (!claim.worker)
      return true;
    const Worker& worker = m_cluster.worker(*claim.worker);
    Resources& before = earlier[*claim.worker];
    const bool is_ready =
        claim.need.FitsIn(worker.Free()) &&
        (before + claim.need).FitsIn(worker.Free() + worker.evicting);
    before += claim.need;
    return !is_ready;
  });
  return claims;
}

std::vector<TaskId> ReservationTable::QuotaReady(TaskClass last_class) const {
  std::vector<TaskId> ready;
  for (const auto& [customer, task_class] : m_quota_claims) {
    if (task_class > last_class)
      continue;
    for (const TaskId task : m_by_customer.find(customer)->second) {
      const Reservation& claim = *Find(task);
      if (!claim.worker && claim.task_class == task_class &&
          FitsQuota(*m_queue.Find(task)))
        ready.push_back(task);
    }
  }
  return ready;
}

std::vector<Reservation> ReservationTable::All() const {
  std::vector<Reservation> claims;
  claims.reserve(m_claims.size());
  for (const auto& [task, claim] : m_claims)
    claims.push_back(claim);
  return claims;
}

bool ReservationTable::IsHopeless(const Reservation& claim) const {
  const Worker& worker = m_cluster.worker(*claim.worker);
  if (!worker.IsOpen())
    return true;
  return !worker.claimed.FitsIn(worker.Free() + worker.evictable +
                                worker.evicting);
}

}  // namespace fulmarrock
