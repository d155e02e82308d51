#include <algorithm>
#include <utility>

#include "source/placement/fair_scheduler.h"

// What the scheduler learns from late measurements.

namespace fulmarrock {
namespace {

// A running task is charged less when its measured use is below the charged
// size by more than this part. A higher measurement is charged at once.
constexpr int64_t kRechargeDivisor = 16;

// Part of the distance by which a charged size approaches a lower measurement.
constexpr int64_t kChargeDecayDivisor = 8;

int64_t FollowUsage(int64_t charged, int64_t declared, int64_t measured) {
  measured = std::clamp<int64_t>(measured, 0, Resources::kMaxAmount);
  const int64_t wanted = std::max(declared, measured);
  if (wanted >= charged)
    return wanted;
  if (wanted < charged - charged / kRechargeDivisor)
    return charged - (charged - wanted) / kChargeDecayDivisor;
  return charged;
}

}  // namespace

void FairScheduler::OnUsage(const NodeId& worker,
                            const UsageReport& report,
                            Millis now) {
  m_state->now = now;
  const std::optional<WorkerIndex> index = m_state->cluster.Find(worker);
  if (!index)
    return;
  for (const TaskUsage& usage : report.tasks)
    RecordTaskUsage(*index, usage);
  RecordServices(*index, report, now);
}

void FairScheduler::RecordTaskUsage(WorkerIndex worker,
                                    const TaskUsage& usage) {
  RunningTask* running = m_state->cluster.FindTask(usage.task);
  if (!running || running->worker != worker)
    return;
  if (m_state->policies.estimator->RecordUsage(
          running->workload, usage.cpu_millicores, usage.memory_mib))
    m_state->changed_workloads.insert(running->workload);
  const Resources& declared = running->spec->resources;
  Resources charged = running->charged;
  charged.cpu_millicores = FollowUsage(
      charged.cpu_millicores, declared.cpu_millicores, usage.cpu_millicores);
  charged.memory_mib =
      FollowUsage(charged.memory_mib, declared.memory_mib, usage.memory_mib);
  if (charged == running->charged)
    return;
  CustomerState& customer = m_state->queue.customer(running->customer);
  customer.running[static_cast<size_t>(running->task_class)] +=
      charged - running->charged;
  m_state->cluster.Recharge(*running, charged);
}

void FairScheduler::RecordServices(WorkerIndex worker,
                                   const UsageReport& report,
                                   Millis now) {
  double worst = -1;
  for (const ServiceLatency& latency : report.services) {
    if (latency.objective <= Millis(0) || latency.p99 < Millis(0))
      continue;
    const double ratio = static_cast<double>(latency.p99.count()) /
                         static_cast<double>(latency.objective.count());
    worst = std::max(worst, ratio);
    std::vector<WorkloadKey> neighbours;
    for (const std::string& name : latency.colocated_workloads)
      neighbours.push_back(MakeWorkloadKey(name));
    std::sort(neighbours.begin(), neighbours.end());
    neighbours.erase(std::unique(neighbours.begin(), neighbours.end()),
                     neighbours.end());
    // A target need not be a task of ours to suffer from its neighbours.
    const WorkloadKey service = MakeWorkloadKey(latency.service);
    m_state->cluster.AddReportedService(worker, service);
    m_state->policies.interference->Record(service, neighbours, ratio,
                                           now - report.age);
  }
  if (worst >= 0)
    m_state->overloads.Record(worker, worst, now);
}

}  // namespace fulmarrock
