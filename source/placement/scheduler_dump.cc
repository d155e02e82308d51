#include "source/placement/scheduler_dump.h"

#include <nlohmann/json.hpp>

#include "source/base/json_text.h"

namespace fulmarrock {
namespace {

nlohmann::json ToJson(const Resources& resources) {
  return {{"cpu_millicores", resources.cpu_millicores},
          {"memory_mib", resources.memory_mib},
          {"accelerators", resources.accelerators}};
}

}  // namespace

std::string DumpScheduler(const PendingQueue& queue,
                          const Cluster& cluster,
                          const ReservationTable& reservations) {
  nlohmann::json dump;
  dump["pending"] = {
      {"urgent", queue.CountOfClass(TaskClass::kUrgent)},
      {"interactive", queue.CountOfClass(TaskClass::kInteractive)},
      {"batch", queue.CountOfClass(TaskClass::kBatch)}};
  dump["blocked_sizes"] = queue.blocked_size_count();
  dump["running"] = cluster.task_count();
  dump["workers"] = cluster.known_worker_count();
  dump["total_capacity"] = ToJson(cluster.total_capacity());
  dump["customers"] = nlohmann::json::array();
  for (CustomerIndex i = 0; i < queue.customer_count(); ++i) {
    const CustomerState& customer = queue.customer(i);
    dump["customers"].push_back({{"name", customer.name},
                                 {"weight", customer.weight},
                                 {"quota", ToJson(customer.quota)},
                                 {"running", ToJson(customer.requested)},
                                 {"is_over_quota", customer.is_over_quota}});
  }
  dump["reservations"] = nlohmann::json::array();
  for (const Reservation& reservation : reservations.All()) {
    const std::string node =
        reservation.worker ? cluster.worker(*reservation.worker).info.node : "";
    dump["reservations"].push_back({{"task", ToString(reservation.task)},
                                    {"worker", node},
                                    {"need", ToJson(reservation.need)}});
  }
  dump["quarantined_workers"] = nlohmann::json::array();
  for (WorkerIndex i = 0; i < cluster.worker_slots(); ++i) {
    const Worker& worker = cluster.worker(i);
    if (worker.is_quarantined)
      dump["quarantined_workers"].push_back(worker.info.node);
  }
  return ToJsonText(dump);
}

}  // namespace fulmarrock
