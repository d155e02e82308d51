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

}  // namespace
}  // namespace fulmarrock::test
