#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "source/entry/leader_finder.h"
#include "tests/support/manual_clock.h"

// The entry's search for the leader, one message at a time.

namespace fulmarrock::test {
namespace {

/// Records to whom requests were sent.
class RecordingTransport : public Transport {
 public:
  void Send(const NodeId& to, const Message& message) override {
    REQUIRE(std::holds_alternative<GroupViewRequest>(message));
    asked.insert(to);
    ++request_count;
  }
  void LearnAddress(const NodeId&, std::string_view) override {}

  std::set<NodeId> Take() { return std::exchange(asked, {}); }

  std::set<NodeId> asked;
  size_t request_count = 0;
};

class FinderFixture {
 public:
  explicit FinderFixture(const std::vector<NodeId>& seeds = {"a", "b", "c"})
      : finder(seeds, clock, transport, decisions) {}

  /// Lets the time pass in ticks of 10 ms.
  void Run(Millis duration) {
    const Millis end = clock.Now() + duration;
    while (clock.Now() < end) {
      clock.Set(clock.Now() + Millis(10));
      finder.OnTick();
    }
  }

  /// The leader describes the group and replies to a call.
  void FollowLeader(const NodeId& leader,
                    Term term,
                    const std::vector<NodeId>& members) {
    finder.OnGroupView(leader, {leader, members, term});
    finder.OnLeaderReply(leader, term);
    transport.Take();
  }

