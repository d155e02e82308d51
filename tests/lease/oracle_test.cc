#include <string>

#include <catch2/catch.hpp>

#include "tests/support/control_scenario.h"

// Each case breaks one rule in a fake, and so guards against a check of the
// scenario that cannot fail.

namespace fulmarrock::test {
namespace {

std::string RunBroken(Sabotage sabotage, const std::string& script) {
  ControlScenario intact(5);
  CHECK(intact.Run(sabotage == Sabotage::kLogLosesCommands ? "" : script)
            .empty());
  ControlScenario broken(5, sabotage);
  return broken.Run(script);
}

TEST_CASE("a task that executes at two workers is noticed") {
  // The agent's suspension is ignored, so the task goes on while control grants
  // it elsewhere.
  CHECK_THAT(RunBroken(Sabotage::kWorkerIgnoresSuspend,
                       "run 1000\nsubmit a 1 kernel\nrun 1000\n"
                       "isolate agent0\nrun 20000\n"
                       "heal\nisolate agent1\nrun 20000\n"
                       "heal\nisolate agent2\nrun 20000\n"),
             Catch::Contains("executes at two workers"));
}

TEST_CASE("a worker over capacity is noticed") {
  CHECK_THAT(RunBroken(Sabotage::kWorkerIsSmaller,
                       "run 1000\nsubmit a 12 batch\nrun 2000\n"),
             Catch::Contains("holds more than its capacity"));
}

TEST_CASE("a second start under one epoch is noticed") {
  CHECK_THAT(RunBroken(Sabotage::kWorkerStartsTwice,
                       "run 1000\nsubmit a 1 batch\nrun 1000\nevict 0\n"
                       "run 1000\n"),
             Catch::Contains("starts twice"));
}

TEST_CASE("a lost completion is noticed") {
  CHECK_THAT(RunBroken(Sabotage::kLogLosesCommands,
                       "run 1000\nsubmit a 1 batch\nrun 1000\nfinish 0\n"
                       "run 1000\nexpect a completed 1\ncompact\nrun 100\n"),
             Catch::Contains("the completion of task 1.0 is lost"));
}

TEST_CASE("a configuration that goes back is noticed") {
  CHECK_THAT(RunBroken(Sabotage::kLogLosesCommands,
                       "apply 7\nrun 1000\ncompact\nrun 100\n"),
             Catch::Contains("the lists went back to version 1"));
}

TEST_CASE("a lost submission is noticed") {
  // The lists are the first command and stay; the job is the one that is lost.
  CHECK_THAT(RunBroken(Sabotage::kLogLosesCommands,
                       "submit a 1 batch\nrun 1000\ncompact\nrun 100\n"),
             Catch::Contains("job a is lost"));
}

}  // namespace
}  // namespace fulmarrock::test
