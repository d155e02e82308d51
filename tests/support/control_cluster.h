#ifndef TESTS_SUPPORT_CONTROL_CLUSTER_H_
#define TESTS_SUPPORT_CONTROL_CLUSTER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "source/agent/task_runner.h"
#include "source/base/seeded_random.h"
#include "source/control/control_role.h"
#include "tests/support/fake_log.h"
#include "tests/support/fake_network.h"
#include "tests/support/fake_worker.h"
#include "tests/support/manual_clock.h"
#include "tests/support/round_robin_scheduler.h"
#include "tests/support/skewed_clock.h"

namespace fulmarrock::test {

/// Control members and agents with workers, connected by a fake network and a
/// fake log, with a manual clock.
class ControlCluster {
 public:
  struct ControlNode {
    NodeId node;
    RoundRobinScheduler scheduler;
    std::unique_ptr<ControlRole> role;
  };
  struct AgentNode {
    AgentNode(const Clock& base, Millis offset, int64_t drift)
        : clock(base, offset, drift), worker(base) {}
    NodeId node;
    SkewedClock clock;
    Incarnation incarnation = 0;
    Counters counters;
    FakeWorker worker;
    std::unique_ptr<TaskRunner> runner;
  };

  /// Returns the worker client of an agent; lets a test observe calls or inject
  /// faults.
  using WorkerWrapper = std::function<WorkerClient&(size_t agent, FakeWorker&)>;

  /// Agents' clocks drift by up to 2 percent in both directions.
  ControlCluster(size_t members,
                 size_t agents,
                 uint64_t seed,
                 WorkerWrapper wrapper = {});
  ~ControlCluster();

  /// Advances the time in steps of one tick, and calls `check` after each.
  void Run(Millis duration, const std::function<void()>& check = {});

  /// Runs until the condition holds; false when it does not hold within the
  /// timeout.
  bool RunUntil(const std::function<bool()>& condition,
                Millis limit = Millis(60'000));

  void CrashMember(size_t index);
  void StartMember(size_t index);
  /// Crashes the agent alone, or the agent and its worker.
  void CrashAgent(size_t index, bool with_worker);
  void StartAgent(size_t index);
  /// Adds and starts an agent with the current worker capacity.
  void AddAgent();
  ControlNode& leader();
  /// The replicated state at the leader.
  const ControlState& state() { return leader().role->state(); }

  /// Applies a configuration with the plan "gold" and the customer "acme".
  void ApplyDefaultConfiguration();

  /// Submits at the leader and waits for the result.
  Result<JobId> Submit(const JobSpec& spec, const std::string& operation_id);
  Result<uint64_t> Apply(const ApplyRequest& request);
  Result<uint64_t> Cancel(const std::vector<JobId>& jobs);

  /// Agents whose workers hold the task, and those whose workers execute it at
  /// present.
  std::vector<size_t> Holders(TaskId task) const;
  std::vector<size_t> Executing(TaskId task) const;

  ManualClock clock;
  SeededRandom random;
  FakeNetwork network;
  FakeLog log;
  std::vector<std::unique_ptr<ControlNode>> members;
  std::vector<std::unique_ptr<AgentNode>> agents;
  Resources worker_capacity{4000, 4096, 0};
  WorkerWrapper wrap_worker;

 private:
  template <typename T>
  Result<T> Await(std::optional<Result<T>>& result);
  void Step();
};

/// A valid one-task batch job of "acme" that needs a quarter of a worker.
JobSpec MakeSpec(uint32_t task_count = 1);

}  // namespace fulmarrock::test

#endif  // TESTS_SUPPORT_CONTROL_CLUSTER_H_
