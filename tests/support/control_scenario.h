#ifndef TESTS_SUPPORT_CONTROL_SCENARIO_H_
#define TESTS_SUPPORT_CONTROL_SCENARIO_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tests/support/control_cluster.h"

namespace fulmarrock::test {

/// Faults that violate one of the invariants, to test the check of the
/// invariant.
enum class InjectedFault {
  kNone,
  kWorkerIgnoresSuspend,
  kWorkerIsSmaller,
  kWorkerStartsTwice,
  kLogLosesCommands,
};

/// Runs scripts of one command per line against a cluster of three members and
/// three agents, and checks the invariants of the system after each tick:
///
/// - no task executes on two workers
/// - the tasks of a worker never exceed its capacity
/// - a completed task stays completed and never starts again
/// - each grant starts once, and an eviction is followed by one further grant
/// - a version of the configuration never changes its content, and the version
///   never decreases
/// - no acknowledged operation is lost, and a repeated request gets the first
///   result
///
/// Commands (finish, fail and evict select a task by its position among the
/// executing tasks):
///
///     submit NAME TASKS KIND     batch, fixed (no checkpoint) or kernel
///     cancel NAME
///     finish N | fail N | evict N
///     apply WEIGHT               changes the plan of the newest version
///     repeat N                   sends an earlier operation again
///     leader MEMBER OVERLAP KEPT the old leader stays for OVERLAP ms; the
///                                first KEPT uncommitted commands commit
///     crash-member N | start-member N | compact
///     crash-agent N WHAT         process, or instance with its worker
///     start-agent N | stop-agent N
///     isolate NODE | cut FROM TO | heal
///     delay MS JITTER | loss PERCENT DUPLICATION | commit MS
///     run MS | settle
///     expect NAME STATE COUNT    counts the job's tasks in a state
///     expect-executing N
class ControlScenario {
 public:
  explicit ControlScenario(uint64_t seed,
                           InjectedFault injected_fault = InjectedFault::kNone);
  ~ControlScenario();

  /// Runs a script until its end or the first violation. Returns the violation
  /// and the line of the script, or an empty string.
  std::string Run(std::string_view script);

  ControlCluster& cluster() { return *m_cluster; }

 private:
  class ObservedWorker;
  struct Operation {
    bool is_submit = false;
    SubmitRequest submit;
    ApplyRequest apply;
    std::optional<Result<uint64_t>> result;
  };
  using Words = std::vector<std::string>;

  void Execute(const Words& words);
  bool ExecuteOnJobs(const Words& words);
  bool ExecuteOnProcesses(const Words& words);
  bool ExecuteOnNetwork(const Words& words);
  void Expect(const Words& words);
  void Submit(const std::string& name, uint32_t tasks, const std::string& kind);
  void Cancel(const std::string& name);
  void Apply(int64_t weight);
  void Send(const std::shared_ptr<Operation>& operation);
  void OnResult(Operation& operation, const Result<uint64_t>& result);
  void EndExecuting(size_t position, TaskEventKind kind);
  void ChangeLeader(size_t member, Millis overlap, size_t kept);
  void DropCommands();
  void Settle();
  /// Starts the agents that are down or have drained.
  void RestartDrained();
  void Advance(Millis duration);
  void OnStart(size_t agent, const TaskGrant& grant);

  void Check();
  void CheckWorkers();
  void CheckTasks();
  void CheckConfigurations();
  void CheckOperations();
  void Fail(const std::string& violation);
  std::vector<std::pair<TaskId, size_t>> Executing() const;
  JobId FindJob(const std::string& name) const;
  bool HasLeader() const { return !m_cluster->log.leader().empty(); }

  InjectedFault m_injected_fault;
  std::vector<std::unique_ptr<ObservedWorker>> m_workers;
  std::unique_ptr<ControlCluster> m_cluster;
  std::string m_violation;
  std::vector<std::shared_ptr<Operation>> m_operations;
  std::set<JobId> m_cancelled;
  std::set<std::pair<TaskId, Epoch>> m_started;
  std::map<TaskId, Epoch> m_newest_start;
  std::set<TaskId> m_completed;
  std::map<uint64_t, Configuration> m_configurations;
  uint64_t m_acknowledged_version = 0;
  // Number of the first commands that kLogLosesCommands keeps.
  size_t m_kept_commands = 0;
};

}  // namespace fulmarrock::test

#endif  // TESTS_SUPPORT_CONTROL_SCENARIO_H_
