#include <catch2/catch.hpp>

#include "source/control/membership_manager.h"
#include "tests/support/manual_clock.h"

namespace fulmarrock::test {
namespace {

/// A log whose members and leadership are set by the test.
class ScriptedLog : public ReplicatedLog {
 public:
  Result<LogIndex> Propose(std::string) override { return LogIndex{1}; }
  bool IsLeader() const override { return is_leader; }
  NodeId Leader() const override { return leader; }
  Term CurrentTerm() const override { return 1; }
  LogIndex CommitIndex() const override { return 1; }
  std::vector<NodeId> UnresponsiveMembers(Millis) const override {
    return unresponsive;
  }
  Incarnation OwnIncarnation() const override { return 11; }
  std::vector<Member> Members() const override { return members; }
  Result<LogIndex> AddMember(const NodeId& node,
                             Incarnation incarnation) override {
    added.push_back({node, incarnation, false});
    return LogIndex{2};
  }
  Result<LogIndex> RemoveMember(const NodeId& node) override {
    removed.push_back(node);
    return LogIndex{2};
  }

  bool is_leader = false;
  NodeId leader;
  std::vector<Member> members;
  std::vector<NodeId> unresponsive;
  std::vector<Member> added;
  std::vector<NodeId> removed;
};

class RecordingTransport : public Transport {
 public:
  void Send(const NodeId& to, const Message& message) override {
    sent.push_back(to);
    if (const auto* view = std::get_if<GroupView>(&message))
      views.push_back(*view);
  }
  void LearnAddress(const NodeId&, std::string_view) override {}

  std::vector<NodeId> sent;
  std::vector<GroupView> views;
};

struct Fixture {
  ManualClock clock;
  RecordingTransport transport;
  ScriptedLog log;
  NullDecisionLog decisions;
  MembershipManager membership_manager{"me", {"a", "b", "me"}, clock, transport,
                                       log,  decisions};
};

}  // namespace

// Guards against a member that never finds its group: it must send join
// requests to all nodes it knows, once per interval, also to those it learned
// of later.
TEST_CASE("a member outside the group sends join requests to known nodes") {
  Fixture fixture;
  fixture.membership_manager.OnTick();
  CHECK(fixture.transport.sent == std::vector<NodeId>{"a", "b"});
  fixture.membership_manager.OnTick();
  CHECK(fixture.transport.sent.size() == 2);
  fixture.membership_manager.OnMessage("a", GroupView{"c", {"a", "c"}});
  fixture.clock.Advance(Millis(600));
  fixture.membership_manager.OnTick();
  CHECK(fixture.transport.sent.size() == 5);
}

// Guards against a member that was removed while it was down or partitioned:
// its own log still lists it as a member, so it must join again because it
// knows no leader.
TEST_CASE("a member that knows no leader for long sends join requests") {
  Fixture fixture;
  fixture.log.members = {{"me", 11, true}, {"a", 1, true}};
  fixture.membership_manager.OnTick();
  CHECK(fixture.transport.sent.empty());
  fixture.clock.Advance(Millis(4'000));
  fixture.membership_manager.OnTick();
  CHECK_FALSE(fixture.transport.sent.empty());
}

// Guards against two identities of one node in the group: a member whose data
// folder was replaced must not be added before its old identity is removed.
TEST_CASE("the old identity of a member is removed before the new is added") {
  Fixture fixture;
  fixture.log.is_leader = true;
  fixture.log.leader = "me";
  fixture.log.members = {{"me", 11, true}, {"a", 1, true}, {"b", 2, true}};
  // Nobody replies under the old identity any more.
  fixture.log.unresponsive = {"a"};
  fixture.membership_manager.OnMessage("a", JoinRequest{7});
  CHECK(fixture.log.removed == std::vector<NodeId>{"a"});
  CHECK(fixture.log.added.empty());
  fixture.log.members = {{"me", 11, true}, {"b", 2, true}};
  fixture.membership_manager.OnMessage("a", JoinRequest{7});
  REQUIRE(fixture.log.added.size() == 1);
  CHECK(fixture.log.added[0].incarnation == 7);
}

// Guards against a member that is removed, and an identity that was removed
// before and is in use again, because a request of the earlier data folder
// arrives late.
TEST_CASE("a late request of an earlier identity changes no member") {
  Fixture fixture;
  fixture.log.is_leader = true;
  fixture.log.leader = "me";
  fixture.log.members = {{"me", 11, true}, {"a", 7, true}, {"b", 2, true}};
  fixture.membership_manager.OnMessage("a", JoinRequest{1});
  CHECK(fixture.log.removed.empty());
  CHECK(fixture.log.added.empty());
}

// Guards against a group that loses fault tolerance because the leader removes
// an unresponsive member from a group with an odd number of members.
TEST_CASE("an unresponsive member is removed only from an even group") {
  Fixture fixture;
  fixture.log.is_leader = true;
  fixture.log.leader = "me";
  fixture.log.unresponsive = {"a"};
  fixture.log.members = {{"me", 11, true}, {"a", 1, true}, {"b", 2, true}};
  fixture.membership_manager.OnTick();
  CHECK(fixture.log.removed.empty());
  fixture.log.members.push_back({"c", 3, true});
  fixture.clock.Advance(Millis(1'100));
  fixture.membership_manager.OnTick();
  CHECK(fixture.log.removed == std::vector<NodeId>{"a"});
}

// Guards against a member that discards its data because a leader without a
// quorum, or a query alone, made the group look different from what it is.
TEST_CASE("a query names only a leader with a quorum and changes no member") {
  Fixture fixture;
  fixture.log.leader = "me";
  fixture.log.members = {{"me", 11, true}, {"a", 1, true}, {"b", 2, true}};
  fixture.membership_manager.OnMessage("a", JoinRequest{});
  REQUIRE(fixture.transport.views.size() == 1);
  CHECK(fixture.transport.views[0].leader.empty());
  fixture.log.is_leader = true;
  fixture.membership_manager.OnMessage("a", JoinRequest{});
  REQUIRE(fixture.transport.views.size() == 2);
  CHECK(fixture.transport.views[1].leader == "me");
  CHECK(fixture.log.removed.empty());
  CHECK(fixture.log.added.empty());
}

}  // namespace fulmarrock::test
