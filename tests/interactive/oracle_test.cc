#include "tests/interactive/oracle.h"

#include <functional>
#include <string>

#include <catch2/catch.hpp>

namespace fulmarrock::test {
namespace {

/// Runs a few requests in a cluster with one broken rule and returns the names
/// of the violations found.
std::string FindBrokenRules(
    const std::function<void(InteractiveCluster&)>& break_rule) {
  InteractiveCluster cluster(1, 1, 1);
  break_rule(cluster);
  for (const bool is_idempotent : {false, true})
    cluster.Submit(0, cluster.MakeRequest(is_idempotent, Millis(500)));
  cluster.Run(Millis(2000));
  cluster.DrainAgent(0);
  cluster.Run(Millis(4000));
  cluster.target(0).RunLastAgain();
  cluster.Run(Millis(10));
  std::string rules;
  for (const std::string& violation : Oracle(cluster).FindViolations()) {
    const std::string rule = violation.substr(0, violation.find(':'));
    if (rules.find(rule) == std::string::npos)
      rules += rule + " ";
  }
  return rules;
}

auto WithFault(FakeTarget::Fault fault) {
  return
      [fault](InteractiveCluster& cluster) { cluster.target(0).fault = fault; };
}

// Guards against an oracle that cannot fail: each case breaks one rule in a
// fake and expects violations of exactly that rule.
TEST_CASE("the oracle detects each broken rule") {
  CHECK(FindBrokenRules([](InteractiveCluster&) {}).empty());
  CHECK(FindBrokenRules(WithFault(FakeTarget::Fault::kRunTwice)) ==
        "at-most-once ");
  CHECK(FindBrokenRules(WithFault(FakeTarget::Fault::kForeignAnswer)) ==
        "own-answer ");
  CHECK(FindBrokenRules(WithFault(FakeTarget::Fault::kCutAnswer)) ==
        "own-answer ");
  CHECK(FindBrokenRules(WithFault(FakeTarget::Fault::kNoRun)) ==
        "answered-ran ");
  CHECK(FindBrokenRules([](InteractiveCluster& cluster) {
          cluster.target(0).fault = FakeTarget::Fault::kRunRefused;
          cluster.target(0).RefuseConnections();
        }) == "not-run ");
  CHECK(FindBrokenRules([](InteractiveCluster& cluster) {
          cluster.sink.fault = RecordingSink::Fault::kDropReply;
        }) == "one-answer ");
  CHECK(FindBrokenRules([](InteractiveCluster& cluster) {
          cluster.sink.fault = RecordingSink::Fault::kRepeatReply;
        }) == "one-answer ");
}

TEST_CASE("the oracle detects starts at a draining target and late replies") {
  CHECK(FindBrokenRules(WithFault(FakeTarget::Fault::kRunWhenLeaving)) ==
        "leaving ");
  CHECK(FindBrokenRules([](InteractiveCluster& cluster) {
          cluster.sink.fault = RecordingSink::Fault::kLateReply;
        }) == "in-time ");
}

// Breaks the slot limit in the fake target, which counts each request twice.
TEST_CASE("the oracle detects more requests than slots") {
  InteractiveCluster cluster(1, 1, 1);
  cluster.target(0).fault = FakeTarget::Fault::kCountTwice;
  for (int i = 0; i < 6; ++i)
    cluster.Submit(0, cluster.MakeRequest(true, Millis(500)));
  cluster.Run(Millis(2000));
  const std::vector<std::string> violations = Oracle(cluster).FindViolations();
  REQUIRE(violations.size() == 1);
  CHECK(violations[0] == "slots: agent-0");
}

// Breaks exclusive claims in the fake control member, which grants a key to
// every entry that requests it.
TEST_CASE("the oracle detects a key that runs through two entries") {
  InteractiveCluster cluster(2, 2, 1);
  cluster.control.grants_all = true;
  CallerRequest request = cluster.MakeRequest(false, Millis(500));
  request.key = "key-1";
  cluster.Submit(0, request);
  cluster.Submit(1, request);
  cluster.Run(Millis(2000));
  const std::vector<std::string> violations = Oracle(cluster).FindViolations();
  REQUIRE(violations.size() == 2);
  CHECK(violations[0].substr(0, 12) == "at-most-once");
}

}  // namespace
}  // namespace fulmarrock::test
