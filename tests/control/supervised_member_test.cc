#include "source/control/supervised_member.h"

#include <map>
#include <memory>
#include <string>

#include <catch2/catch.hpp>

#include "source/base/seeded_random.h"
#include "source/storage/damaged_data.h"
#include "tests/support/fake_network.h"
#include "tests/support/fake_storage.h"
#include "tests/support/manual_clock.h"

namespace fulmarrock::test {
namespace {

constexpr const char* kFirstSegment = "log-0000000000000001";

class FixedWallClock : public WallClock {
 public:
  int64_t NowUnixMs() const override { return 1'000'000; }
};

/// Control members of one group that find each other, with their disks.
class MemberGroup {
 public:
  explicit MemberGroup(const std::vector<NodeId>& nodes) : m_nodes(nodes) {
    for (const NodeId& node : nodes)
      Start(node);
    REQUIRE(RunUntil([this] { return !Leader().empty(); }));
  }

  void Start(const NodeId& node) {
    SupervisedMemberOptions options;
    options.consensus.node = node;
    options.consensus.initial_members = m_nodes;
    options.seed_nodes = m_nodes;
    options.discovers_members = true;
    auto member = std::make_unique<SupervisedMember>(
        options, SupervisedMemberEnvironment{clock, m_network.TransportOf(node),
                                             m_random, disks[node],
                                             m_wall_clock, m_decisions});
    REQUIRE(member->Start());
    SupervisedMember* const raw = member.get();
    m_network.SetHandler(node,
                         [raw](const NodeId& from, const Message& message) {
                           raw->OnMessage(from, message);
                         });
    members.insert_or_assign(node, std::move(member));
  }

  void Stop(const NodeId& node) {
    m_network.SetHandler(node, {});
    members.erase(node);
  }

  void Run(Millis duration) {
    for (Millis passed; passed < duration; passed += kTickInterval) {
      clock.Advance(kTickInterval);
      m_network.DeliverDue();
      for (auto& [node, member] : members)
        member->OnTick();
    }
  }

