#include "source/placement/usage_recorder.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace fulmarrock {
namespace {

// The allocation of a running task decreases only when the measured usage is
// below it by more than this fraction (1/16). It increases at once.
constexpr int64_t kDecreaseThresholdDivisor = 16;

// Fraction (1/8) of the difference by which each report moves an allocation
// towards a lower measurement.
constexpr int64_t kDecreaseStepDivisor = 8;

int64_t AdjustAllocation(int64_t allocated,
                         int64_t requested,
                         int64_t measured) {
  measured = std::clamp<int64_t>(measured, 0, Resources::kMaxAmount);
  const int64_t wanted = std::max(requested, measured);
  if (wanted >= allocated)
    return wanted;
  if (wanted < allocated - allocated / kDecreaseThresholdDivisor)
    return allocated - (allocated - wanted) / kDecreaseStepDivisor;
  return allocated;
}

}  // namespace

void UsageRecorder::Record(WorkerIndex worker,
                           const UsageReport& report,
                           Millis now) {
  for (const TaskUsage& usage : report.tasks)
    RecordTaskUsage(worker, usage);
  RecordServiceLatencies(worker, report, now);
}

std::set<WorkloadKey> UsageRecorder::TakeChangedWorkloads() {
  return std::exchange(m_changed_workloads, {});
}

void UsageRecorder::RecordTaskUsage(WorkerIndex worker,
                                    const TaskUsage& usage) {
  RunningTask* running = m_cluster.FindTask(usage.task);
  if (!running || running->worker != worker)
    return;
  if (m_policies.estimator->RecordUsage(running->workload, usage.cpu_millicores,
                                        usage.memory_mib))
    m_changed_workloads.insert(running->workload);
  const Resources& requested = running->spec->resources;
  Resources allocated = running->allocated;
  allocated.cpu_millicores = AdjustAllocation(
      allocated.cpu_millicores, requested.cpu_millicores, usage.cpu_millicores);
  allocated.memory_mib = AdjustAllocation(
      allocated.memory_mib, requested.memory_mib, usage.memory_mib);
  if (allocated == running->allocated)
    return;
  CustomerState& customer = m_queue.customer(running->customer);
  customer.running[static_cast<size_t>(running->task_class)] +=
      allocated - running->allocated;
  m_cluster.UpdateAllocation(*running, allocated);
}

void UsageRecorder::RecordServiceLatencies(WorkerIndex worker,
                                           const UsageReport& report,
                                           Millis now) {
  double worst = -1;
  for (const ServiceLatency& latency : report.services) {
    if (latency.objective <= Millis(0) || latency.p99 < Millis(0))
      continue;
    const double ratio = static_cast<double>(latency.p99.count()) /
                         static_cast<double>(latency.objective.count());
    worst = std::max(worst, ratio);
    std::vector<WorkloadKey> colocated;
    for (const std::string& name : latency.colocated_workloads)
      colocated.push_back(MakeWorkloadKey(name));
    std::sort(colocated.begin(), colocated.end());
    colocated.erase(std::unique(colocated.begin(), colocated.end()),
                    colocated.end());
    // The service may be a target that is not a scheduled task; its colocated
    // tasks interfere with it all the same.
    const WorkloadKey service = MakeWorkloadKey(latency.service);
    m_cluster.AddReportedService(worker, service);
    m_policies.interference->Record(service, colocated, ratio,
                                    now - report.age);
  }
  if (worst >= 0)
    m_overloads.Record(worker, worst, now);
}

}  // namespace fulmarrock
