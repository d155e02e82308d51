#include "source/placement/reservation_table.h"

#include <algorithm>
#include <tuple>

namespace fulmarrock {
namespace {

// Reservations of urgent tasks expire after this time. It allows for saving a
// checkpoint, two network delays and a commit.
constexpr Millis kUrgentTimeout = Millis::FromSeconds(4);

}  // namespace

void ReservationTable::Add(const PendingEntry& entry,
                           std::optional<WorkerIndex> worker,
                           Millis now) {
  Remove(entry.task.task);
  const Resources& requested = entry.task.spec->resources;
  m_reservations.emplace(
      entry.task.task,
      Reservation{entry.task.task, worker, entry.customer, entry.task_class,
                  entry.need, requested, entry.task.pending_since, now});
  const auto index = static_cast<size_t>(entry.task_class);
  m_by_customer[entry.customer].push_back(entry.task.task);
  if (!worker) {
    m_quota_reservations.emplace(entry.customer, entry.task_class);
    return;
  }
  ++m_counts[index];
  m_cluster.AddReservation(*worker, entry.need);
}

void ReservationTable::Remove(TaskId task) {
  const auto it = m_reservations.find(task);
  if (it == m_reservations.end())
    return;
  const Reservation reservation = it->second;
  m_reservations.erase(it);
  const auto index = static_cast<size_t>(reservation.task_class);
  const auto siblings = m_by_customer.find(reservation.customer);
  std::erase(siblings->second, task);
  if (siblings->second.empty())
    m_by_customer.erase(siblings);
  m_queue.UnblockCustomer(reservation.customer);
  if (!reservation.worker) {
    m_quota_reservations.erase({reservation.customer, reservation.task_class});
    return;
  }
  --m_counts[index];
  m_cluster.RemoveReservation(*reservation.worker, reservation.need);
}

const Reservation* ReservationTable::Find(TaskId task) const {
  const auto it = m_reservations.find(task);
  return it == m_reservations.end() ? nullptr : &it->second;
}

bool ReservationTable::HasWorker(TaskId task) const {
  const Reservation* reservation = Find(task);
  return reservation && reservation->worker;
}

bool ReservationTable::FitsQuota(const PendingEntry& entry) const {
  const CustomerState& customer = m_queue.customer(entry.customer);
  Resources wanted = customer.requested + entry.task.spec->resources;
  const auto siblings = m_by_customer.find(entry.customer);
  // A task with a reservation of its own disregards the others: two of them
  // that waited for each other's quota would wait for ever.
  if (siblings == m_by_customer.end() || Find(entry.task.task))
    return wanted.FitsIn(customer.quota);
  for (const TaskId task : siblings->second) {
    const Reservation& reservation = *Find(task);
    if (reservation.task_class <= entry.task_class &&
        reservation.pending_since <= entry.task.pending_since)
      wanted += reservation.requested;
  }
  return wanted.FitsIn(customer.quota);
}

void ReservationTable::RemoveOnWorker(WorkerIndex worker) {
  for (const Reservation& reservation : All()) {
    if (reservation.worker == worker)
      Remove(reservation.task);
  }
}

void ReservationTable::RemoveNonUrgent() {
  for (const Reservation& reservation : All()) {
    if (reservation.worker && reservation.task_class != TaskClass::kUrgent)
      Remove(reservation.task);
  }
}

void ReservationTable::RemoveStale(Millis now) {
  for (const Reservation& reservation : All()) {
    if (!reservation.worker)
      continue;
    const bool has_timed_out = reservation.task_class == TaskClass::kUrgent &&
                               now - reservation.created_at > kUrgentTimeout;
    if (has_timed_out || IsUnsatisfiable(reservation))
      Remove(reservation.task);
  }
}

std::vector<Reservation> ReservationTable::ReadyReservations() const {
  std::vector<Reservation> reservations = All();
  std::stable_sort(reservations.begin(), reservations.end(),
                   [](const Reservation& left, const Reservation& right) {
                     return std::tie(left.task_class, left.created_at) <
                            std::tie(right.task_class, right.created_at);
                   });
  // A later reservation must not take capacity for which an earlier one on the
  // same worker still waits.
  std::unordered_map<WorkerIndex, Resources> earlier;
  std::erase_if(reservations, [&](const Reservation& reservation) {
    if (!reservation.worker)
      return true;
    const Worker& worker = m_cluster.worker(*reservation.worker);
    Resources& before = earlier[*reservation.worker];
    const bool is_ready = reservation.need.FitsIn(worker.FreeCapacity()) &&
                          (before + reservation.need)
                              .FitsIn(worker.FreeCapacity() + worker.evicting);
    before += reservation.need;
    return !is_ready;
  });
  return reservations;
}

std::vector<TaskId> ReservationTable::ReadyQuotaReservations(
    TaskClass last_class) const {
  std::vector<TaskId> ready;
  for (const auto& [customer, task_class] : m_quota_reservations) {
    if (task_class > last_class)
      continue;
    for (const TaskId task : m_by_customer.find(customer)->second) {
      const Reservation& reservation = *Find(task);
      if (!reservation.worker && reservation.task_class == task_class &&
          FitsQuota(*m_queue.Find(task)))
        ready.push_back(task);
    }
  }
  return ready;
}

std::vector<Reservation> ReservationTable::All() const {
  std::vector<Reservation> reservations;
  reservations.reserve(m_reservations.size());
  for (const auto& [task, reservation] : m_reservations)
    reservations.push_back(reservation);
  return reservations;
}

bool ReservationTable::IsUnsatisfiable(const Reservation& reservation) const {
  const Worker& worker = m_cluster.worker(*reservation.worker);
  if (!worker.IsSchedulable())
    return true;
  return !worker.reserved.FitsIn(worker.FreeCapacity() + worker.evictable +
                                 worker.evicting);
}

}  // namespace fulmarrock
