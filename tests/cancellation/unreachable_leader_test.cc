#include <algorithm>

#include <catch2/catch.hpp>

#include "tests/support/workflow_cluster.h"

// Members of the control group leave one after the other, and others take their
// places. Calls of clients have to reach the leader all the same: a cancelled
// workflow that the leader does not learn of runs on.

namespace fulmarrock::test {
namespace {

constexpr WorkflowKey kKey = 7;
constexpr uint32_t kTasks = 4;
constexpr size_t kMembers = 6;
constexpr size_t kAgents = 2;

/// Longest time until a cancellation is acknowledged; its client repeats it in
/// the meantime.
constexpr Millis kAcknowledgeLimit{4'000};
/// Longest time from the acknowledgement until nothing of the workflow runs.
constexpr Millis kStopLimit{3'400};

/// A cluster with a long-running workflow. The entry process was started when
/// the first three members formed the group.
class LeavingMembers {
 public:
  LeavingMembers() : cluster(kMembers, kAgents, 1) {
    cluster.StartGateway({"control0", "control1", "control2"});
    cluster.SetQueueConfiguration(1);
    cluster.Run(Millis(3'000));
    for (auto& agent : cluster.agents)
      agent->worker.never_completes = true;
    WorkflowSpec spec = MakeChain(kKey, {kTasks});
    spec.steps[0].is_long_running = true;
    cluster.Submit(spec);
    cluster.Run(Millis(5'000));
    REQUIRE(RunningCount() == kTasks);
  }

  size_t RunningCount() const {
    size_t count = 0;
    for (const auto& agent : cluster.agents)
      count += agent->worker.running_count();
    return count;
  }

  /// Repeats a cancellation until it is acknowledged or the limit is over.
  bool Cancel() {
    const Millis end = cluster.clock.Now() + kAcknowledgeLimit;
    while (cluster.clock.Now() < end) {
      const CallResult result = cluster.Cancel(kKey);
      if (result.outcome == CallOutcome::kAnswered &&
          result.reply.kind == WorkflowReplyKind::kCancelled) {
        return cluster.clock.Now() <= end;
      }
      cluster.Run(Millis(100));
    }
    return false;
  }

  WorkflowCluster cluster;
};

}  // namespace

// Guards against an entry process that sends calls only to the last leader it
// knew and to the member after it in order, both of which have left.
TEST_CASE("A cancellation finds the leader after two members have left") {
  LeavingMembers test;
  test.cluster.CrashMember(1);
  test.cluster.CrashMember(0);
  test.cluster.ChangeLeader(2);
  test.cluster.Run(Millis(3'000));
  REQUIRE(test.Cancel());
  test.cluster.Run(kStopLimit);
  CHECK(test.RunningCount() == 0);
}

// Guards against an entry process that knows only the members of its start:
// the leader that replied to its calls did not tell it of those that joined.
TEST_CASE("A cancellation finds the leader after all first members have left") {
  LeavingMembers test;
  for (const size_t member : {1, 2, 0})
    test.cluster.CrashMember(member);
  test.cluster.ChangeLeader(4);
  test.cluster.Run(Millis(3'000));
  REQUIRE(test.Cancel());
  test.cluster.Run(kStopLimit);
  CHECK(test.RunningCount() == 0);
}

// Guards against a search that takes the word of a member that is cut off from
// its group, and names the leader that has left, for newer than its own
// experience.
TEST_CASE(
    "A cancellation finds the leader although a member names an old one") {
  LeavingMembers test;
  test.cluster.CrashMember(0);
  test.cluster.ChangeLeader(3);
  // The entry process reaches the new leader only after it has heard member 1.
  test.cluster.network.SetLinkDelay("control3", "entry", Millis(40));
  test.cluster.Run(Millis(3'000));
  REQUIRE(test.Cancel());
  test.cluster.Run(kStopLimit);
  CHECK(test.RunningCount() == 0);
}

}  // namespace fulmarrock::test
