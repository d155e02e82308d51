#include <catch2/catch.hpp>

#include "tests/entry/entry_fixture.h"

namespace fulmarrock::test {
namespace {

ClaimReply MakeClaimReply(RequestId id, ClaimStatus status) {
  ClaimReply reply;
  reply.id = id;
  reply.status = status;
  reply.holder = {9, 1};
  reply.holder_entry = "entry-2";
  return reply;
}

// Guards against a keyed request that runs twice: nothing may run before the
// claim is committed.
TEST_CASE("a keyed request runs after its claim and reports its outcome") {
  EntryFixture fixture;
  const RequestId id = fixture.entry.Submit(EntryFixture::MakeKeyed());
  CHECK(fixture.transport.Take<RequestForward>().empty());
  fixture.Run(Millis(210));
  const auto claims = fixture.transport.Take<ClaimRequest>();
  REQUIRE(claims.size() == 2);
  CHECK(claims[0].second.id == id);
  fixture.entry.OnMessage("control-1",
                          MakeClaimReply(id, ClaimStatus::kGranted));
  fixture.entry.OnMessage("control-2",
                          MakeClaimReply(id, ClaimStatus::kGranted));
  const auto forwards = fixture.transport.Take<RequestForward>();
  REQUIRE(forwards.size() == 1);
  fixture.entry.OnMessage(forwards[0].first,
                          EntryFixture::MakeReply(id, Outcome::kAnswered));
  CHECK(fixture.FirstReply(id).body == "result");
  fixture.Run(Millis(410));
  CHECK(fixture.transport.Take<ClaimOutcome>().size() == 3);
  fixture.entry.OnMessage("control-1", ClaimOutcomeAck{id});
  fixture.Run(Millis(500));
  CHECK(fixture.transport.Take<ClaimOutcome>().empty());
}

// Guards against a request that runs after it was reported as not run, when
// control is unreachable: a grant that arrives late must neither run the
// request nor keep the key claimed.
TEST_CASE("without control a keyed request is not run, and never runs") {
  EntryFixture fixture;
  const RequestId id = fixture.entry.Submit(EntryFixture::MakeKeyed());
  fixture.entry.OnMessage("control-1",
                          MakeClaimReply(id, ClaimStatus::kUnavailable));
  fixture.Run(Millis(2000));
  CHECK(fixture.FirstReply(id).outcome == Outcome::kNotRun);
  fixture.entry.OnMessage("control-1", ClaimOutcomeAck{id});
  fixture.transport.Take<ClaimOutcome>();
  fixture.entry.OnMessage("control-1",
                          MakeClaimReply(id, ClaimStatus::kGranted));
  CHECK(fixture.transport.Take<RequestForward>().empty());
  const auto outcomes = fixture.transport.Take<ClaimOutcome>();
  REQUIRE(outcomes.size() == 1);
  CHECK(outcomes[0].second.outcome == Outcome::kNotRun);
}

// Guards against a second run when a caller repeats a slow request.
TEST_CASE("a repeat at the same entry joins, then gets the cached response") {
  EntryFixture fixture;
  const RequestId first = fixture.entry.Submit(EntryFixture::MakeKeyed());
  const RequestId joined = fixture.entry.Submit(EntryFixture::MakeKeyed());
  CallerRequest other = EntryFixture::MakeKeyed();
  other.body = "another cell";
  const RequestId reused = fixture.entry.Submit(other);
  fixture.entry.OnMessage("control-1",
                          MakeClaimReply(first, ClaimStatus::kGranted));
  const auto forwards = fixture.transport.Take<RequestForward>();
  REQUIRE(forwards.size() == 1);
  fixture.entry.OnMessage(forwards[0].first,
                          EntryFixture::MakeReply(first, Outcome::kAnswered));
  const RequestId later = fixture.entry.Submit(EntryFixture::MakeKeyed());
  fixture.Run(Millis(10));
  for (const RequestId id : {first, joined, later}) {
    REQUIRE(fixture.replies[id].size() == 1);
    CHECK(fixture.FirstReply(id).body == "result");
  }
  CHECK(fixture.FirstReply(reused).outcome == Outcome::kRefused);
  CHECK(fixture.transport.Take<RequestForward>().empty());
}

// Guards against the response of a slow request that is lost at its deadline
// instead of being returned to a repeat.
TEST_CASE("a response after the deadline answers a repeat") {
  EntryFixture fixture;
  CallerRequest request = EntryFixture::MakeKeyed();
  request.deadline = Millis(500);
  const RequestId first = fixture.entry.Submit(request);
  fixture.entry.OnMessage("control-1",
                          MakeClaimReply(first, ClaimStatus::kGranted));
  const NodeId node = fixture.transport.Take<RequestForward>().at(0).first;
  fixture.Run(Millis(600));
  CHECK(fixture.FirstReply(first).outcome == Outcome::kOutcomeUnknown);
  const RequestId repeat = fixture.entry.Submit(request);
  fixture.entry.OnMessage(node,
                          EntryFixture::MakeReply(first, Outcome::kAnswered));
  CHECK(fixture.FirstReply(repeat).body == "result");
}

// Guards against a second run, or a wrong reply, when a caller repeats a
// request through another entry; one section for each outcome of the first
// request.
TEST_CASE("a repeat of a claim held by another entry gets its response") {
  EntryFixture fixture;
  const RequestId id = fixture.entry.Submit(EntryFixture::MakeKeyed());
  ClaimReply claim = MakeClaimReply(id, ClaimStatus::kFinished);
  claim.outcome = Outcome::kAnswered;
  claim.response_status = 200;
  fixture.entry.OnMessage("control-1", claim);
  const auto fetches = fixture.transport.Take<ResponseFetch>();
  REQUIRE(fetches.size() == 1);
  CHECK(fetches[0].first == "entry-2");
  const RequestReply reply =
      EntryFixture::MakeReply(claim.holder, Outcome::kAnswered);
  SECTION("known response") {
    RequestReply damaged = reply;
    damaged.body.pop_back();
    fixture.entry.OnMessage("entry-2", ResponseFetchReply{id, true, damaged});
    CHECK(fixture.replies.empty());
    fixture.entry.OnMessage("entry-2", ResponseFetchReply{id, true, reply});
    CHECK(fixture.FirstReply(id).body == "result");
  }
  SECTION("response no longer cached") {
    fixture.entry.OnMessage("entry-2", ResponseFetchReply{id, false, {}});
    CHECK(fixture.FirstReply(id).outcome == Outcome::kOutcomeUnknown);
    CHECK(fixture.FirstReply(id).reason.find("already answered") == 0);
  }
  SECTION("owner does not reply") {
    fixture.Run(Millis(10'000));
    CHECK(fixture.FirstReply(id).outcome == Outcome::kOutcomeUnknown);
  }
  SECTION("first request did not run") {
    fixture.transport.Take<ClaimRequest>();
    fixture.entry.OnMessage(
        "entry-2",
        ResponseFetchReply{
            id, true, EntryFixture::MakeReply(claim.holder, Outcome::kNotRun)});
    CHECK(fixture.transport.Take<ClaimRequest>().size() == 1);
  }
  CHECK(fixture.transport.Take<RequestForward>().empty());
}

TEST_CASE("the owner of a claim sends its response to other entries") {
  EntryFixture fixture;
  const RequestId id = fixture.entry.Submit(EntryFixture::MakeKeyed());
  fixture.entry.OnMessage("control-1",
                          MakeClaimReply(id, ClaimStatus::kGranted));
  const NodeId node = fixture.transport.Take<RequestForward>().at(0).first;
  fixture.entry.OnMessage("entry-2", ResponseFetch{{9, 1}, id});
  fixture.entry.OnMessage("entry-2", ResponseFetch{{9, 1}, id});
  CHECK(fixture.transport.Take<ResponseFetchReply>().empty());
  fixture.entry.OnMessage(node,
                          EntryFixture::MakeReply(id, Outcome::kAnswered));
  auto sent = fixture.transport.Take<ResponseFetchReply>();
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].second.reply.body == "result");
  fixture.entry.OnMessage("entry-2", ResponseFetch{{9, 2}, id});
  fixture.entry.OnMessage("entry-2", ResponseFetch{{9, 3}, {4, 1}});
  sent = fixture.transport.Take<ResponseFetchReply>();
  REQUIRE(sent.size() == 2);
  CHECK(sent[0].second.is_known);
  CHECK_FALSE(sent[1].second.is_known);
}

}  // namespace
}  // namespace fulmarrock::test
