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

/// One step of a random run; the arguments are reduced to valid values.
struct OracleStep {
  uint8_t action = 0;
  uint8_t first = 0;
  uint8_t second = 0;
};

std::ostream& operator<<(std::ostream& stream, const OracleStep& step);

/// Drives a scheduler with arbitrary steps beside a simple model of the
/// cluster, and notes every broken rule as "RULE: detail". The model knows
/// nothing of the scheduler's indexes, estimates or policies.
class SchedulerOracle {
 public:
  explicit SchedulerOracle(Scheduler& scheduler);

  void Run(const std::vector<OracleStep>& steps);

  /// Ends every running task in turn until nothing waits; notes the rule
  /// "liveness" if something does for ever.
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
    Millis since;
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
  /// Whether the customer's quota is held for an earlier urgent task.
  bool IsQuotaHeldFor(const ModelTask& later) const;
  /// Capacity less the larger of declared and measured sizes.
  Resources FreeOf(const NodeId& worker) const;
  /// Capacity less the most that estimates may charge for what runs there.
  Resources LeastFreeOf(const NodeId& worker) const;
  Resources MostCharged(const JobSpec& spec) const;
  void Note(const std::string& rule, const std::string& detail);

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
