#ifndef TESTS_PLACEMENT_SCHEDULER_ORACLE_H_
#define TESTS_PLACEMENT_SCHEDULER_ORACLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "source/placement/scheduler.h"
#include "tests/support/manual_clock.h"

namespace fulmarrock::test {

/// One step of a random test sequence; out-of-range arguments are reduced
/// modulo the number of valid values.
struct OracleStep {
  uint8_t action = 0;
  uint8_t first = 0;
  uint8_t second = 0;
};

std::ostream& operator<<(std::ostream& stream, const OracleStep& step);

/// Drives a scheduler and a simple model of the cluster with arbitrary steps
/// and records every violation of a rule as "RULE: detail". The model is
/// independent of the scheduler's indexes, estimates and policies.
class SchedulerOracle {
 public:
  explicit SchedulerOracle(Scheduler& scheduler);

  void Run(const std::vector<OracleStep>& steps);

  /// Completes running tasks one by one until none are pending. Records a
  /// violation of the rule "liveness" for tasks that never start.
  void Drain();

  const std::vector<std::string>& violations() const { return m_violations; }
  bool HasViolation(const std::string& rule) const;

 private:
  struct ModelWorker {
    WorkerInfo info;
  };
  struct ModelTask {
    const JobSpec* spec = nullptr;
    NodeId worker;
    Millis pending_since;
    Resources measured;
  };

  void AddWorker(uint8_t number, uint8_t size);
  void RemoveWorker(uint8_t number);
  void ToggleWorker(uint8_t number);
  void SetQuota(uint8_t customer, uint8_t size);
  void Submit(uint8_t kind, uint8_t size);
  void Cancel(uint8_t chosen);
  void End(uint8_t chosen, AttemptResult result);
  void Measure(uint8_t chosen, uint8_t percent);
  void Schedule(size_t limit);
  void Evict();
  void TakeUnplaceable();

  void OnPlacement(const Placement& placement);
  void CheckUrgentFirst(const std::vector<Placement>& placements);
  void CheckCounts();
  bool CanEverRun(const ModelTask& task) const;
  bool IsUrgent(const JobSpec& spec) const;
  bool FitsQuota(const JobSpec& spec) const;
  /// Whether the task exceeds the customer's quota because of older pending
  /// urgent tasks, for which the quota may be reserved.
  bool IsQuotaReservedByOlder(const ModelTask& later) const;
  /// Capacity less the larger of requested and measured size of each task.
  Resources FreeCapacityOf(const NodeId& worker) const;
  /// Capacity less the largest possible allocations of the running tasks.
  Resources MinFreeCapacityOf(const NodeId& worker) const;
  Resources MaxAllocationOf(const JobSpec& spec) const;
  void AddViolation(const std::string& rule, const std::string& detail);

  Scheduler& m_scheduler;
  ManualClock m_clock;
  Configuration m_configuration;
  std::deque<JobSpec> m_specs;
  std::map<NodeId, ModelWorker> m_workers;
  std::map<TaskId, ModelTask> m_pending;
  std::map<TaskId, ModelTask> m_running;
  std::map<std::string, Resources> m_largest_measured;
  std::vector<std::string> m_violations;
  JobId m_next_job = 0;
};

}  // namespace fulmarrock::test

#endif  // TESTS_PLACEMENT_SCHEDULER_ORACLE_H_
