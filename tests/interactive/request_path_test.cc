#include <catch2/catch.hpp>

#include "tests/interactive/interactive_world.h"

namespace fulmarrock::test {
namespace {

// Guards against a break anywhere on the way from a caller to a target and
// back.
TEST_CASE("a request is routed, run once and answered with its own response") {
  InteractiveWorld world(2, 3, 1);
  for (const bool is_idempotent : {true, false}) {
    const CallerRequest request =
        world.MakeRequest(is_idempotent, Millis(1000));
    const RequestId id = world.Submit(1, request);
    CHECK(world.call(id).replies.empty());
    world.Run(Millis(100));
    REQUIRE(world.call(id).replies.size() == 1);
    CHECK(world.call(id).replies[0].outcome == Outcome::kAnswered);
    CHECK(world.call(id).replies[0].body == AnswerTo(request.body));
  }
  size_t executions = 0;
  for (int i = 0; i < world.agent_count(); ++i)
    executions += world.target(i).executions().size();
  CHECK(executions == 2);
}

}  // namespace
}  // namespace fulmarrock::test
