#include <algorithm>
#include <optional>

#include <catch2/catch.hpp>

#include "tests/support/workflow_cluster.h"

// Evacuations in a cluster of control members, agents and workers, with one
// failure each.

namespace fulmarrock::test {
namespace {

constexpr Millis kLongRun{4'000};
constexpr Millis kTimeToTakeEffect{5'000};

/// Two data centres, "a" and "b", with two workers each.
class TwoDataCentres {
 public:
  TwoDataCentres() : cluster(3, 4, 1) {
    for (size_t i = 0; i < cluster.agents.size(); ++i) {
      cluster.agents[i]->data_centre = i < 2 ? "a" : "b";
      cluster.agents[i]->worker.duration = kLongRun;
    }
    cluster.SetQueueConfiguration(1);
    cluster.Run(Millis(1'000));
  }

  /// Sends a request to the leader and runs until it has a result.
  Result<bool> SetEvacuation(const std::string& data_centre,
                             bool is_evacuated) {
    std::optional<Result<bool>> result;
    cluster.leader().SetEvacuation(
        {data_centre, is_evacuated},
        [&](const Result<bool>& reply) { result = reply; });
    for (int i = 0; i < 200 && !result; ++i)
      cluster.Run(Millis(10));
    REQUIRE(result);
    return *result;
  }

  bool IsInA(const Execution& execution) const {
    return execution.worker == "worker of agent0" ||
           execution.worker == "worker of agent1";
  }

  /// Number of runs that began in data centre "a" in a time.
  size_t CountStartsInA(Millis from, Millis to) const {
    const std::vector<Execution> executions = cluster.Executions();
    return static_cast<size_t>(std::count_if(
        executions.begin(), executions.end(), [&](const Execution& execution) {
          return IsInA(execution) && execution.begin >= from &&
                 execution.begin < to;
        }));
  }

  WorkflowCluster cluster;
};

}  // namespace

// Guards against runs that start in a data centre which an operator took out of
// service, and against runs there that are stopped although they could
// complete.
TEST_CASE("no run starts in an evacuated data centre, and those there go on") {
  TwoDataCentres test;
  test.cluster.Submit(MakeChain(7, {16}));
  test.cluster.Run(Millis(1'000));
  const size_t active_in_a =
      test.CountStartsInA(Millis(0), test.cluster.clock.Now());
  REQUIRE(active_in_a > 0);
  REQUIRE(test.SetEvacuation("a", true));
  const Millis evacuated_at = test.cluster.clock.Now();
  test.cluster.Submit(MakeChain(8, {8}));
  test.cluster.Run(Millis(10'000));
  CHECK(test.CountStartsInA(evacuated_at, test.cluster.clock.Now()) == 0);
  CHECK(test.cluster.PhaseOf(7) == WorkflowPhase::kCompleted);
  for (const Execution& execution : test.cluster.Executions())
    CHECK(execution.kind == RunOutcome::kDone);
  REQUIRE(test.SetEvacuation("a", false));
  const Millis ended_at = test.cluster.clock.Now();
  test.cluster.Submit(MakeChain(9, {16}));
  test.cluster.Run(Millis(2'000));
  CHECK(test.CountStartsInA(ended_at, test.cluster.clock.Now()) > 0);
  CHECK(test.cluster.FindViolation().empty());
}

// Guards against work that is lost while every data centre is evacuated.
TEST_CASE("work waits while all data centres are evacuated") {
  TwoDataCentres test;
  REQUIRE(test.SetEvacuation("a", true));
  REQUIRE(test.SetEvacuation("b", true));
  test.cluster.Submit(MakeChain(7, {4}));
  test.cluster.Run(Millis(8'000));
  CHECK(test.cluster.Executions().empty());
  REQUIRE(test.SetEvacuation("b", false));
  test.cluster.Run(Millis(8'000));
  CHECK(test.cluster.PhaseOf(7) == WorkflowPhase::kCompleted);
}

// Guards against an evacuation that the next leader does not know: its
// predecessor was lost between the commit and the acknowledgement.
TEST_CASE("a new leader obeys and acknowledges a committed evacuation") {
  TwoDataCentres test;
  std::optional<Result<bool>> lost;
  test.cluster.leader().SetEvacuation(
      {"a", true}, [&](const Result<bool>& reply) { lost = reply; });
  test.cluster.Run(Millis(10));
  test.cluster.ChangeLeader(1);
  test.cluster.Run(Millis(500));
  CHECK(test.SetEvacuation("a", true));
  const Millis evacuated_at = test.cluster.clock.Now();
  test.cluster.Submit(MakeChain(7, {16}));
  test.cluster.Run(Millis(10'000));
  CHECK(test.CountStartsInA(evacuated_at, test.cluster.clock.Now()) == 0);
  CHECK(test.cluster.FindViolation().empty());
}

// Guards against an evacuation that is lost when all members end right after
// its acknowledgement, and when the log entry is replaced by a snapshot.
TEST_CASE("an evacuation survives the end of all members") {
  TwoDataCentres test;
  REQUIRE(test.SetEvacuation("a", true));
  const bool is_compacted = GENERATE(false, true);
  if (is_compacted)
    test.cluster.log.Compact();
  for (size_t i = 0; i < 3; ++i)
    test.cluster.CrashMember(i);
  test.cluster.Run(Millis(1'000));
  for (size_t i = 0; i < 3; ++i)
    test.cluster.StartMember(i);
  test.cluster.ChangeLeader(2);
  const Millis evacuated_at = test.cluster.clock.Now();
  test.cluster.Submit(MakeChain(7, {16}));
  test.cluster.Run(Millis(10'000));
  CHECK(test.CountStartsInA(evacuated_at, test.cluster.clock.Now()) == 0);
  const Result<std::vector<DataCentreView>> views =
      test.cluster.leader().ListDataCentres();
  REQUIRE(views);
  REQUIRE(views->size() == 2);
  CHECK(views->at(0).is_evacuated);
  CHECK_FALSE(views->at(1).is_evacuated);
  CHECK(views->at(1).workers == 2);
}

// Guards against starts that are under way when the evacuation is acknowledged:
// they are assigned, and their instructions are held up in the network.
TEST_CASE("starts that are held up do not take place") {
  TwoDataCentres test;
  const NodeId leader = test.cluster.log.leader();
  for (size_t i = 0; i < 2; ++i)
    test.cluster.network.SetLinkDelay(leader, test.cluster.agents[i]->node,
                                      Millis(1'500));
  test.cluster.Submit(MakeChain(7, {16}));
  test.cluster.Run(Millis(300));
  REQUIRE(test.SetEvacuation("a", true));
  const Millis evacuated_at = test.cluster.clock.Now();
  test.cluster.Run(kTimeToTakeEffect);
  const Millis in_force_at = test.cluster.clock.Now();
  test.cluster.Run(Millis(20'000));
  CHECK(test.CountStartsInA(in_force_at, test.cluster.clock.Now()) == 0);
  CHECK(test.CountStartsInA(evacuated_at, in_force_at) <= 8);
  CHECK(test.cluster.PhaseOf(7) == WorkflowPhase::kCompleted);
  CHECK(test.cluster.FindViolation().empty());
}

// Guards against an agent that was out of contact and starts, after it is back,
// what it was told before the evacuation.
TEST_CASE("an agent that was out of contact starts nothing") {
  TwoDataCentres test;
  test.cluster.Submit(MakeChain(7, {16}));
  for (size_t i = 0; i < 2; ++i)
    test.cluster.network.Isolate(test.cluster.agents[i]->node);
  REQUIRE(test.SetEvacuation("a", true));
  test.cluster.Run(kTimeToTakeEffect);
  const Millis back_at = test.cluster.clock.Now();
  test.cluster.network.HealAll();
  test.cluster.Run(Millis(30'000));
  CHECK(test.CountStartsInA(back_at, test.cluster.clock.Now()) == 0);
  CHECK(test.cluster.PhaseOf(7) == WorkflowPhase::kCompleted);
  CHECK(test.cluster.FindViolation().empty());
}

// Guards against invalid requests that change the state.
TEST_CASE("requests with a malformed or unknown name change nothing") {
  TwoDataCentres test;
  for (const char* name : {"", "a b", "a/b", "\xff"}) {
    const Result<bool> result = test.SetEvacuation(name, true);
    REQUIRE_FALSE(result);
    CHECK(result.error().kind == ErrorKind::kInvalidArgument);
  }
  EvacuationOptions options;
  options.data_centres = {"a", "b", "c"};
  test.cluster.leader().ConfigureEvacuations(options, test.cluster.decisions);
  const Result<bool> unknown = test.SetEvacuation("d", true);
  REQUIRE_FALSE(unknown);
  CHECK(unknown.error().kind == ErrorKind::kNotFound);
  CHECK(test.SetEvacuation("c", true));
  CHECK(test.cluster.leader().state().evacuations().version() == 1);
}

// Guards against a follower that acknowledges a request.
TEST_CASE("a member that is not the leader refuses and names the leader") {
  TwoDataCentres test;
  std::optional<Result<bool>> result;
  test.cluster.members[1]->role->SetEvacuation(
      {"a", true}, [&](const Result<bool>& reply) { result = reply; });
  REQUIRE(result);
  REQUIRE_FALSE(*result);
  CHECK(result->error().kind == ErrorKind::kNotLeader);
}

}  // namespace fulmarrock::test
