#include <algorithm>
#include <filesystem>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "source/config/settings.h"
#include "tests/support/scenario_runner.h"

namespace fulmarrock::test {
namespace {

namespace fs = std::filesystem;

constexpr uint64_t kSeed = 20261204;

std::string ReadFile(const fs::path& path) {
  const Result<std::string> text = ReadTextFile(path.string());
  REQUIRE(text);
  return *text;
}

std::vector<fs::path> FindScripts() {
  std::vector<fs::path> scripts;
  for (const auto& entry :
       fs::recursive_directory_iterator(FULMARROCK_TEST_DATA)) {
    if (entry.path().extension() == ".scn")
      scripts.push_back(entry.path());
  }
  std::sort(scripts.begin(), scripts.end());
  return scripts;
}

// The first comment of each script says which failure it guards against.
TEST_CASE("every scenario passes and prints the expected output") {
  const std::vector<fs::path> scripts = FindScripts();
  REQUIRE_FALSE(scripts.empty());
  for (const fs::path& script : scripts) {
    DYNAMIC_SECTION(fs::relative(script, FULMARROCK_TEST_DATA).string()) {
      ScenarioRunner runner(FULMARROCK_TEST_DATA, kSeed);
      const ScenarioResult result = runner.Run(ReadFile(script));
      INFO(result.failure);
      CHECK(result.is_success);
      fs::path expected = script;
      expected.replace_extension(".expected");
      CHECK(result.output == (fs::exists(expected) ? ReadFile(expected) : ""));
    }
  }
}

// Guards against a runner that passes any script.
TEST_CASE("a scenario with a failing expectation or an invalid line fails") {
  for (const char* script :
       {"start control c1\nawait 100 leader is c2\n", "start control c1\nfly\n",
        "start control c1\nexpect leader is\n", "request \"r1\n"}) {
    ScenarioRunner runner(FULMARROCK_TEST_DATA, kSeed);
    CHECK_FALSE(runner.Run(script).is_success);
  }
}

struct InvariantViolation {
  const char* script;
  /// Inserted before the first line that starts with `before`.
  const char* before;
  const char* step;
  /// Text that the failure of the invariant check must contain.
  const char* failure;
};

// Guards against invariant checks that never fail: a fake violates each
// invariant on purpose, and a script that passes otherwise must then fail.
TEST_CASE("every invariant check fails when its invariant is violated") {
  const InvariantViolation violations[] = {
      {"batch/agent_dies.scn", "kill w1", "worker w1 ignore-leases",
       "executes on"},
      {"batch/cancellation_wave.scn", "cancel", "worker w1 ignore-stops",
       "holds"},
      {"request/target_dies_unsafe.scn", "request",
       "target a1 fault=run-twice\ntarget a2 fault=run-twice", "ran 2 times"},
      {"request/preview.scn", "request",
       "target a1 fault=foreign-answer\ntarget a2 fault=foreign-answer",
       "got the answer"},
      {"request/preview.scn", "request",
       "target a1 fault=cut-answer\ntarget a2 fault=cut-answer",
       "got the answer"},
      {"request/preview.scn", "request",
       "target a1 refuse fault=run-refused\n"
       "target a2 refuse fault=run-refused",
       "reported as not run but ran"}};
  for (const InvariantViolation& violation : violations) {
    DYNAMIC_SECTION(violation.script << " with " << violation.step) {
      std::string script =
          ReadFile(fs::path(FULMARROCK_TEST_DATA) / violation.script);
      const size_t place = script.find(std::string("\n") + violation.before);
      REQUIRE(place != std::string::npos);
      script.insert(place + 1, std::string(violation.step) + "\n");
      ScenarioRunner runner(FULMARROCK_TEST_DATA, kSeed);
      const ScenarioResult result = runner.Run(script);
      CHECK_FALSE(result.is_success);
      INFO(result.failure);
      CHECK(result.failure.find(violation.failure) != std::string::npos);
    }
  }
}

}  // namespace
}  // namespace fulmarrock::test
