#include "source/config/settings.h"

#include <string>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

namespace fulmarrock {
namespace {

constexpr char kValid[] = R"({
  // A process with all roles.
  "node": "all-1", "data_centre": "dc-a", "rack": "r1",
  "roles": ["entry", "agent", "control"],
  "peer_listen": "127.0.0.1:7000", "http_listen": "127.0.0.1:8000",
  "data_folder": "data",
  "control": [{"node": "all-1", "peer": "127.0.0.1:7000"}],
  "entries": [{"node": "all-1", "peer": "127.0.0.1:7000"}],
  "target": {"service": "wallwright", "address": "127.0.0.1:9000"}
})";

TEST_CASE("valid settings are read with their defaults") {
  const Result<Settings> settings = ParseSettings(kValid);
  REQUIRE(settings);
  CHECK(settings->runs_control);
  CHECK(settings->target->slots == 8);
  CHECK(settings->target->connections == 64);
}

// Guards against reporting only the first of several errors.
TEST_CASE("all wrong fields are reported at once with their location") {
  const Result<Settings> settings = ParseSettings(R"({
    "node": 7, "data_centre": "dc-a", "roles": ["entry", "proxy"],
    "peer_listen": "localhost:7000", "http_listen": "127.0.0.1:99999",
    "control": [{"node": "c1", "peer": "127.0.0.1:1"},
                {"node": "c1", "peer": "127.0.0.1:2"}],
    "target": {"service": "s", "address": "127.0.0.1:1", "slots": 0},
    "colour": "red"
  })");
  REQUIRE_FALSE(settings);
  const std::string& text = settings.error().message;
  for (const char* place :
       {"/node:", "/roles:", "/peer_listen:", "/http_listen:",
        "/control/1/node:", "/target/slots:", "/target:", "/entries:",
        "/colour:"}) {
    CAPTURE(text, place);
    CHECK(text.find(place) != std::string::npos);
  }
}

// Guards against silently using the last of two values.
TEST_CASE("a duplicate field is rejected") {
  const Result<Settings> settings =
      ParseSettings(R"({"node": "a", "node": "b"})");
  REQUIRE_FALSE(settings);
  CHECK(settings.error().message.find("stands twice") != std::string::npos);
}

// Guards against a stack overflow of the parser.
TEST_CASE("deep nesting is rejected") {
  std::string text(100'000, '[');
  REQUIRE_FALSE(ParseSettings(text));
}

// Guards against crashes on settings that an editor or a full disk corrupted.
TEST_CASE("settings with corrupted bytes never crash the reader") {
  const bool is_ok = rc::check([](size_t position, char byte, bool is_cut) {
    std::string text = kValid;
    text[position % text.size()] = byte;
    if (is_cut)
      text.resize(position % text.size());
    const Result<Settings> settings = ParseSettings(text);
    RC_ASSERT(settings || !settings.error().message.empty());
  });
  CHECK(is_ok);
}

}  // namespace
}  // namespace fulmarrock

namespace fulmarrock::test {

TEST_CASE("Seed nodes name control members by their IP address") {
  const Result<Settings> settings = ParseSettings(R"({
    "node": "10.0.0.9", "data_centre": "dc", "roles": ["agent"],
    "peer_listen": "10.0.0.9:7720", "http_listen": "10.0.0.9:7721",
    "control_seeds": ["10.0.0.1:8166", "10.0.0.2:8166"],
    "workflow": {"worker_listen": "10.0.0.9:8166", "lease_ms": 9000}})");
  REQUIRE(settings);
  REQUIRE(settings->control_members.size() == 2);
  CHECK(settings->control_members[0].node == "10.0.0.1");
  CHECK(settings->control_members[0].peer_address == "10.0.0.1:7720");
  CHECK(settings->discovers_members);
  CHECK(settings->workflow->lease == Millis(9'000));
}

TEST_CASE("Wrong workflow settings are reported with their location") {
  const Result<Settings> settings = ParseSettings(R"({
    "node": "n", "data_centre": "dc", "roles": ["agent"],
    "peer_listen": "10.0.0.9:7720", "http_listen": "10.0.0.9:7721",
    "control_seeds": ["somewhere"],
    "workflow": {"lease_ms": 3, "leases": 4},
    "consensus": {"heartbeat_ms": 500, "election_timeout_min_ms": 600}})");
  REQUIRE_FALSE(settings);
  const std::string text = settings.error().Describe();
  for (const char* place : {"/control_seeds", "/workflow/lease_ms",
                            "/workflow/leases", "election_timeout_min_ms"})
    CHECK(text.find(place) != std::string::npos);
}

}  // namespace fulmarrock::test
