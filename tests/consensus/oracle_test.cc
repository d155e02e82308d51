#include <string_view>

#include <catch2/catch.hpp>

#include "tests/support/consensus_cluster.h"

// Each test breaks one rule of the oracle on purpose, to prove that the
// property tests can detect a violation of it.

namespace fulmarrock::test {
namespace {

using Fault = RecordingStateMachine::Fault;

const std::vector<NodeId> kThree = {"a", "b", "c"};

bool HasViolation(ConsensusCluster& cluster, std::string_view text) {
  for (const std::string& violation : cluster.oracle().violations()) {
    if (violation.find(text) != std::string::npos)
      return true;
  }
  return false;
}

TEST_CASE("the oracle detects a second leader in a term") {
  ConsensusCluster cluster(kThree, 3);
  cluster.StartAll();
  REQUIRE(cluster.Commit("x"));
  const NodeId leader = cluster.Leader();
  const NodeId other = leader == "a" ? "b" : "a";
  AppendRequest forged;
  forged.term = cluster.Node(leader).CurrentTerm();
  cluster.network().TransportOf(other).Send("c", Message(forged));
  CHECK(HasViolation(cluster, "two leaders"));
}

TEST_CASE("the oracle detects a leader that remains leader without a quorum") {
  ConsensusCluster cluster(kThree, 7);
  cluster.StartAll();
  REQUIRE(cluster.Commit("x"));
  const NodeId leader = cluster.Leader();
  cluster.StopClock(leader);
  cluster.network().Isolate(leader);
  cluster.Run(Millis(2000));
  CHECK(HasViolation(cluster, "lead at the same time"));
}

TEST_CASE("the oracle detects a lost command when disks ignore syncs") {
  ConsensusCluster cluster(kThree, 4);
  cluster.StartAll();
  REQUIRE(cluster.Commit("before"));
  for (const NodeId& node : kThree)
    cluster.Disk(node).SetIgnoreSyncs(true);
  REQUIRE(cluster.Commit("x"));
  for (const NodeId& node : kThree) {
    cluster.Crash(node, CrashKind::kLoseUnsynced);
    cluster.Disk(node).SetIgnoreSyncs(false);
  }
  cluster.StartAll();
  REQUIRE(cluster.RunUntil([&] { return !cluster.Leader().empty(); }));
  CHECK(HasViolation(cluster, "lost acknowledged x"));
}

TEST_CASE("the oracle detects a member that applies a different command") {
  ConsensusCluster cluster(kThree, 5);
  cluster.StartAll();
  REQUIRE(cluster.Commit("x"));
  const NodeId follower = cluster.Leader() == "a" ? "b" : "a";
  cluster.Machine(follower).SetFault(Fault::kChangeCommand);
  REQUIRE(cluster.Propose(cluster.Leader(), "y"));
  cluster.Run(Millis(200));
  CHECK(HasViolation(cluster, "instead of"));
}

TEST_CASE("the oracle detects a command that is applied twice") {
  ConsensusCluster cluster(kThree, 6);
  cluster.StartAll();
  REQUIRE(cluster.Commit("x"));
  cluster.Machine(cluster.Leader()).SetFault(Fault::kApplyTwice);
  REQUIRE(cluster.Commit("y"));
  CHECK(HasViolation(cluster, "applied y twice"));
}

}  // namespace
}  // namespace fulmarrock::test
