#include "source/config/configuration_json.h"

#include <string>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "source/config/json_reader.h"

namespace fulmarrock {
namespace {

constexpr char kConfiguration[] = R"({
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

// Guards against fields that are written but not read, or the reverse.
TEST_CASE("a configuration that is written and read again is equal") {
  const Result<Configuration> configuration = Read(kConfiguration);
  REQUIRE(configuration);
  const Result<Configuration> again =
      ConfigurationFromJson(ConfigurationToJson(*configuration));
  REQUIRE(again);
  CHECK(*again == *configuration);
  CHECK(configuration->FindPlanOfCustomer("north-gallery")->weight == 4);
}

// Guards against a customer that has no limits because its plan does not exist.
TEST_CASE("a customer with an unknown plan is rejected") {
  const Result<Configuration> configuration =
      Read(R"({"plans": [], "customers": [{"name": "c", "plan": "gone"}]})");
  REQUIRE_FALSE(configuration);
  CHECK(configuration.error().message.find("/customers/c/plan") !=
        std::string::npos);
}

// Guards against integer overflow and negative quotas.
TEST_CASE("amounts out of range are rejected") {
  std::string text = kConfiguration;
  const std::string amount = "131072";
  text.replace(text.find(amount), amount.size(), "99999999999999999999");
  CHECK_FALSE(Read(text));
  text = kConfiguration;
  text.replace(text.find(amount), amount.size(), "-1");
  CHECK_FALSE(Read(text));
}

// Guards against deltas after which an entry has another configuration than
// control.
TEST_CASE("a change turns one version into the next") {
  const Configuration old_configuration = *Read(kConfiguration);
  Configuration new_configuration = old_configuration;
  new_configuration.customers = {{"east", "studio"}, {"west", "studio"}};
  new_configuration.plans[0].weight = 5;
  const ConfigurationChange change =
      ComputeChange(old_configuration, new_configuration, 2);
  Configuration patched = old_configuration;
  ApplyChange(change, patched);
  CHECK(patched == new_configuration);
  CHECK(change.removed_customers.size() == 1);
}

// Guards against reporting only the first of several errors.
TEST_CASE("all wrong fields of a job are reported at once") {
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
