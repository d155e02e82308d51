#include <set>
#include <utility>
#include <vector>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "tests/support/cluster_faults.h"
#include "tests/support/workflow_cluster.h"

// Random faults while workflows are submitted and cancelled.

namespace fulmarrock::test {
namespace {

constexpr size_t kMembers = 5;
constexpr size_t kAgents = 3;

/// Longest time until everybody has found everybody again after the faults.
constexpr Millis kSettleTime{12'000};
/// Longest time from a cancellation's acknowledgement until nothing of the
/// workflow runs, without faults.
constexpr Millis kStopLimit{3'400};

/// Takes a member down, or starts those that are down. A majority stays up.
void ToggleMember(WorkflowCluster& cluster, size_t index) {
  if (!cluster.members[index]->role) {
    cluster.StartMember(index);
    return;
  }
  size_t up = 0;
  for (const auto& member : cluster.members)
    up += member->role != nullptr;
  if (up <= kMembers / 2 + 1)
    return;
  const bool was_leader = cluster.log.leader() == cluster.members[index]->node;
  cluster.CrashMember(index);
  if (!was_leader)
    return;
  for (size_t i = 1; i < kMembers; ++i) {
    const size_t next = (index + i) % kMembers;
    if (cluster.members[next]->role) {
      cluster.ChangeLeader(next);
      return;
    }
  }
}

bool IsAnyRunning(const WorkflowCluster& cluster,
                  const std::set<WorkflowKey>& workflows) {
  for (const Execution& execution : cluster.Executions()) {
    if (!execution.has_ended && workflows.contains(execution.task.workflow))
      return true;
  }
  return false;
}

WorkflowSpec MakeLongRunning(WorkflowKey key) {
  WorkflowSpec spec = MakeChain(key, {3});
  spec.steps[0].is_long_running = true;
  return spec;
}

}  // namespace

// Guards against a run of a cancelled workflow that stays on a worker after any
// order of restarts, cuts, hand-overs, late starts and departures, and against
// two runs of a task at a time.
TEST_CASE("Cancelled workflows stop whatever faults came before") {
  CHECK(rc::check([] {
    const auto seed = *rc::gen::inRange<uint64_t>(1, 1'000'000);
    const auto faults =
        *rc::gen::container<std::vector<std::pair<int, size_t>>>(
            rc::gen::pair(rc::gen::inRange(0, kFaultCount + 5),
                          rc::gen::inRange<size_t>(0, 6)));
    WorkflowCluster cluster(kMembers, kAgents, seed);
    cluster.network.SetDelay(Millis(1), Millis(3));
    cluster.SetQueueConfiguration(1);
    cluster.Run(Millis(1'000));
    for (auto& agent : cluster.agents)
      agent->worker.never_completes = true;
    std::set<WorkflowKey> cancelled;
    std::set<WorkflowKey> open;
    WorkflowKey key = 1;
    for (const auto& [fault, index] : faults) {
      open.insert(key);
      cluster.Submit(MakeLongRunning(key++));
      if (fault >= kFaultCount + 2)
        ToggleMember(cluster, index % kMembers);
      else
        ApplyFault(cluster, fault, index);
      const WorkflowKey oldest = *open.begin();
      const bool is_cancelled =
          cluster.random.Below(2) == 0 &&
          cluster.Cancel(oldest).outcome == CallOutcome::kAnswered;
      if (is_cancelled) {
        open.erase(oldest);
        cancelled.insert(oldest);
      }
      cluster.Run(
          Millis(static_cast<int64_t>(100 + cluster.random.Below(1'500))));
      RC_ASSERT(cluster.FindViolation() == "");
      if (cluster.random.Below(3) == 0)
        HealAll(cluster);
    }
    HealAll(cluster);
    for (size_t i = 0; i < kMembers; ++i) {
      if (!cluster.members[i]->role)
        cluster.StartMember(i);
    }
    cluster.Run(kSettleTime);
    RC_ASSERT(!IsAnyRunning(cluster, cancelled));
    for (const WorkflowKey workflow : open) {
      RC_ASSERT(cluster.Cancel(workflow).outcome == CallOutcome::kAnswered);
      cancelled.insert(workflow);
    }
    cluster.Run(kStopLimit);
    RC_ASSERT(!IsAnyRunning(cluster, cancelled));
    RC_ASSERT(cluster.FindViolation() == "");
  }));
}

}  // namespace fulmarrock::test
