#include <catch2/catch.hpp>

#include "tests/support/consensus_cluster.h"

namespace fulmarrock::test {
namespace {

const std::vector<NodeId> kThree = {"a", "b", "c"};

// Guards against a lone member that waits for others.
TEST_CASE("a group of one leads at its first tick and commits in the next") {
  ConsensusCluster cluster({"a"}, 1);
  cluster.StartAll();
  cluster.Run(kTickInterval);
  REQUIRE(cluster.Leader() == "a");
  REQUIRE(cluster.Propose("a", "x"));
  cluster.Run(kTickInterval);
  CHECK(cluster.Machine("a").Has("x"));
  cluster.Crash("a", CrashKind::kLoseUnsynced);
  cluster.Start("a");
  cluster.Run(kTickInterval);
  CHECK(cluster.Machine("a").Has("x"));
  CHECK(cluster.oracle().violations().empty());
}

// Guards against a group that elects no leader or does not replicate.
TEST_CASE("a group of three elects one leader and commits at all members") {
  ConsensusCluster cluster(kThree, 2);
  cluster.StartAll();
  REQUIRE(cluster.Commit("x"));
  const NodeId leader = cluster.Leader();
  for (const NodeId& node : kThree) {
    CHECK(cluster.Node(node).Leader() == leader);
    CHECK(cluster.Node(node).Members().size() == 3);
  }
  CHECK(cluster.oracle().violations().empty());
}

}  // namespace
}  // namespace fulmarrock::test