  template <typename Condition>
  bool RunUntil(Condition condition, Millis limit = Millis(20'000)) {
    for (Millis passed; passed <= limit; passed += kTickInterval) {
      if (condition())
        return true;
      Run(kTickInterval);
    }
    return false;
  }

  NodeId Leader() {
    for (auto& [node, member] : members) {
      if (member->member() && member->member()->consensus().IsLeader())
        return node;
    }
    return {};
  }

  NodeId AnyFollower() {
    for (const auto& [node, member] : members) {
      if (node != Leader())
        return node;
    }
    return {};
  }

  /// Whether the leader counts the node's present data folder as a voter.
  bool IsVoter(const NodeId& node) {
    const NodeId leader = Leader();
    if (leader.empty() || !members.at(node)->member())
      return false;
    const Incarnation incarnation =
        members.at(node)->member()->consensus().OwnIncarnation();
    for (const Member& member :
         members.at(leader)->member()->consensus().Members()) {
      if (member.node == node)
        return member.is_voter && member.incarnation == incarnation;
    }
    return false;
  }

  ManualClock clock;
  std::map<NodeId, FakeStorage> disks;
  std::map<NodeId, std::unique_ptr<SupervisedMember>> members;

 private:
  std::vector<NodeId> m_nodes;
  SeededRandom m_random{1};
  FakeNetwork m_network{clock, m_random};
  FixedWallClock m_wall_clock;
  NullDecisionLog m_decisions;
};

/// Damages the log of a stopped member before its last frame.
void DamageLog(FakeStorage& disk) {
  constexpr uint64_t kInsideFirstFrame = 50;
  disk.CorruptByte(kFirstSegment, kInsideFirstFrame);
}

}  // namespace

// Guards against a member with a damaged log that needs an operator although a
// quorum has everything that it stored.
TEST_CASE("a member with a damaged log joins again under a new identity") {
  MemberGroup group({"a", "b", "c"});
  const NodeId node = group.AnyFollower();
  REQUIRE(group.RunUntil([&] { return group.IsVoter(node); }));
  const Incarnation earlier =
      group.members.at(node)->member()->consensus().OwnIncarnation();
  group.Stop(node);
  DamageLog(group.disks[node]);
  group.Start(node);
  CHECK(group.members.at(node)->member() == nullptr);
  REQUIRE(group.RunUntil([&] { return group.IsVoter(node); }));
  CHECK(group.members.at(node)->member()->consensus().OwnIncarnation() !=
        earlier);
  CHECK(group.members.at(node)->counters().Get("data_set_aside") == 1);
  CHECK(*HasDamagedData(group.disks[node]));
}

// Guards against a member that votes, acknowledges or discards its data
// although the group may need it.
TEST_CASE("a member with a damaged log waits while the group has no quorum") {
  MemberGroup group({"a", "b", "c"});
  const NodeId leader = group.Leader();
  const NodeId node = group.AnyFollower();
  group.Stop(leader);
  group.Stop(node);
  DamageLog(group.disks[node]);
  group.Start(node);
  group.Run(Millis(20'000));
  CHECK(group.members.at(node)->member() == nullptr);
  CHECK_FALSE(*HasDamagedData(group.disks[node]));
  CHECK(group.Leader().empty());
  const std::string dump = group.members.at(node)->DumpState();
  CHECK(dump.find("is damaged at byte") != std::string::npos);
  CHECK(dump.find("\"is_data_damaged\":true") != std::string::npos);
  // Changes are refused as not done, so that a caller may go elsewhere.
  std::optional<Result<bool>> result;
  group.members.at(node)->service().RemoveMember(
      "a", [&](Result<bool> reply) { result = std::move(reply); });
  REQUIRE(result);
  CHECK(result->error().kind == ErrorKind::kNotLeader);
  // With the quorum back, the member joins again.
  group.Start(leader);
  CHECK(group.RunUntil([&] { return group.IsVoter(node); }));
}

// Guards against data that is set aside because of a reply which a process got
// before it was suspended; the group may have lost its quorum since.
TEST_CASE("a leader's reply counts for a second only") {
  ManualClock clock;
  SeededRandom random(1);
  FakeNetwork network(clock, random);
  GroupProbe probe("a", clock, network.TransportOf("a"));
  probe.OnGroupView("b", GroupView{"c", {"a", "b", "c"}});
  CHECK(probe.FindLeader().empty());
  probe.OnGroupView("c", GroupView{"c", {"a", "b", "c"}});
  CHECK(probe.FindLeader() == "c");
  clock.Advance(Millis(1'001));
  CHECK(probe.FindLeader().empty());
}

// Guards against a second group: a member whose data was set aside must not
// bootstrap, whatever its settings say.
TEST_CASE("a member whose data was set aside never bootstraps a group") {
  MemberGroup group({"a", "b", "c"});
  for (const NodeId node : {"a", "b", "c"}) {
    group.Stop(node);
    REQUIRE(SetDamagedDataAside(group.disks[node]));
  }
  for (const NodeId node : {"a", "b", "c"})
    group.Start(node);
  group.Run(Millis(10'000));
  CHECK(group.Leader().empty());
}

// Guards against a member that keeps its identity and loses its log when power
// is lost while its data is set aside.
TEST_CASE("data is set aside identity first, whenever power is lost") {
  constexpr uint64_t kMaxChanges = 12;
  SeededRandom random(7);
  for (uint64_t changes = 0; changes < kMaxChanges; ++changes) {
    for (int run = 0; run < 20; ++run) {
      FakeStorage disk;
      for (const char* name : {"log-1", "log-2", "member", "snapshot"})
        REQUIRE((*disk.Create(name))->Sync());
      REQUIRE(disk.SyncFolder());
      disk.FailAfter(changes);
      const bool is_done = SetDamagedDataAside(disk).has_value();
      disk.Crash(CrashKind::kMixWrites, random);
      const std::vector<std::string> names = *disk.List();
      const auto has = [&names](const std::string& name) {
        return std::find(names.begin(), names.end(), name) != names.end();
      };
      const bool is_whole = has("log-1") && has("log-2") && has("snapshot");
      CHECK((!has("member") || is_whole));
      if (is_done)
        CHECK_FALSE((has("member") || has("log-1") || has("snapshot")));
    }
  }
}

// Guards against a process that exits again and again while its disk is full,
// at its start and while it runs.
TEST_CASE("a member on a full disk waits and goes on when there is space") {
  MemberGroup group({"a", "b", "c"});
  const NodeId node = group.AnyFollower();
  REQUIRE(group.RunUntil([&] { return group.IsVoter(node); }));
  group.disks[node].SetCapacity(0);
  SupervisedMember& running = *group.members.at(node);
  group.members.at(group.Leader())
      ->service()
      .AddMember("d", Incarnation{99}, [](const Result<bool>&) {});
  REQUIRE(group.RunUntil(
      [&] { return running.counters().Get("member_failures") > 0; }));
  CHECK(running.member() == nullptr);
  group.Stop(node);
  group.Start(node);
  SupervisedMember& restarted = *group.members.at(node);
  group.Run(Millis(15'000));
  CHECK(restarted.member() == nullptr);
  // The pause grows, so that there are few attempts.
  CHECK(restarted.counters().Get("member_failures") < 12);
  CHECK(restarted.DumpState().find("disk is full") != std::string::npos);
  group.disks[node].SetCapacity(UINT64_MAX);
  REQUIRE(group.RunUntil([&] { return restarted.member() != nullptr; }));
  CHECK(group.RunUntil([&] { return group.IsVoter(node); }));
}

// Guards against a state dump that ends the process because a node asked to
// join under a name that is not valid UTF-8.
TEST_CASE("a member with a malformed name does not break the state dump") {
  MemberGroup group({"a", "b", "c"});
  SupervisedMember& leader = *group.members.at(group.Leader());
  leader.OnMessage("node-\xff", JoinRequest{5});
  group.Run(Millis(1'000));
  CHECK(leader.DumpState().find("node-") != std::string::npos);
}

}  // namespace fulmarrock::test
