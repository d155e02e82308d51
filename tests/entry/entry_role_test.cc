#include "source/entry/entry_role.h"

#include <catch2/catch.hpp>

#include "tests/entry/entry_fixture.h"

namespace fulmarrock::test {
namespace {

// Guards against malformed input that uses memory or reaches a target.
TEST_CASE("malformed requests are refused with a remedy") {
  EntryFixture fixture;
  std::vector<CallerRequest> faulty(5, EntryFixture::MakeRequest(true));
  faulty[0].customer.clear();
  faulty[1].service.clear();
  faulty[2].deadline = Millis(0);
  faulty[3].body.resize(5 << 20);
  faulty[4].key.resize(5000);
  for (const CallerRequest& request : faulty) {
    const RequestId id = fixture.entry.Submit(request);
    CHECK(fixture.replies.empty());
    fixture.Run(Millis(10));
    CHECK(fixture.FirstReply(id).outcome == Outcome::kRefused);
    CHECK_FALSE(fixture.FirstReply(id).reason.empty());
    fixture.replies.clear();
  }
  CHECK(fixture.transport.Take<RequestForward>().empty());
}

// Guards against requests sent to a target that is draining or that stopped
// sending announcements.
TEST_CASE("draining, unresponsive and unknown targets get no requests") {
  EntryFixture fixture;
  fixture.Announce("agent-1", 7, true);
  fixture.Announce("agent-2", 7, true);
  fixture.entry.Submit(EntryFixture::MakeRequest(true));
  CHECK(fixture.transport.Take<RequestForward>().at(0).first == "agent-3");
  fixture.Run(Millis(2000));
  const RequestId id = fixture.entry.Submit(EntryFixture::MakeRequest(true));
  fixture.Run(Millis(10));
  CHECK(fixture.FirstReply(id).outcome == Outcome::kNotRun);
  // Targets that are new or usable again are used at once, although the subset
  // of a service is reused for a second.
  fixture.Announce("agent-1", 7);
  fixture.entry.Submit(EntryFixture::MakeRequest(true));
  CHECK(fixture.transport.Take<RequestForward>().at(0).first == "agent-1");
  fixture.Announce("agent-4");
  fixture.Announce("agent-1", 7, true);
  fixture.entry.Submit(EntryFixture::MakeRequest(true));
  CHECK(fixture.transport.Take<RequestForward>().at(0).first == "agent-4");
}

// Guards against a caller that gets a truncated response, a second reply or the
// reply of a node that was not sent the request.
TEST_CASE("a damaged reply is queried again; a late one is dropped") {
  EntryFixture fixture;
  const RequestId id = fixture.entry.Submit(EntryFixture::MakeRequest(false));
  const NodeId node = fixture.transport.Take<RequestForward>().at(0).first;
  RequestReply reply = EntryFixture::MakeReply(id, Outcome::kAnswered);
  reply.body.pop_back();
  fixture.entry.OnMessage(node, reply);
  fixture.Run(Millis(10));
  CHECK(fixture.replies.empty());
  CHECK(fixture.transport.Take<RequestQuery>().at(0).first == node);
  reply = EntryFixture::MakeReply(id, Outcome::kAnswered);
  fixture.entry.OnMessage("agent-9", reply);
  CHECK(fixture.replies.empty());
  fixture.entry.OnMessage(node, reply);
  fixture.entry.OnMessage(node, reply);
  CHECK(fixture.replies[id].size() == 1);
  CHECK(fixture.FirstReply(id).body == "result");
  CHECK(fixture.entry.counters().Get("replies_dropped") == 2);
}

// Guards against a non-idempotent request that runs twice, or that is reported
// as not run although it may have run, when its target cannot be reached.
TEST_CASE("a non-idempotent request is sent to only one target") {
  EntryFixture fixture;
  fixture.FillRetryBudget(3);
  const RequestId id = fixture.entry.Submit(EntryFixture::MakeRequest(false));
  const NodeId node = fixture.transport.Take<RequestForward>().at(0).first;
  SECTION("no reply by the deadline is unknown") {
    fixture.Run(Millis(10'000));
    CHECK(fixture.FirstReply(id).outcome == Outcome::kOutcomeUnknown);
    CHECK(fixture.transport.Take<RequestQuery>().size() > 10);
  }
  SECTION("a refusal is not run") {
    fixture.entry.OnMessage(node,
                            EntryFixture::MakeReply(id, Outcome::kNotRun));
    CHECK(fixture.FirstReply(id).outcome == Outcome::kNotRun);
  }
  SECTION("never started under the same incarnation is not run") {
    fixture.entry.OnMessage(
        node, RequestQueryReply{id, RequestProgress::kNeverStarted, 7});
    CHECK(fixture.FirstReply(id).outcome == Outcome::kNotRun);
  }
  SECTION("never started under another incarnation is unknown") {
    fixture.entry.OnMessage(
        node, RequestQueryReply{id, RequestProgress::kNeverStarted, 8});
    CHECK(fixture.FirstReply(id).outcome == Outcome::kOutcomeUnknown);
  }
  SECTION("a refusal by a restarted agent is unknown") {
    RequestReply reply = EntryFixture::MakeReply(id, Outcome::kNotRun);
    reply.target_incarnation = 8;
    fixture.entry.OnMessage(node, reply);
    CHECK(fixture.FirstReply(id).outcome == Outcome::kOutcomeUnknown);
  }
  CHECK(fixture.transport.Take<RequestForward>().empty());
}

// Guards against an idempotent request that is lost with its target.
TEST_CASE("an idempotent request is retried when its target fails") {
  EntryFixture fixture;
  fixture.FillRetryBudget(1);
  const RequestId id = fixture.entry.Submit(EntryFixture::MakeRequest(true));
  const NodeId first = fixture.transport.Take<RequestForward>().at(0).first;
  SECTION("unresponsive target") {
    fixture.Run(Millis(600));
  }
  SECTION("restarted agent") {
    fixture.Announce(first, 8);
    fixture.Run(Millis(10));
    CHECK(fixture.transport.Take<RequestQuery>().size() == 1);
    fixture.entry.OnMessage(
        first, RequestQueryReply{id, RequestProgress::kUnknown, 8});
  }
  const auto [second, message] = fixture.transport.Take<RequestForward>().at(0);
  CHECK(second != first);
  CHECK(message.id != id);
  fixture.entry.OnMessage(
      second, EntryFixture::MakeReply(message.id, Outcome::kAnswered));
  CHECK(fixture.FirstReply(id).outcome == Outcome::kAnswered);
}

// Guards against retries that multiply the load on a failing service.
TEST_CASE("retries stay within a tenth of the original requests") {
  EntryFixture fixture;
  int attempts = 0;
  for (int i = 0; i < 200; ++i) {
    const RequestId id = fixture.entry.Submit(EntryFixture::MakeRequest(true));
    for (auto sent = fixture.transport.Take<RequestForward>(); !sent.empty();
         sent = fixture.transport.Take<RequestForward>()) {
      ++attempts;
      RequestReply reply =
          EntryFixture::MakeReply(sent[0].second.id, Outcome::kAnswered);
      reply.status = 500;
      fixture.entry.OnMessage(sent[0].first, reply);
    }
    CHECK(fixture.FirstReply(id).status == 500);
  }
  CHECK(attempts > 210);
  CHECK(attempts <= 220);
}

// Guards against a notebook cell that runs at a target without its kernel.
TEST_CASE("a request with an affinity goes only to the owner") {
  EntryFixture fixture;
  CallerRequest request = EntryFixture::MakeRequest(false);
  request.affinity = "kernel-1";
  const RequestId unowned = fixture.entry.Submit(request);
  fixture.Announce("agent-2", 7, false, {"kernel-1"});
  fixture.entry.Submit(request);
  CHECK(fixture.transport.Take<RequestForward>().at(0).first == "agent-2");
  fixture.Announce("agent-3", 7, false, {"kernel-1"});
  const RequestId disputed = fixture.entry.Submit(request);
  CHECK(fixture.transport.Take<RequestForward>().empty());
  fixture.Run(Millis(10));
  CHECK(fixture.FirstReply(unowned).outcome == Outcome::kNotRun);
  CHECK(fixture.FirstReply(disputed).outcome == Outcome::kNotRun);
}

// Guards against an older configuration that replaces a newer one when messages
// are reordered or repeated.
TEST_CASE("the configuration never goes back to a lower version") {
  EntryFixture fixture;
  fixture.Run(Millis(10));
  CHECK(fixture.transport.Take<ConfigPoll>().at(0).first == "control-1");
  Plan plan;
  plan.name = "small";
  plan.max_concurrent_requests = 1;
  ConfigSnapshot message{5, {{plan}, {{"north-gallery", "small"}}}};
  fixture.entry.OnMessage("agent-1", message);
  CHECK(fixture.entry.ConfigVersion() == 0);
  fixture.entry.OnMessage("control-1", message);
  CHECK(fixture.entry.ConfigVersion() == 5);
  CHECK(fixture.transport.Take<ConfigAck>().at(0).second.version == 5);
  fixture.entry.OnMessage("control-2", ConfigSnapshot{4, {}});
  ConfigurationChange change;
  change.version = 7;
  fixture.entry.OnMessage("control-2", ConfigDelta{6, {change}});
  CHECK(fixture.entry.ConfigVersion() == 5);
  fixture.entry.OnMessage("control-2", ConfigDelta{5, {change}});
  CHECK(fixture.entry.ConfigVersion() == 7);

  const RequestId first = fixture.entry.Submit(EntryFixture::MakeRequest(true));
  const RequestId second =
      fixture.entry.Submit(EntryFixture::MakeRequest(true));
  CallerRequest unknown = EntryFixture::MakeRequest(true);
  unknown.customer = "nobody";
  const RequestId third = fixture.entry.Submit(unknown);
  fixture.Run(Millis(10));
  CHECK(fixture.replies[first].empty());
  CHECK(fixture.FirstReply(second).outcome == Outcome::kNotRun);
  CHECK(fixture.FirstReply(third).outcome == Outcome::kRefused);
}

TEST_CASE("another control member is polled when one does not reply") {
  EntryFixture fixture;
  fixture.Run(Millis(700));
  const auto polls = fixture.transport.Take<ConfigPoll>();
  REQUIRE(polls.size() == 2);
  CHECK(polls[1].first == "control-2");
}

// Guards against requests in progress that are lost in a graceful shutdown.
TEST_CASE("a graceful shutdown refuses new requests and finishes the others") {
  EntryFixture fixture;
  const RequestId running =
      fixture.entry.Submit(EntryFixture::MakeRequest(true));
  const NodeId node = fixture.transport.Take<RequestForward>().at(0).first;
  fixture.entry.BeginShutdown();
  const RequestId late = fixture.entry.Submit(EntryFixture::MakeRequest(true));
  fixture.Run(Millis(10));
  CHECK(fixture.FirstReply(late).outcome == Outcome::kNotRun);
  CHECK_FALSE(fixture.entry.IsDrained());
  fixture.entry.OnMessage(node,
                          EntryFixture::MakeReply(running, Outcome::kAnswered));
  CHECK(fixture.FirstReply(running).outcome == Outcome::kAnswered);
  CHECK(fixture.entry.IsDrained());
  CHECK(fixture.entry.DumpState().find("\"stopping\":true") !=
        std::string::npos);
}

}  // namespace
// Guards against a state dump that ends the process because a malformed message
// brought a name that is not valid UTF-8.
TEST_CASE("a target with a malformed name does not break the state dump") {
  EntryFixture fixture;
  fixture.Announce("agent-\xff", 7, false, {"kernel-\xc3"});
  CHECK(fixture.entry.DumpState().find("agent-") != std::string::npos);
}

}  // namespace fulmarrock::test
