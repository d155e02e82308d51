#ifndef TESTS_SUPPORT_WORKFLOW_CLUSTER_H_
#define TESTS_SUPPORT_WORKFLOW_CLUSTER_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "source/agent/workflow_runner.h"
#include "source/base/seeded_random.h"
#include "source/control/control_role.h"
#include "source/entry/workflow_gateway.h"
#include "tests/support/fake_log.h"
#include "tests/support/fake_network.h"
#include "tests/support/fake_run_worker.h"
#include "tests/support/manual_clock.h"
#include "tests/support/printing_decision_log.h"
#include "tests/support/round_robin_scheduler.h"

namespace fulmarrock::test {

/// Control members, an entry process, and agents with workers, on a manual
/// clock. An oracle checks what the workers executed.
class WorkflowCluster {
 public:
  struct ControlNode {
    NodeId node;
    RoundRobinScheduler scheduler;
    std::unique_ptr<ControlRole> role;
  };
  struct AgentNode {
    AgentNode(const Clock& clock, const std::string& name)
        : node(name), worker(clock, "worker of " + name) {}
    NodeId node;
    FakeRunWorker worker;
    std::unique_ptr<WorkflowRunner> runner;
    uint64_t sequence = 0;
    bool is_draining = false;
    bool is_suspended = false;
    /// Whether the worker announces itself although it responds to nothing.
    bool announces_while_silent = false;
    /// When the leader last received a report.
    Millis reported_at;
    Resources capacity{4'000, 4'096, 0};
    std::string data_centre;
    std::vector<std::string> labels;
  };

  WorkflowCluster(size_t members, size_t agents, uint64_t seed);
  ~WorkflowCluster();

  /// Advances the time in steps of one tick.
  void Run(Millis duration);

  /// Makes the runs of a task crash each worker that starts it.
  void SetCrashingTask(const TaskName& task);
  size_t CountWorkerCrashes() const;

  void CrashMember(size_t index);
  void StartMember(size_t index);
  void CrashAgent(size_t index);
  void StartAgent(size_t index);
  /// Suspends the instance of an agent and its worker. Neither does anything
  /// until it resumes, and the worker's clock stands still.
  void SuspendInstance(size_t index);
  void ResumeInstance(size_t index);
  /// Starts the entry process anew; `members` are those of its settings.
  void StartGateway(std::vector<NodeId> members);
  /// Changes the capacity of a worker, which announces it immediately.
  void SetCapacity(size_t index, const Resources& capacity);
  /// Makes another member the leader.
  void ChangeLeader(size_t index);
  ControlRole& leader();
  const WorkflowState& state() { return leader().state().workflows(); }

  /// Sets one queue, "queue.example" "/q/", for the service "svc".
  void SetQueueConfiguration(uint64_t version, uint32_t max_attempts = 3);

  /// Replaces the configuration by one without queues.
  void RemoveQueue(uint64_t version);

  /// Sends a call through the entry process; `result` is set once it has one.
  void BeginCall(WorkflowCall call, std::optional<CallResult>& result);
  /// Sends a call through the entry process and waits for the result.
  CallResult Call(WorkflowCall call);
  CallResult Submit(const WorkflowSpec& spec);
  CallResult Cancel(WorkflowKey key);
  WorkflowPhase PhaseOf(WorkflowKey key);

  /// All executions of all workers, ordered by their begin.
  std::vector<Execution> Executions() const;

  /// Returns the first violation of an invariant, or an empty text: two runs of
  /// a task at a time, a start after a completion that was acknowledged to the
  /// worker, a step before its dependencies, a start over the worker's
  /// capacity.
  std::string FindViolation() const;

  /// Whether a workflow may fail because two workers or more crashed while one
  /// of its tasks ran there.
  bool HasCrashedTwice(WorkflowKey key) const;

  ManualClock clock;
  SeededRandom random;
  FakeNetwork network;
  FakeLog log;
  PrintingDecisionLog decisions{clock};
  std::vector<std::unique_ptr<ControlNode>> members;
  std::vector<std::unique_ptr<AgentNode>> agents;
  std::unique_ptr<WorkflowGateway> gateway;
  std::vector<WorkflowSpec> submitted;

 private:
  class FixedWallClock;
  void Step();
  void SetConfiguration(const QueueConfiguration& queue_configuration);
  void Announce(AgentNode& agent);
  void ConnectAgent(AgentNode& agent);
  void NoteReport(const NodeId& member, const NodeId& from);
  bool IsLongRunning(const TaskName& task) const;
  Resources ResourcesOf(const TaskName& task) const;

  std::unique_ptr<FixedWallClock> m_wall_clock;
  Millis m_next_announcement;
};

/// Returns a workflow with a step of that many equal tasks for each count, each
/// step depending on the previous one.
WorkflowSpec MakeChain(WorkflowKey key, const std::vector<uint32_t>& counts);

}  // namespace fulmarrock::test

#endif  // TESTS_SUPPORT_WORKFLOW_CLUSTER_H_
