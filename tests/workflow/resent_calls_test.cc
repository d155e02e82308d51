#include <optional>

#include <catch2/catch.hpp>

#include "tests/support/workflow_cluster.h"

// Calls that the entry sends again because the connection from control to it
// went silent, while the operator removes their queue.

namespace fulmarrock::test {
namespace {

/// A cluster whose entry process gets no message of control until HealAll().
class SilentControl {
 public:
  SilentControl() : cluster(3, 2, 1) {
    cluster.SetQueueConfiguration(1);
    cluster.Run(Millis(2'000));
    cluster.Submit(MakeChain(1, {1}));
  }

  void CutReplies() {
    for (const auto& member : cluster.members)
      cluster.network.Cut(member->node, "entry");
  }

  WorkflowCluster cluster;
  std::optional<CallResult> result;
};

WorkflowCall MakeSubmission(const WorkflowSpec& spec) {
  WorkflowCall call;
  call.kind = WorkflowCallKind::kSubmit;
  call.key = spec.key;
  call.spec = spec;
  return call;
}

bool IsRefusal(const CallResult& result) {
  const bool is_refused = result.outcome == CallOutcome::kAnswered &&
                          result.reply.kind != WorkflowReplyKind::kAccepted &&
                          result.reply.kind != WorkflowReplyKind::kCancelled;
  return is_refused || result.outcome == CallOutcome::kNotAccepted;
}

}  // namespace

// Guards against a caller that is told that there is no such queue while its
// workflow runs: the reply was lost, and then the queue was removed.
TEST_CASE("A stored submission is not refused after its queue was removed") {
  SilentControl test;
  test.CutReplies();
  const WorkflowSpec spec = MakeChain(7, {2});
  test.cluster.submitted.push_back(spec);
  test.cluster.BeginCall(MakeSubmission(spec), test.result);
  test.cluster.Run(Millis(300));
  REQUIRE(test.cluster.state().Find(7));
  test.cluster.RemoveQueue(2);
  test.cluster.network.HealAll();
  test.cluster.Run(Millis(2'900));
  REQUIRE(test.result);
  CHECK(test.result->outcome == CallOutcome::kAnswered);
  CHECK(test.result->reply.kind == WorkflowReplyKind::kAccepted);
  CHECK(test.cluster.FindViolation().empty());
}

// Guards against the same when the leader changes meanwhile.
TEST_CASE("A stored submission is not refused by the next leader") {
  SilentControl test;
  test.CutReplies();
  const WorkflowSpec spec = MakeChain(7, {2});
  test.cluster.submitted.push_back(spec);
  test.cluster.BeginCall(MakeSubmission(spec), test.result);
  test.cluster.Run(Millis(300));
  REQUIRE(test.cluster.state().Find(7));
  test.cluster.RemoveQueue(2);
  test.cluster.CrashMember(0);
  test.cluster.ChangeLeader(1);
  test.cluster.network.HealAll();
  test.cluster.Run(Millis(2'900));
  REQUIRE(test.result);
  CHECK_FALSE(IsRefusal(*test.result));
  CHECK(test.cluster.FindViolation().empty());
}

// Guards against a cancellation that is refused although it is stored.
TEST_CASE("A stored cancellation is not refused after its queue was removed") {
  SilentControl test;
  test.cluster.agents[0]->worker.duration = Millis(20'000);
  test.cluster.agents[1]->worker.duration = Millis(20'000);
  test.cluster.Submit(MakeChain(7, {2}));
  test.CutReplies();
  WorkflowCall call;
  call.kind = WorkflowCallKind::kCancel;
  call.key = 7;
  test.cluster.BeginCall(call, test.result);
  test.cluster.Run(Millis(300));
  test.cluster.RemoveQueue(2);
  test.cluster.network.HealAll();
  test.cluster.Run(Millis(2'900));
  REQUIRE(test.result);
  CHECK(test.result->outcome == CallOutcome::kAnswered);
  CHECK(test.result->reply.kind == WorkflowReplyKind::kCancelled);
}

// Guards against a caller that is told that its submission was accepted while
// the queue does not exist: nothing of this call was sent before.
TEST_CASE("A new submission to a removed queue is refused") {
  SilentControl test;
  test.cluster.RemoveQueue(2);
  const CallResult result = test.cluster.Submit(MakeChain(1, {1}));
  CHECK(result.outcome == CallOutcome::kAnswered);
  CHECK(result.reply.kind == WorkflowReplyKind::kQueueNotFound);
}

}  // namespace fulmarrock::test
