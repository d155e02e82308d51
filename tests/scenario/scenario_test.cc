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

// Each script names the failure that it guards against in its first comment.
TEST_CASE("every scenario runs and prints what it should") {
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

// Guards against a runner that accepts whatever a script says.
TEST_CASE("a scenario with a wrong expectation or line fails") {
  for (const char* script :
       {"start control c1\nawait 100 leader is c2\n", "start control c1\nfly\n",
        "start control c1\nexpect leader is\n", "request \"r1\n"}) {
    ScenarioRunner runner(FULMARROCK_TEST_DATA, kSeed);
    CHECK_FALSE(runner.Run(script).is_success);
  }
}

struct BrokenRule {
  const char* script;
  /// Inserted before the first line that starts with `before`.
  const char* before;
  const char* step;
  /// Part of the failure that the invariant must report.
  const char* failure;
};

// Guards against invariants that cannot fail: each is broken on purpose in a
// fake, and the same script that passes otherwise must then fail.
TEST_CASE("every invariant notices when its rule is broken") {
  const BrokenRule rules[] = {
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
  for (const BrokenRule& rule : rules) {
    DYNAMIC_SECTION(rule.script << " with " << rule.step) {
      std::string script =
          ReadFile(fs::path(FULMARROCK_TEST_DATA) / rule.script);
      const size_t place = script.find(std::string("\n") + rule.before);
      REQUIRE(place != std::string::npos);
      script.insert(place + 1, std::string(rule.step) + "\n");
      ScenarioRunner runner(FULMARROCK_TEST_DATA, kSeed);
      const ScenarioResult result = runner.Run(script);
      CHECK_FALSE(result.is_success);
      INFO(result.failure);
      CHECK(result.failure.find(rule.failure) != std::string::npos);
    }
  }
}

}  // namespace
}  // namespace fulmarrock::test