  ManualClock clock;
  RecordingTransport transport;
  NullDecisionLog decisions;
  LeaderFinder finder;
};

}  // namespace

// Guards against a leader that has left and is never replaced.
TEST_CASE("A leader that leaves a call unanswered is searched for everywhere") {
  FinderFixture test;
  test.FollowLeader("b", 1, {"a", "b", "c", "d", "e"});
  const Millis sent_at = test.clock.Now() + Millis(10);
  test.clock.Set(sent_at + Millis(500));
  test.finder.OnUnanswered("b", sent_at);
  CHECK(test.finder.leader().empty());
  CHECK(test.transport.Take() == std::set<NodeId>{"a", "b", "c", "d", "e"});
}

// Guards against a search for a leader that is merely slow with one call.
TEST_CASE("A leader that replied to a later call stays the leader") {
  FinderFixture test;
  test.FollowLeader("b", 1, {"a", "b", "c"});
  const Millis sent_at = test.clock.Now();
  test.clock.Set(sent_at + Millis(100));
  test.finder.OnLeaderReply("b", 1);
  test.finder.OnUnanswered("b", sent_at);
  CHECK(test.finder.leader() == "b");
}

// Guards against a flood of searches, one for each waiting call, while a leader
// with a slow disk keeps many calls waiting.
TEST_CASE("A leader that describes the group stays the leader") {
  FinderFixture test;
  test.FollowLeader("b", 1, {"a", "b", "c"});
  const Millis sent_at = test.clock.Now() + Millis(10);
  test.clock.Set(sent_at + Millis(500));
  test.finder.OnUnanswered("b", sent_at);
  CHECK(test.transport.Take().size() == 3);
  test.finder.OnGroupView("b", {"b", {"a", "b", "c"}, 1});
  for (int call = 0; call < 5; ++call)
    test.finder.OnUnanswered("b", sent_at + Millis(call));
  CHECK(test.finder.leader() == "b");
  CHECK(test.transport.Take().empty());
}

// Guards against calls that go to the same two members in turn.
TEST_CASE("Without a leader calls go to all candidates in turn") {
  FinderFixture test;
  std::set<NodeId> chosen;
  for (int i = 0; i < 3; ++i)
    chosen.insert(test.finder.ChooseNode());
  CHECK(chosen == std::set<NodeId>{"a", "b", "c"});
}

// Guards against a member that is cut off from its group and brings back the
// leader that has left.
TEST_CASE("A view of an earlier term does not name the leader") {
  FinderFixture test;
  test.FollowLeader("b", 3, {"a", "b", "c"});
  test.finder.OnGroupView("c", {"a", {"a", "b", "c"}, 2});
  CHECK(test.finder.leader() == "b");
  test.finder.OnGroupView("c", {"c", {"a", "b", "c"}, 4});
  CHECK(test.finder.leader() == "c");
}

// Guards against the late reply of a leader that has been replaced.
TEST_CASE("A reply from an earlier term does not name the leader") {
  FinderFixture test;
  test.FollowLeader("b", 3, {"a", "b", "c"});
  test.finder.OnLeaderReply("a", 2);
  CHECK(test.finder.leader() == "b");
}

// Guards against a search that ends with the same silent leader again and
// again, because its followers have not noticed yet that it has left.
TEST_CASE("Another member does not bring back a leader that did not reply") {
  FinderFixture test;
  test.FollowLeader("b", 1, {"a", "b", "c"});
  test.clock.Set(test.clock.Now() + Millis(600));
  test.finder.OnUnanswered("b", test.clock.Now());
  test.finder.OnGroupView("a", {"b", {"a", "b", "c"}, 1});
  CHECK(test.finder.leader().empty());
  test.finder.OnGroupView("b", {"b", {"a", "b", "c"}, 1});
  CHECK(test.finder.leader() == "b");
}

// Guards against an entry whose settings name only members that have left by
// the time it needs them.
TEST_CASE("The members are learned from the leader, and those that left go") {
  FinderFixture test;
  test.Run(Millis(10));
  test.FollowLeader("a", 1, {"a", "b", "c"});
  test.Run(Millis(3'100));
  CHECK(test.transport.Take() == std::set<NodeId>{"a"});
  test.finder.OnGroupView("a", {"a", {"a", "b", "c", "d"}, 1});
  test.finder.OnGroupView("a", {"a", {"a", "b", "c", "e"}, 1});
  CHECK(test.finder.candidates() == std::set<NodeId>{"a", "b", "c", "e"});
  test.finder.SetSeeds({"e", "f"});
  CHECK(test.finder.candidates() == std::set<NodeId>{"a", "b", "c", "e", "f"});
}

// Guards against an idle entry that notices only with its next call that the
// leader is gone.
TEST_CASE("All members are asked when the leader does not describe the group") {
  FinderFixture test;
  test.FollowLeader("a", 1, {"a", "b", "c"});
  test.Run(Millis(3'100));
  test.transport.Take();
  test.Run(Millis(3'100));
  CHECK(test.transport.Take() == std::set<NodeId>{"a", "b", "c"});
  CHECK(test.finder.leader().empty());
}

// Guards against searches in every tick while a leader that is about to leave
// disclaims what its followers still say.
TEST_CASE("Contradicting members do not cause more searches") {
  FinderFixture test;
  test.FollowLeader("b", 1, {"a", "b", "c"});
  test.Run(Millis(600));
  test.transport.request_count = 0;
  for (int i = 0; i < 100; ++i) {
    test.finder.OnGroupView("b", {"", {"a", "b", "c"}, 1});
    test.Run(Millis(10));
    test.finder.OnGroupView("a", {"b", {"a", "b", "c"}, 1});
    test.Run(Millis(10));
  }
  // Two seconds, at most two searches of three members a second.
  CHECK(test.transport.request_count <= 15);
}

// Guards against an entry that trusts nobody any more after a wrong term.
TEST_CASE("A search without result forgets what was known of earlier leaders") {
  FinderFixture test;
  test.FollowLeader("b", 900, {"a", "b", "c"});
  test.clock.Set(test.clock.Now() + Millis(600));
  test.finder.OnUnanswered("b", test.clock.Now());
  test.finder.OnGroupView("a", {"c", {"a", "c"}, 2});
  CHECK(test.finder.leader().empty());
  test.Run(Millis(5'100));
  test.finder.OnGroupView("a", {"c", {"a", "c"}, 2});
  CHECK(test.finder.leader() == "c");
}

// Guards against an entry that cannot find the leader through members of an
// earlier version, which name no term.
TEST_CASE("A member of an earlier version names the leader without a term") {
  FinderFixture test;
  WorkflowReply reply;
  reply.leader = "c";
  test.finder.OnNotLeader("a", reply);
  CHECK(test.finder.leader() == "c");
}

}  // namespace fulmarrock::test
