#include <cstdlib>
#include <iostream>
#include <string>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "tests/support/scenario_runner.h"
#include "tests/system/script_generator.h"

namespace fulmarrock::test {
namespace {

// Guards against faults that show only with several failures at once in an
// unforeseen order. A failing script is printed completely, so that it can be
// added as a scenario. RC_PARAMS sets the seed and the number of scripts.
TEST_CASE("random failures violate no invariant, and all work ends") {
  const bool is_ok = rc::check([] {
    const auto seed = *rc::gen::arbitrary<uint32_t>();
    const int steps = *rc::gen::inRange(5, 60);
    const std::string script = ScriptGenerator(seed).Generate(steps);
    ScenarioRunner runner(FULMARROCK_TEST_DATA, seed);
    const ScenarioResult result = runner.Run(script);
    if (!result.is_success)
      std::cerr << "seed " << seed << ", " << steps << " steps\n"
                << script << result.failure;
    RC_ASSERT(result.is_success);
  });
  CHECK(is_ok);
}

}  // namespace
}  // namespace fulmarrock::test
