#include <string>

#include <catch2/catch.hpp>

#include "tests/support/control_scenario.h"

// Each case injects a fault that violates one invariant of ControlScenario, and
// guards against a check of that invariant that never fails.

namespace fulmarrock::test {
namespace {

std::string RunWithFault(InjectedFault injected_fault,
                         const std::string& script) {
  ControlScenario intact(5);
  CHECK(
      intact
          .Run(injected_fault == InjectedFault::kLogLosesCommands ? "" : script)
          .empty());
  ControlScenario broken(5, injected_fault);
  return broken.Run(script);
}

TEST_CASE("a task that executes on two workers is detected") {
  // The worker ignores the agent's request to suspend the task, so that the
  // task still executes when control grants it to another worker.
  CHECK_THAT(RunWithFault(InjectedFault::kWorkerIgnoresSuspend,
                          "run 1000\nsubmit a 1 kernel\nrun 1000\n"
                          "isolate agent0\nrun 20000\n"
                          "heal\nisolate agent1\nrun 20000\n"
                          "heal\nisolate agent2\nrun 20000\n"),
             Catch::Contains("executes on two workers"));
}

TEST_CASE("a worker over its capacity is detected") {
  CHECK_THAT(RunWithFault(InjectedFault::kWorkerIsSmaller,
                          "run 1000\nsubmit a 12 batch\nrun 2000\n"),
             Catch::Contains("holds more than its capacity"));
}

TEST_CASE("a second start under one epoch is detected") {
  CHECK_THAT(RunWithFault(InjectedFault::kWorkerStartsTwice,
                          "run 1000\nsubmit a 1 batch\nrun 1000\nevict 0\n"
                          "run 1000\n"),
             Catch::Contains("starts twice"));
}

TEST_CASE("a lost completion is detected") {
  CHECK_THAT(RunWithFault(InjectedFault::kLogLosesCommands,
                          "run 1000\nsubmit a 1 batch\nrun 1000\nfinish 0\n"
                          "run 1000\nexpect a completed 1\ncompact\nrun 100\n"),
             Catch::Contains("the completion of task 1.0 is lost"));
}

TEST_CASE("a configuration that goes back to an older version is detected") {
  CHECK_THAT(RunWithFault(InjectedFault::kLogLosesCommands,
                          "apply 7\nrun 1000\ncompact\nrun 100\n"),
             Catch::Contains("the configuration went back to version 1"));
}

TEST_CASE("a lost submission is detected") {
  // The first command, which sets the configuration, is kept; the submission is
  // lost.
  CHECK_THAT(RunWithFault(InjectedFault::kLogLosesCommands,
                          "submit a 1 batch\nrun 1000\ncompact\nrun 100\n"),
             Catch::Contains("job a is lost"));
}

}  // namespace
}  // namespace fulmarrock::test
