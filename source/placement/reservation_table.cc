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
  m_claims.emplace(entry.task.task,
                   Reservation{entry.task.task, worker, entry.customer,
                               entry.task_class, entry.need, declared, now});
  const auto index = static_cast<size_t>(entry.task_class);
  m_queue.customer(entry.customer).claimed[index] += declared;
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
  m_queue.customer(claim.customer).claimed[index] -= claim.declared;
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
  for (size_t i = 0; i <= static_cast<size_t>(entry.task_class); ++i)
    wanted += customer.claimed[i];
  const Reservation* own = Find(entry.task.task);
  if (own)
    wanted -= own->declared;
  return wanted.FitsIn(customer.quota);
}

void ReservationTable::RemoveOnWorker(WorkerIndex worker) {
  for (const Reservation& claim : All()) {
    if (claim.worker == worker)
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
  std::vector<Reservation> ready;
  for (const auto& [task, claim] : m_claims) {
    if (claim.worker &&
        claim.need.FitsIn(m_cluster.worker(*claim.worker).Free()))
      ready.push_back(claim);
  }
  std::stable_sort(ready.begin(), ready.end(),
                   [](const Reservation& left, const Reservation& right) {
                     return std::tie(left.task_class, left.made) <
                            std::tie(right.task_class, right.made);
                   });
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
