#include "source/config/configuration_json.h"

#include <string>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "source/config/json_reader.h"

namespace fulmarrock {
namespace {

constexpr char kLists[] = R"({
  "plans": [
    {"name": "studio", "weight": 4, "max_concurrent_requests": 64,
     "max_pending_tasks": 1000, "allows_urgent": true,
     "quota": {"cpu_millicores": 64000, "memory_mib": 131072,
               "accelerators": 2}}
  ],
  "customers": [{"name": "north-gallery", "plan": "studio"}]
})";

Result<Configuration> Read(const std::string& text) {
  const Result<nlohmann::json> value = ParseJson(text);
  REQUIRE(value);
  return ConfigurationFromJson(*value);
}

TEST_CASE("lists survive writing and reading") {
  const Result<Configuration> lists = Read(kLists);
  REQUIRE(lists);
  const Result<Configuration> again =
      ConfigurationFromJson(ConfigurationToJson(*lists));
  REQUIRE(again);
  CHECK(*again == *lists);
  CHECK(lists->FindPlanOfCustomer("north-gallery")->weight == 4);
}

// Guards against a customer without limits because its plan does not exist.
TEST_CASE("a customer with an unknown plan is refused") {
  const Result<Configuration> lists =
      Read(R"({"plans": [], "customers": [{"name": "c", "plan": "gone"}]})");
  REQUIRE_FALSE(lists);
  CHECK(lists.error().message.find("/customers/c/plan") != std::string::npos);
}

// Guards against overflow and negative quotas.
TEST_CASE("amounts out of range are refused") {
  std::string text = kLists;
  const std::string amount = "131072";
  text.replace(text.find(amount), amount.size(), "99999999999999999999");
  CHECK_FALSE(Read(text));
  text = kLists;
  text.replace(text.find(amount), amount.size(), "-1");
  CHECK_FALSE(Read(text));
}

TEST_CASE("a change turns one version into the next") {
  const Configuration old_lists = *Read(kLists);
  Configuration new_lists = old_lists;
  new_lists.customers = {{"east", "studio"}, {"west", "studio"}};
  new_lists.plans[0].weight = 5;
  const ConfigurationChange change = ComputeChange(old_lists, new_lists, 2);
  Configuration patched = old_lists;
  ApplyChange(change, patched);
  CHECK(patched == new_lists);
  CHECK(change.removed_customers.size() == 1);
}

TEST_CASE("a job reports all wrong fields at once") {
  const Result<nlohmann::json> value = ParseJson(
      R"({"name": "n", "kind": "cron", "task_count": 0,
          "resources": {"cpu_millicores": 0, "memory_mib": 10}})");
  const Result<JobSpec> spec = JobSpecFromJson(*value);
  REQUIRE_FALSE(spec);
  for (const char* place :
       {"/customer:", "/kind:", "/task_count:", "/resources/cpu_millicores:"})
    CHECK(spec.error().message.find(place) != std::string::npos);
}

}  // namespace
}  // namespace fulmarrock
