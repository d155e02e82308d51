#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "source/base/seeded_random.h"
#include "source/entry/workflow_gateway.h"
#include "tests/support/manual_clock.h"

// What the entry tells a caller after each kind of reply, one message at a
// time.

namespace fulmarrock::test {
namespace {

constexpr Millis kDeadline{3'000};

/// Records the calls that were sent.
class RecordingTransport : public Transport {
 public:
  void Send(const NodeId&, const Message& message) override {
    if (const auto* call = std::get_if<WorkflowCall>(&message))
      sent.push_back(*call);
  }
  void LearnAddress(const NodeId&, std::string_view) override {}

  std::vector<WorkflowCall> sent;
};

/// An entry that knows the leader "a" and has sent it one call.
class OneCall {
 public:
  explicit OneCall(WorkflowCallKind kind)
      : m_gateway({"entry", {"a"}}, m_clock, transport, m_random, m_decisions) {
    m_gateway.OnMessage("a", GroupView{"a", {"a"}, 1});
    WorkflowCall call;
    call.kind = kind;
    m_gateway.Call(call, kDeadline,
                   [this](const CallResult& answer) { result = answer; });
    REQUIRE(transport.sent.size() == 1);
  }

  /// Lets the time pass until the call is sent again.
  void WaitForResending() {
    const size_t count = transport.sent.size();
    for (int i = 0; i < 100 && transport.sent.size() == count; ++i) {
      m_clock.Advance(Millis(10));
      m_gateway.OnTick();
    }
    REQUIRE(transport.sent.size() == count + 1);
  }

  /// The leader replies to the last sending.
  void Reply(WorkflowReplyKind kind) {
    WorkflowReply reply;
    reply.call = transport.sent.back().call;
    reply.attempt = transport.sent.back().attempt;
    reply.kind = kind;
    reply.leader = "a";
    reply.term = 1;
    m_gateway.OnMessage("a", reply);
  }

  RecordingTransport transport;
  std::optional<CallResult> result;

 private:
  ManualClock m_clock;
  SeededRandom m_random{1};
  NullDecisionLog m_decisions;
  WorkflowGateway m_gateway;
};

struct Row {
  WorkflowReplyKind reply;
  /// The result of a submission whose only sending got the reply; nothing if
  /// the call goes on.
  std::optional<CallOutcome> first;
  /// The same if an earlier sending got no reply.
  std::optional<CallOutcome> resent;
};

const std::vector<Row> kRows = {
    {WorkflowReplyKind::kAccepted, CallOutcome::kAnswered,
     CallOutcome::kAnswered},
    {WorkflowReplyKind::kPhase, CallOutcome::kAnswered, CallOutcome::kAnswered},
    {WorkflowReplyKind::kCounted, CallOutcome::kAnswered,
     CallOutcome::kAnswered},
    {WorkflowReplyKind::kCancelled, CallOutcome::kAnswered,
     CallOutcome::kAnswered},
    {WorkflowReplyKind::kWorkflowNotFound, CallOutcome::kAnswered,
     CallOutcome::kAnswered},
    {WorkflowReplyKind::kQueueNotFound, CallOutcome::kAnswered,
     CallOutcome::kUnknownResult},
    {WorkflowReplyKind::kNotConfigured, CallOutcome::kAnswered,
     CallOutcome::kUnknownResult},
    {WorkflowReplyKind::kRefused, CallOutcome::kAnswered,
     CallOutcome::kUnknownResult},
    {WorkflowReplyKind::kInvalid, CallOutcome::kAnswered,
     CallOutcome::kUnknownResult},
    {WorkflowReplyKind::kNotLeader, std::nullopt, std::nullopt},
    {WorkflowReplyKind::kUnknownResult, std::nullopt, std::nullopt},
};

std::optional<CallOutcome> OutcomeOf(const OneCall& test) {
  return test.result ? std::optional(test.result->outcome) : std::nullopt;
}

}  // namespace

// Guards against a kind of reply that was added without a row here.
TEST_CASE("Each kind of reply to a submission has a row") {
  const auto count =
      static_cast<size_t>(MaxValue(WorkflowReplyKind::kAccepted)) + 1;
  REQUIRE(kRows.size() == count);
  for (size_t i = 0; i < kRows.size(); ++i)
    CHECK(static_cast<size_t>(kRows[i].reply) == i);
}

// Guards against a caller that is told that a stored submission was refused:
// the reply to an earlier sending of it was lost.
TEST_CASE("A refusal is passed on unless an earlier sending may be stored") {
  for (const Row& row : kRows) {
    CAPTURE(static_cast<int>(row.reply));
    OneCall first(WorkflowCallKind::kSubmit);
    CHECK_FALSE(first.transport.sent.back().may_be_stored);
    first.Reply(row.reply);
    CHECK(OutcomeOf(first) == row.first);
    OneCall resent(WorkflowCallKind::kSubmit);
    resent.WaitForResending();
    CHECK(resent.transport.sent.back().may_be_stored);
    resent.Reply(row.reply);
    CHECK(OutcomeOf(resent) == row.resent);
  }
}

// Guards against the same after a member replied that the result is unknown.
TEST_CASE("A refusal after an unknown result is not passed on") {
  for (const Row& row : kRows) {
    CAPTURE(static_cast<int>(row.reply));
    OneCall test(WorkflowCallKind::kSubmit);
    test.Reply(WorkflowReplyKind::kUnknownResult);
    test.WaitForResending();
    test.Reply(row.reply);
    CHECK(OutcomeOf(test) == row.resent);
  }
}

// Guards against a cancellation that is refused although it is stored.
TEST_CASE("A refused cancellation may be stored, a refused read may not") {
  for (const Row& row : kRows) {
    CAPTURE(static_cast<int>(row.reply));
    OneCall cancellation(WorkflowCallKind::kCancel);
    cancellation.WaitForResending();
    cancellation.Reply(row.reply);
    CHECK(OutcomeOf(cancellation) == row.resent);
    OneCall read(WorkflowCallKind::kShow);
    read.WaitForResending();
    read.Reply(row.reply);
    CHECK(OutcomeOf(read) == row.first);
  }
}

}  // namespace fulmarrock::test
