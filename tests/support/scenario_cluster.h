#ifndef TESTS_SUPPORT_SCENARIO_CLUSTER_H_
#define TESTS_SUPPORT_SCENARIO_CLUSTER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "source/agent/agent_role.h"
#include "source/agent/request_server.h"
#include "source/agent/task_runner.h"
#include "source/base/seeded_random.h"
#include "source/control/control_member.h"
#include "source/entry/entry_role.h"
#include "tests/interactive/fake_target.h"
#include "tests/support/fake_network.h"
#include "tests/support/fake_storage.h"
#include "tests/support/manual_clock.h"
#include "tests/support/scenario_worker.h"

namespace fulmarrock::test {

/// Settings of an agent in a scenario.
struct AgentDescription {
  NodeId node;
  std::string data_centre = "dc-a";
  std::string rack = "r1";
  /// Service of the target beside the agent; empty without a target.
  std::string service;
  std::vector<std::string> affinities;
  int32_t slots = 8;
  /// Capacity of the worker beside the agent; zero without a worker.
  Resources capacity;
};

/// A caller's request and the reply to it, if there is one.
struct CallerRecord {
  CallerRequest request;
  NodeId entry;
  std::optional<CallerReply> reply;
  /// The entry was killed, which closed the caller's connection.
  bool is_disconnected = false;
};

/// Runs the shipped roles in one process on a manual clock, with a simulated
/// network, disks, targets and workers that can be made to fail. Checks the
/// invariants after every tick.
class ScenarioCluster {
 public:
  explicit ScenarioCluster(uint64_t seed);
  ~ScenarioCluster();

  /// Starts the initial members of the control group.
  void StartControl(const std::vector<NodeId>& members);
  /// Starts a member with an empty disk that is to be added to the group.
  void StartNewMember(const NodeId& node);
  void StartEntry(const NodeId& node, const std::string& data_centre);
  void StartAgent(const AgentDescription& description);

  /// Ends a process at once. An agent's target and worker keep running.
  void Kill(const NodeId& node);
  /// Fails the whole instance of a process: its target, its worker and all
  /// bytes that were not synced are lost.
  void Crash(const NodeId& node);
  /// Erases the disk of a stopped member.
  void WipeDisk(const NodeId& node);
  /// Starts a killed process again with a new incarnation.
  void Restart(const NodeId& node);
  void BeginShutdown(const NodeId& node);

  /// Sends a request through an entry. The name is used as the body unless the
  /// request has one.
  void Submit(const std::string& name,
              const NodeId& entry,
              CallerRequest request);

  /// Advances by whole ticks. Throws ScenarioError when an invariant is
  /// violated.
  void Advance(Millis duration);

  /// The member that is the leader, or null.
  ControlMember* Leader();
  ControlMember& MemberAt(const NodeId& node);
  FakeStorage& DiskOf(const NodeId& node);
  FakeTarget& TargetOf(const NodeId& node);
  ScenarioWorker& WorkerOf(const NodeId& node);
  Role& RoleOf(const NodeId& node);
  EntryRole& EntryAt(const NodeId& node);
  bool IsRunning(const NodeId& node) const;

  bool WasSent(const std::string& request) const {
    return m_requests.contains(request);
  }
  const CallerRecord& RequestNamed(const std::string& name) const;
  int ExecutionsOf(const std::string& request) const;
  int TaskStarts(TaskId task) const;
  NodeId ExecutingWorker(TaskId task) const;

  FakeNetwork& network() { return m_network; }
  ManualClock& clock() { return m_clock; }
  /// The last messages and events, for the failure text of a scenario.
  const std::deque<std::string>& recent_events() const { return m_events; }
  void RecordEvent(std::string event);

 private:
  class ReplySink;
  struct ControlNode;
  struct EntryNode;
  struct AgentNode;

  void OpenMember(ControlNode& node);
  void OpenEntry(EntryNode& node);
  void OpenAgent(AgentNode& node);
  std::vector<NodeId> ControlIds() const;
  std::vector<NodeId> EntryIds() const;
  void Tick();
  void CheckInvariants();
  void CheckTasks();
  void CheckRequests();
  void CheckVersions();
  Incarnation NextIncarnation() { return ++m_last_incarnation; }

  ManualClock m_clock;
  SeededRandom m_random;
  FakeNetwork m_network;
  Incarnation m_last_incarnation = 0;
  std::map<NodeId, std::unique_ptr<ControlNode>> m_members;
  std::map<NodeId, std::unique_ptr<EntryNode>> m_entries;
  std::map<NodeId, std::unique_ptr<AgentNode>> m_agents;
  std::map<std::string, CallerRecord> m_requests;
  std::map<std::pair<NodeId, RequestId>, std::string> m_request_names;
  std::map<NodeId, uint64_t> m_versions;
  std::deque<std::string> m_events;
};

}  // namespace fulmarrock::test

#endif  // TESTS_SUPPORT_SCENARIO_CLUSTER_H_
