#include "tests/interactive/oracle.h"

#include <functional>
#include <string>

#include <catch2/catch.hpp>

namespace fulmarrock::test {
namespace {

/// Runs a few requests in a world with one broken rule and returns the names of
/// the violations found.
std::string FindRules(
    const std::function<void(InteractiveWorld&)>& break_rule) {
  InteractiveWorld world(1, 1, 1);
  break_rule(world);
  for (const bool is_idempotent : {false, true})
    world.Submit(0, world.MakeRequest(is_idempotent, Millis(500)));
  world.Run(Millis(2000));
  world.DrainAgent(0);
  world.Run(Millis(4000));
  world.target(0).RunLastAgain();
  world.Run(Millis(10));
  std::string rules;
  for (const std::string& violation : Oracle(world).FindViolations()) {
    const std::string rule = violation.substr(0, violation.find(':'));
    if (rules.find(rule) == std::string::npos)
      rules += rule + " ";
  }
  return rules;
}

auto WithFault(FakeTarget::Fault fault) {
  return [fault](InteractiveWorld& world) { world.target(0).fault = fault; };
}

// Guards against an oracle that cannot fail: each case breaks one rule in a
// fake and expects exactly the checks that concern it.
TEST_CASE("the oracle notices each broken rule") {
  CHECK(FindRules([](InteractiveWorld&) {}).empty());
  CHECK(FindRules(WithFault(FakeTarget::Fault::kRunTwice)) == "at-most-once ");
  CHECK(FindRules(WithFault(FakeTarget::Fault::kForeignAnswer)) ==
        "own-answer ");
  CHECK(FindRules(WithFault(FakeTarget::Fault::kCutAnswer)) == "own-answer ");
  CHECK(FindRules(WithFault(FakeTarget::Fault::kNoRun)) == "answered-ran ");
  CHECK(FindRules([](InteractiveWorld& world) {
          world.target(0).fault = FakeTarget::Fault::kRunRefused;
          world.target(0).RefuseConnections();
        }) == "not-run ");
  CHECK(FindRules([](InteractiveWorld& world) {
          world.sink.fault = RecordingSink::Fault::kDropReply;
        }) == "one-answer ");
  CHECK(FindRules([](InteractiveWorld& world) {
          world.sink.fault = RecordingSink::Fault::kRepeatReply;
        }) == "one-answer ");
}

TEST_CASE("the oracle notices starts at a leaving target and late answers") {
  CHECK(FindRules(WithFault(FakeTarget::Fault::kRunWhenLeaving)) == "leaving ");
  CHECK(FindRules([](InteractiveWorld& world) {
          world.sink.fault = RecordingSink::Fault::kLateReply;
        }) == "in-time ");
}

// Breaks the slot limit in the fake target, which counts each request twice.
TEST_CASE("the oracle notices more requests than slots") {
  InteractiveWorld world(1, 1, 1);
  world.target(0).fault = FakeTarget::Fault::kCountTwice;
  for (int i = 0; i < 6; ++i)
    world.Submit(0, world.MakeRequest(true, Millis(500)));
  world.Run(Millis(2000));
  const std::vector<std::string> violations = Oracle(world).FindViolations();
  REQUIRE(violations.size() == 1);
  CHECK(violations[0] == "slots: agent-0");
}

// Breaks exclusive claims in the fake control member, which grants a key to
// every entry that asks.
TEST_CASE("the oracle notices a key that runs through two entries") {
  InteractiveWorld world(2, 2, 1);
  world.control.grants_all = true;
  CallerRequest request = world.MakeRequest(false, Millis(500));
  request.key = "key-1";
  world.Submit(0, request);
  world.Submit(1, request);
  world.Run(Millis(2000));
  const std::vector<std::string> violations = Oracle(world).FindViolations();
  REQUIRE(violations.size() == 2);
  CHECK(violations[0].substr(0, 12) == "at-most-once");
}

}  // namespace
}  // namespace fulmarrock::test
