#include "source/agent/request_server.h"

#include <string>

#include <catch2/catch.hpp>

#include "source/base/checksum.h"
#include "tests/interactive/fake_target.h"
#include "tests/interactive/recording_transport.h"

namespace fulmarrock::test {
namespace {

struct Agent {
  explicit Agent(RequestServerOptions options = {})
      : target(clock), m_options(Complete(std::move(options))) {
    target.service_time = Millis(100);
  }

  static RequestServerOptions Complete(RequestServerOptions options) {
    options.service = "kernel-svc";
    options.incarnation = 7;
    options.entries = {"entry-1"};
    return options;
  }

  static RequestForward MakeForward(uint64_t sequence) {
    RequestForward forward;
    forward.id = {1, sequence};
    forward.customer = "north-gallery";
    forward.service = "kernel-svc";
    forward.remaining = Millis(5000);
    forward.target_incarnation = 7;
    forward.body = "body-" + std::to_string(sequence);
    forward.body_checksum = Checksum(forward.body);
    return forward;
  }

  void Send(const Message& message) { server.OnMessage("entry-1", message); }
  void Send(uint64_t first, uint64_t last) {
    for (uint64_t i = first; i <= last; ++i)
      Send(MakeForward(i));
  }

  void Run(Millis duration) {
    for (const Millis end = clock.Now() + duration; clock.Now() < end;) {
      clock.Advance(Millis(10));
      target.Step();
      server.OnTick();
    }
  }

  std::vector<RequestReply> TakeReplies() {
    std::vector<RequestReply> replies;
    for (auto& [to, reply] : transport.Take<RequestReply>())
      replies.push_back(reply);
    return replies;
  }

  RequestProgress Ask(uint64_t sequence, Incarnation incarnation = 7) {
    Send(RequestQuery{{1, sequence}, incarnation});
    return transport.Take<RequestQueryReply>().at(0).second.progress;
  }

  std::string StartedBodies() const {
    std::string bodies;
    for (const Execution& execution : target.executions())
      bodies += execution.body.substr(5) + " ";
    return bodies;
  }

  ManualClock clock;
  RecordingTransport transport;
  FakeTarget target;
  Counters counters;
  RequestServerOptions m_options;
  RequestServer server{m_options, clock, transport, target, counters};
};

// The network may duplicate a message; the duplicate must not execute the
// request a second time.
TEST_CASE("a duplicate never runs and gets the first reply again") {
  Agent agent;
  agent.Send(1, 1);
  agent.Send(1, 1);
  agent.Run(Millis(200));
  REQUIRE(agent.TakeReplies().size() == 1);
  agent.Send(1, 1);
  const auto replies = agent.TakeReplies();
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].body == AnswerTo("body-1"));
  CHECK(agent.target.executions().size() == 1);
}

// After a reply "never started" to a query, the entry may send the request to
// another target. A duplicate that arrives late must not run.
TEST_CASE("a query for an unknown request refuses a late duplicate of it") {
  Agent agent;
  CHECK(agent.Ask(1) == RequestProgress::kNeverStarted);
  agent.Send(1, 1);
  const auto replies = agent.TakeReplies();
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].outcome == Outcome::kNotRun);
  CHECK(agent.target.executions().empty());
}

TEST_CASE("replies to queries contain the progress of a request") {
  Agent agent;
  agent.Send(1, 9);
  CHECK(agent.Ask(1) == RequestProgress::kRunning);
  CHECK(agent.Ask(9) == RequestProgress::kQueued);
  agent.Run(Millis(150));
  agent.TakeReplies();
  CHECK(agent.Ask(1) == RequestProgress::kFinished);
  CHECK(agent.TakeReplies().size() == 1);
}

// Guards against a restarted agent that runs a request again, or reports it as
// not run, although the earlier incarnation may have run it.
TEST_CASE(
    "a request for another agent incarnation is unknown and does not run") {
  Agent agent;
  RequestForward forward = Agent::MakeForward(1);
  forward.target_incarnation = 6;
  agent.Send(forward);
  const auto replies = agent.TakeReplies();
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].outcome == Outcome::kOutcomeUnknown);
  CHECK(agent.Ask(1, 6) == RequestProgress::kUnknown);
  CHECK(agent.target.executions().empty());
}

