#include <catch2/catch.hpp>

#include "source/base/checksum.h"
#include "source/consensus/snapshot_receiver.h"
#include "tests/support/consensus_cluster.h"

namespace fulmarrock::test {
namespace {

const std::vector<NodeId> kThree = {"a", "b", "c"};

/// Group of three with a leader and one committed command.
struct Group {
  explicit Group(uint64_t seed) : cluster(kThree, seed) {
    cluster.StartAll();
    REQUIRE(cluster.Commit("x"));
    leader = cluster.Leader();
    follower = leader == "a" ? "b" : "a";
    cluster.network().SetTap(
        [this](const NodeId& from, const NodeId& to, const Message& message) {
          const auto* append = std::get_if<AppendRequest>(&message);
          if (from == leader && to == follower && append != nullptr &&
              !append->entries.empty())
            appends.push_back(append->entries.size());
        });
  }

  ConsensusCluster cluster;
  NodeId leader;
  NodeId follower;
  // Number of entries in each append request from the leader to the follower.
  std::vector<size_t> appends;
};

// Guards against a sync or a message for each command.
TEST_CASE("commands of one tick share one sync and one message per follower") {
  Group group(1);
  const uint64_t leader_syncs = group.cluster.Disk(group.leader).sync_count();
  const uint64_t syncs = group.cluster.Disk(group.follower).sync_count();
  for (int i = 0; i < 100; ++i)
    REQUIRE(group.cluster.Propose(group.leader, std::to_string(i)));
  group.cluster.Run(Millis(100));
  CHECK(group.cluster.Machine(group.leader).Has("99"));
  CHECK(group.appends == std::vector<size_t>{100});
  CHECK(group.cluster.Disk(group.leader).sync_count() == leader_syncs + 1);
  CHECK(group.cluster.Disk(group.follower).sync_count() == syncs + 1);
}

// Guards against a leader that waits for a reply before it sends more entries,
// and against one that sends without bound to an unresponsive follower.
TEST_CASE("entries are pipelined within the limit of bytes in flight") {
  Group group(2);
  group.cluster.network().SetDelay(Millis(100));
  const std::string text(200'000, 'x');
  for (int i = 0; i < 20; ++i) {
    REQUIRE(group.cluster.Propose(group.leader, text + std::to_string(i)));
    group.cluster.Run(kTickInterval);
  }
  // One entry per message; with the sixth the limit of 1 MiB is exceeded.
  CHECK(group.appends == std::vector<size_t>(6, 1));
}

// Guards against messages of other roles that change the state of a consensus
// node, if every message is passed to it.
TEST_CASE("messages of other roles are ignored") {
  Group group(3);
  ConsensusNode& node = group.cluster.Node(group.leader);
  const auto before = node.DumpState();
  node.OnMessage("worker", Message(ConfigPoll{}));
  node.OnMessage("worker", Message(TaskEvents{}));
  CHECK(node.DumpState() == before);
}

// Guards against a member that starts with damaged files.
TEST_CASE("a member with a damaged log or vote does not start") {
  for (const std::string name : {"log-0000000000000001", "member"}) {
    Group group(4);
    group.cluster.Run(Millis(100));
    group.cluster.Crash(group.follower, CrashKind::kKeepAll);
    group.cluster.Disk(group.follower).CorruptByte(name, 30);
    CHECK_THROWS_WITH(group.cluster.Start(group.follower),
                      Catch::Contains("add it again"));
  }
}

// Guards against options with which leases or elections cannot work.
TEST_CASE("inconsistent options are rejected with a remedy") {
  ManualClock clock;
  SeededRandom random(5);
  FakeNetwork network(clock, random);
  FakeStorage disk;
  ConsensusOracle oracle;
  RecordingStateMachine machine("a", oracle);
  ConsensusOptions missing_own_node{.node = "a", .initial_members = {"b", "c"}};
  ConsensusOptions short_timeout{.node = "a", .initial_members = {"a"}};
  short_timeout.election_timeout_min = short_timeout.heartbeat;
  for (const ConsensusOptions& options : {missing_own_node, short_timeout}) {
    const auto node = ConsensusNode::Open(
        options, {machine, network.TransportOf("a"), clock, random, disk});
    REQUIRE_FALSE(node);
    CHECK(node.error().kind == ErrorKind::kInvalidArgument);
    CHECK_FALSE(node.error().remedy.empty());
  }
}

// Guards against installing a wrongly assembled state.
TEST_CASE("a snapshot is complete despite duplicates, gaps and damage") {
  const std::string state = "0123456789";
  SnapshotChunk chunk;
  chunk.snapshot_index = 7;
  chunk.total_size = state.size();
  chunk.checksum = Checksum(state);
  SnapshotReceiver receiver(100);
  const auto add = [&](uint64_t offset, std::string bytes) {
    chunk.offset = offset;
    chunk.bytes = std::move(bytes);
    return receiver.Add(chunk);
  };
  CHECK_FALSE(add(0, "0123"));
  CHECK_FALSE(add(0, "0123"));
  CHECK_FALSE(add(8, "89"));
  CHECK(receiver.next_offset() == 4);
  CHECK_FALSE(add(4, "WRONG!"));
  CHECK(receiver.next_offset() == 0);
  CHECK_FALSE(add(0, "01234"));
  CHECK(add(5, "56789"));
  CHECK(receiver.TakeState() == state);
  chunk.total_size = 101;
  CHECK_FALSE(add(0, state));
  CHECK(receiver.next_offset() == 0);
}

}  // namespace
}  // namespace fulmarrock::test
