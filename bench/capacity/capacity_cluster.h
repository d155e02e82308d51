#ifndef BENCH_CAPACITY_CAPACITY_CLUSTER_H_
#define BENCH_CAPACITY_CAPACITY_CLUSTER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "source/agent/agent_role.h"
#include "source/agent/task_runner.h"
#include "source/base/seeded_random.h"
#include "source/control/control_member.h"
#include "tests/support/fake_network.h"
#include "tests/support/fake_storage.h"
#include "tests/support/manual_clock.h"
#include "tests/support/scenario_worker.h"

namespace fulmarrock::bench {

/// Resources used by all processes of one role within a time span.
struct RoleUsage {
  double cpu_us = 0;
  double sent_bytes = 0;
  double received_bytes = 0;
  double messages = 0;

  RoleUsage operator-(const RoleUsage& other) const;
};

/// Resources used by the processes of all roles.
struct ClusterUsage {
  RoleUsage leader;
  RoleUsage followers;
  RoleUsage agents;
  double starts = 0;

  ClusterUsage operator-(const ClusterUsage& other) const;
};

/// Three control members and many agents on a manual clock. Counts the CPU time
/// spent in each role and the bytes sent between them.
class CapacityCluster {
 public:
  explicit CapacityCluster(int workers);
  ~CapacityCluster();

  void Advance(Millis duration);

  /// Submits a job and waits until it is committed.
  void Submit(uint32_t tasks, int64_t cpu_millicores, Millis runtime);

  /// Changes one plan and waits until the change is committed.
  void ChangeConfiguration();

  ClusterUsage Usage() const;
  uint64_t RunningTasks();
  ControlMember& leader();

 private:
  struct MemberNode;
  struct AgentNode;

  void StartMembers();
  void StartAgent(int index);
  template <typename Call>
  void Measure(RoleUsage& usage, Call call);

  test::ManualClock m_clock;
  SeededRandom m_random{1};
  test::FakeNetwork m_network;
  std::vector<std::unique_ptr<MemberNode>> m_members;
  std::vector<std::unique_ptr<AgentNode>> m_agents;
  std::map<NodeId, RoleUsage*> m_usage_by_node;
  size_t m_leader = 0;
  int m_operations = 0;
};

}  // namespace fulmarrock::bench

#endif  // BENCH_CAPACITY_CAPACITY_CLUSTER_H_