// Guards against running a request twice after its record was dropped to bound
// memory.
TEST_CASE("an id whose record may have been dropped never runs again") {
  RequestServerOptions options;
  options.records.max_ended = 2;
  Agent agent(options);
  for (uint64_t i = 10; i < 15; ++i) {
    agent.Send(i, i);
    agent.Run(Millis(150));
  }
  agent.TakeReplies();
  agent.Send(10, 10);
  agent.Send(5, 5);
  for (const RequestReply& reply : agent.TakeReplies())
    CHECK(reply.outcome == Outcome::kOutcomeUnknown);
  CHECK(agent.Ask(11) == RequestProgress::kUnknown);
  CHECK(agent.target.executions().size() == 5);
  agent.Send(15, 15);
  CHECK(agent.target.executions().size() == 6);
}

// The same when the table of dropped sequence numbers itself is full.
TEST_CASE("ids of entries that do not fit in the table count as dropped") {
  RequestRecords::Limits limits;
  limits.max_ended = 0;
  limits.max_entries = 1;
  RequestRecords records(limits);
  RequestReply reply;
  for (uint64_t entry : {1, 2}) {
    reply.id = {entry, 5};
    records.End(Millis(0), RequestRecords::State::kRefused, reply);
  }
  CHECK(records.MayHaveBeenDropped({1, 5}));
  CHECK_FALSE(records.MayHaveBeenDropped({1, 6}));
  CHECK(records.MayHaveBeenDropped({2, 5}));
}

// Guards the limit of running requests to the slots, and the order in which
// queued requests start.
TEST_CASE("queued requests start by class, customer and deadline") {
  Agent agent;
  agent.Send(1, 8);
  const auto send = [&](uint64_t sequence, RequestClass request_class,
                        const std::string& customer, int64_t remaining) {
    RequestForward forward = Agent::MakeForward(sequence);
    forward.request_class = request_class;
    forward.customer = customer;
    forward.remaining = Millis(remaining);
    agent.Send(forward);
  };
  send(11, RequestClass::kBackground, "a", 1000);
  send(12, RequestClass::kInteractive, "burst", 1200);
  send(13, RequestClass::kInteractive, "burst", 1100);
  send(14, RequestClass::kInteractive, "burst", 1000);
  send(15, RequestClass::kInteractive, "quiet", 2000);
  send(16, RequestClass::kStandard, "a", 1000);
  CHECK(agent.target.executions().size() == 8);
  agent.Run(Millis(250));
  CHECK(agent.StartedBodies() == "1 2 3 4 5 6 7 8 15 14 13 12 16 11 ");
  CHECK(agent.target.max_running() == 8);
}

// Guards against one customer's burst that fills the queue and displaces the
// requests of another customer.
TEST_CASE(
    "a full queue refuses a request of the customer with the most queued") {
  RequestServerOptions options;
  options.max_queued = 3;
  Agent agent(options);
  agent.Send(1, 11);
  RequestForward quiet = Agent::MakeForward(12);
  quiet.customer = "quiet";
  agent.Send(quiet);
  const auto replies = agent.TakeReplies();
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].outcome == Outcome::kNotRun);
  CHECK(replies[0].id != quiet.id);
}

// Guards against running requests whose callers have given up before the
// response arrives.
TEST_CASE("a request that cannot meet its deadline is refused at once") {
  Agent agent;
  agent.Send(1, 8);
  agent.Run(Millis(150));
  agent.Send(11, 19);
  agent.TakeReplies();
  RequestForward forward = Agent::MakeForward(20);
  forward.remaining = Millis(110);
  agent.Send(forward);
  const auto replies = agent.TakeReplies();
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].outcome == Outcome::kNotRun);
  forward = Agent::MakeForward(21);
  forward.remaining = Millis(0);
  agent.Send(forward);
  CHECK(agent.TakeReplies().at(0).outcome == Outcome::kNotRun);
}

// Guards against requests that are sent to a crashed target, or stay in its
// queue.
TEST_CASE("a target is announced as draining while it is unhealthy") {
  Agent agent;
  agent.Send(1, 9);
  agent.target.Crash();
  agent.Run(Millis(10));
  int not_run = 0;
  int unknown = 0;
  for (const RequestReply& reply : agent.TakeReplies()) {
    not_run += reply.outcome == Outcome::kNotRun;
    unknown += reply.outcome == Outcome::kOutcomeUnknown;
  }
  CHECK(not_run == 1);
  CHECK(unknown == 8);
  CHECK(agent.transport.Take<TargetAnnounce>().back().second.is_draining);
  agent.Send(10, 10);
  CHECK(agent.TakeReplies().at(0).outcome == Outcome::kNotRun);
  agent.target.Recover();
  agent.Run(Millis(10));
  CHECK_FALSE(agent.transport.Take<TargetAnnounce>().back().second.is_draining);
}

