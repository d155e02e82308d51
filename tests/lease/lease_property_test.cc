#include <string>
#include <tuple>
#include <vector>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "tests/support/control_scenario.h"

namespace fulmarrock::test {
namespace {

/// Maps three random numbers to one line of a script.
std::string MakeLine(int choice, int a, int b) {
  const std::string member = std::to_string(a % 3);
  const std::string nth = std::to_string(a);
  static const char* const kKinds[] = {"batch", "fixed", "kernel"};
  switch (choice) {
    case 0:
    case 1:
      return "submit j" + std::to_string(a * 97 + b) + " " +
             std::to_string(b % 5 + 1) + " " + kKinds[a % 3];
    case 2:
      return "cancel j" + std::to_string(a * 97 + b);
    case 3:
    case 4:
      return "finish " + nth;
    case 5:
      return "fail " + nth;
    case 6:
    case 7:
      return "evict " + nth;
    case 8:
      return "apply " + nth;
    case 9:
      return "repeat " + nth;
    case 10:
      return "leader " + member + " " + std::to_string(b * 9) + " " +
             std::to_string(b % 3);
    case 11:
      return "crash-member " + member;
    case 12:
      return "start-member " + member;
    case 13:
      return "compact";
    case 14:
      return "crash-agent " + member + (b % 2 ? " process" : " instance");
    case 15:
      return "run 500\nstart-agent " + member;
    case 16:
      return "stop-agent " + member;
    case 17:
      return "isolate agent" + member;
    case 18:
      return "cut control" + std::to_string(b % 3) + " agent" + member;
    case 19:
      return "heal";
    case 20:
      return "delay 1 " + std::to_string(b * b * 2);
    case 21:
      return "loss " + std::to_string(b % 30) + " " + std::to_string(a % 30);
    case 22:
      return "commit " + std::to_string(b * 3);
    default:
      return "run " + std::to_string(b * b * 2);
  }
}

std::string MakeScript(const std::vector<std::tuple<int, int, int>>& choices) {
  std::string script;
  for (const auto& [choice, a, b] : choices)
    script += MakeLine(choice, a, b) + "\nrun 50\n";
  return script + "settle\n";
}

// Guards against violations of the invariants of ControlScenario under
// arbitrary combinations of faults.
TEST_CASE("the invariants hold under random faults") {
  const bool is_ok = rc::check([](uint64_t seed) {
    const auto choices =
        *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
            rc::gen::tuple(rc::gen::inRange(0, 27), rc::gen::inRange(0, 100),
                           rc::gen::inRange(0, 100)));
    const std::string script = MakeScript(choices);
    ControlScenario scenario(seed);
    const std::string violation = scenario.Run(script);
    if (!violation.empty()) {
      RC_FAIL("seed " + std::to_string(seed) + ": " + violation + "\n" +
              script);
    }
  });
  CHECK(is_ok);
}

}  // namespace
}  // namespace fulmarrock::test
