#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "tests/support/cluster_faults.h"
#include "tests/support/workflow_cluster.h"

// Random faults of workers, agents, links and leaders, changes of the workers'
// capacity, and suspensions of instances. The oracle checks that no task runs
// twice at a time or after its completion, that steps run after their
// dependencies, that no start brings a worker over the capacity that it
// announced before the start request was sent, and that everything completes
// once the faults have ended, but for workflows with a task under which two
// workers crashed.

namespace fulmarrock::test {
namespace {

constexpr size_t kMembers = 3;
constexpr size_t kAgents = 3;

}  // namespace

TEST_CASE("Random faults violate no invariant, and all work completes") {
  CHECK(rc::check([] {
    const auto seed = *rc::gen::inRange<uint64_t>(1, 1'000'000);
    const auto faults =
        *rc::gen::container<std::vector<std::pair<int, size_t>>>(
            rc::gen::pair(rc::gen::inRange(0, kFaultCount + 1),
                          rc::gen::inRange<size_t>(0, 6)));
    WorkflowCluster cluster(kMembers, kAgents, seed);
    cluster.network.SetDelay(Millis(1), Millis(3));
    cluster.SetQueueConfiguration(1, 50);
    cluster.Run(Millis(1'000));
    WorkflowKey key = 1;
    for (const auto& [fault, index] : faults) {
      cluster.Submit(MakeChain(key++, {2, 3}));
      ApplyFault(cluster, fault, index);
      cluster.Run(
          Millis(static_cast<int64_t>(100 + cluster.random.Below(1'500))));
      RC_ASSERT(cluster.FindViolation() == "");
      if (cluster.random.Below(3) == 0)
        HealAll(cluster);
    }
    HealAll(cluster);
    cluster.Run(Millis(30'000));
    RC_ASSERT(cluster.FindViolation() == "");
    for (const auto& agent : cluster.agents)
      RC_LOG() << agent->runner->DumpState() << "\n";
    RC_LOG() << cluster.leader().DumpState() << "\n";
    for (const WorkflowSpec& spec : cluster.submitted) {
      const WorkflowRecord* workflow = cluster.state().Find(spec.key);
      // A submission may have been refused.
      const WorkflowPhase phase =
          workflow ? workflow->phase : WorkflowPhase::kCompleted;
      const bool may_fail = cluster.HasCrashedTwice(spec.key);
      RC_ASSERT(phase == WorkflowPhase::kCompleted ||
                (may_fail && phase == WorkflowPhase::kFailed));
    }
  }));
}

}  // namespace fulmarrock::test