// A shutdown must neither lose a request that is running nor start a new one.
TEST_CASE(
    "a graceful shutdown refuses new requests and finishes running ones") {
  Agent agent;
  agent.Send(1, 1);
  agent.server.BeginShutdown();
  CHECK(agent.transport.Take<TargetAnnounce>().back().second.is_draining);
  agent.Send(2, 2);
  CHECK(agent.TakeReplies().at(0).outcome == Outcome::kNotRun);
  CHECK_FALSE(agent.server.IsDrained());
  agent.Run(Millis(100));
  CHECK(agent.TakeReplies().at(0).outcome == Outcome::kAnswered);
  agent.Run(Millis(1000));
  CHECK(agent.server.IsDrained());
}

// Guards against queued requests that wait for a draining target until their
// deadline although another target could run them.
TEST_CASE("a draining target refuses requests that stay queued for long") {
  Agent agent;
  agent.target.service_time = Millis(4000);
  agent.Send(1, 9);
  agent.server.BeginShutdown();
  agent.Run(Millis(2100));
  const auto replies = agent.TakeReplies();
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].outcome == Outcome::kNotRun);
}

// Guards against requests that hang for ever: they release their slots, but
// their connections stay in use, so that the connection limit still holds.
TEST_CASE("a hung request releases its slot, until connections run out") {
  RequestServerOptions options;
  options.slots = 1;
  options.connections = 2;
  options.hung_request_timeout = Millis(100);
  Agent agent(options);
  agent.target.hangs = true;
  for (uint64_t i = 1; i <= 3; ++i) {
    RequestForward forward = Agent::MakeForward(i);
    forward.remaining = Millis(100);
    agent.Send(forward);
    agent.Run(Millis(250));
  }
  const auto replies = agent.TakeReplies();
  REQUIRE(replies.size() == 3);
  CHECK(replies[0].outcome == Outcome::kOutcomeUnknown);
  CHECK(replies[1].outcome == Outcome::kOutcomeUnknown);
  CHECK(replies[2].outcome == Outcome::kNotRun);
  CHECK(agent.target.executions().size() == 2);
}

// Guards against running a request with a wrong checksum, for another service,
// or with an affinity that the target does not own.
TEST_CASE("corrupted, misrouted and unowned requests do not run") {
  Agent agent;
  agent.server.SetAffinities({"kernel-1"});
  RequestForward forward = Agent::MakeForward(1);
  forward.body += "x";
  agent.Send(forward);
  forward = Agent::MakeForward(2);
  forward.service = "wallwright";
  agent.Send(forward);
  forward = Agent::MakeForward(3);
  forward.affinity = "kernel-2";
  agent.Send(forward);
  // An intact duplicate must not run after the request was refused.
  agent.Send(1, 1);
  for (const RequestReply& reply : agent.TakeReplies()) {
    CHECK(reply.outcome == Outcome::kNotRun);
    CHECK_FALSE(reply.reason.empty());
  }
  CHECK(agent.target.executions().empty());
  forward = Agent::MakeForward(4);
  forward.affinity = "kernel-1";
  agent.Send(forward);
  CHECK(agent.target.executions().size() == 1);
}

TEST_CASE("a cancelled request does not start") {
  Agent agent;
  agent.Send(1, 9);
  agent.Send(RequestCancel{{1, 9}});
  agent.Send(RequestCancel{{1, 1}});
  agent.Run(Millis(300));
  CHECK(agent.target.executions().size() == 8);
}

TEST_CASE("the target and its load are announced every half second") {
  Agent agent;
  agent.Run(Millis(2000));
  const auto announcements = agent.transport.Take<TargetAnnounce>();
  CHECK(announcements.size() == 4);
  CHECK(announcements[0].second.incarnation == 7);
  CHECK(announcements[0].second.load.slots == 8);
}

TEST_CASE("the latency window returns percentiles of recent samples") {
  LatencyWindow window(200, Millis(1000));
  CHECK(window.P99(Millis(0)) == Millis(0));
  for (int i = 1; i <= 100; ++i)
    window.Add(Millis(i), Millis(i));
  CHECK(window.P99(Millis(100)) == Millis(99));
  CHECK(window.Percentile(Millis(100), 0.5) == Millis(50));
  CHECK(window.CountAt(Millis(1099)) == 2);
  CHECK(window.P99(Millis(1200)) == Millis(0));
  for (int i = 0; i < 500; ++i)
    window.Add(Millis(2000), Millis(1));
  CHECK(window.CountAt(Millis(2000)) == 200);
}

}  // namespace
}  // namespace fulmarrock::test
