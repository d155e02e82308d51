#include <catch2/catch.hpp>

#include "tests/interactive/interactive_cluster.h"

namespace fulmarrock::test {
namespace {

// Guards against a failure anywhere on the path from a caller to a target and
// back.
TEST_CASE("a request is routed, run once and answered with its own response") {
  InteractiveCluster cluster(2, 3, 1);
  for (const bool is_idempotent : {true, false}) {
    const CallerRequest request =
        cluster.MakeRequest(is_idempotent, Millis(1000));
    const RequestId id = cluster.Submit(1, request);
    CHECK(cluster.call(id).replies.empty());
    cluster.Run(Millis(100));
    REQUIRE(cluster.call(id).replies.size() == 1);
    CHECK(cluster.call(id).replies[0].outcome == Outcome::kAnswered);
    CHECK(cluster.call(id).replies[0].body == AnswerTo(request.body));
  }
  size_t executions = 0;
  for (int i = 0; i < cluster.agent_count(); ++i)
    executions += cluster.target(i).executions().size();
  CHECK(executions == 2);
}

}  // namespace
}  // namespace fulmarrock::test
