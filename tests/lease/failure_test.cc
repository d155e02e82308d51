#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "source/agent/latency_probe.h"
#include "tests/support/control_scenario.h"

// One script per row of the failure table of the design page that concerns
// control and the leases. Every invariant of ControlScenario is checked after
// each tick, and the scripts contain expectations of their own.

namespace fulmarrock::test {
namespace {

struct Script {
  const char* guards_against;
  const char* text;
};

const Script kScripts[] = {
    {"the task of a crashed agent is granted again before its lease expired",
     "run 500\nsubmit a 1 batch\nrun 500\nexpect-executing 1\n"
     "crash-agent 0 process\nrun 600\nstart-agent 0\nrun 5000\n"
     "expect a running 1\nrun 12000\nexpect-executing 1\nsettle\n"
     "expect a completed 1\n"},
    {"the tasks of a crashed worker are not granted again",
     "run 500\nsubmit a 6 fixed\nrun 500\nexpect-executing 6\n"
     "crash-agent 0 instance\nrun 20000\nexpect-executing 6\n"
     "expect a running 6\nsettle\nexpect a completed 6\n"},
    {"an isolated worker executes its tasks after its lease expired",
     "run 500\nsubmit a 3 kernel\nrun 500\nexpect-executing 3\n"
     "isolate agent0\nisolate agent1\nisolate agent2\nrun 13000\n"
     "expect-executing 0\nheal\nrun 3000\nexpect-executing 3\n"},
    {"a kernel is not resumed although its epoch is still current",
     "run 500\nsubmit a 1 kernel\nrun 500\nisolate control0\nrun 12500\n"
     "expect-executing 0\nheal\nrun 2500\nexpect-executing 1\n"
     "expect a running 1\n"},
    {"running tasks are stopped by the crash of the leader",
     "run 500\nsubmit a 6 batch\nrun 500\ncrash-member 0\nrun 1000\n"
     "leader 1 0 0\nrun 30000\nexpect-executing 6\nexpect a running 6\n"
     "settle\nexpect a completed 6\n"},
    {"a new leader delays pending tasks although capacity is free",
     "run 500\nsubmit a 2 batch\nrun 500\ncrash-member 0\nleader 1 0 0\n"
     "run 20\nsubmit b 2 batch\nrun 300\nexpect-executing 4\n"},
    {"tasks do not resume after the quorum was lost and is back",
     "run 500\nsubmit a 3 kernel\nrun 500\ncrash-member 0\nrun 40000\n"
     "expect-executing 0\nleader 1 0 0\nrun 3000\nexpect-executing 3\n"},
    {"grants of a replaced leader take effect",
     "run 500\nsubmit a 4 batch\nleader 1 900 0\nrun 2000\nrepeat 0\n"
     "run 2000\nexpect a running 4\nexpect-executing 4\n"},
    {"an evicted task is lost or resumes twice",
     "run 500\nsubmit a 4 batch\nrun 500\nevict 0\nevict 1\nrun 2000\n"
     "expect a running 4\nexpect-executing 4\nsettle\n"
     "expect a completed 4\n"},
    {"an eviction in progress is lost with the leader",
     "run 500\nsubmit a 4 batch\nrun 500\nevict 0\nrun 20\nleader 1 0 0\n"
     "run 3000\nexpect-executing 4\nsettle\nexpect a completed 4\n"},
    {"a cancellation is lost while the worker is isolated",
     "run 500\nsubmit a 3 batch\nrun 500\nisolate agent0\ncancel a\n"
     "run 3000\nheal\nrun 20000\nexpect a cancelled 3\n"
     "expect-executing 0\n"},
    {"many cancellations overtake grants in flight",
     "run 500\ndelay 1 200\nsubmit a 30 batch\nrun 30\ncancel a\n"
     "run 3000\nexpect a cancelled 30\nexpect-executing 0\n"},
    {"a completion is lost with its message or the leader",
     "run 500\nsubmit a 2 batch\nrun 500\nloss 100 0\nfinish 0\nrun 3000\n"
     "loss 0 0\nleader 2 0 0\nrun 5000\nexpect a completed 1\n"
     "expect-executing 1\n"},
    {"a failing task is retried without limit",
     "run 500\nsubmit a 1 batch\nrun 500\nfail 0\nrun 1500\nfail 0\nrun 2500\n"
     "fail 0\nrun 500\nexpect a failed 1\nexpect-executing 0\n"},
    {"a draining agent accepts new tasks or loses its tasks",
     "run 500\nsubmit a 6 batch\nrun 500\nstop-agent 0\nrun 3000\n"
     "expect a running 6\nexpect-executing 6\nsettle\n"
     "expect a completed 6\n"},
    {"a restarted group loses jobs that were submitted before a snapshot",
     "run 500\nsubmit a 3 batch\nrun 500\ncompact\napply 3\nrun 200\n"
     "crash-member 0\ncrash-member 1\ncrash-member 2\nstart-member 0\n"
     "start-member 1\nstart-member 2\nleader 1 0 0\nrepeat 0\nrepeat 1\n"
     "run 3000\nexpect a running 3\nexpect-executing 3\n"},
    {"a grant that is delayed beyond the lease makes a task run twice",
     "run 500\ndelay 25000 0\nsubmit a 1 batch\nrun 100\ndelay 1 0\n"
     "cut control0 agent0\ncut control0 agent1\nrun 14000\nheal\n"
     "run 30000\nexpect-executing 1\nsettle\nexpect a completed 1\n"},
    {"one-way message loss leaves a task granted but not started",
     "run 500\ncut control0 agent0\nrun 500\nsubmit a 8 batch\nrun 30000\n"
     "expect-executing 8\n"},
    {"repeated requests and duplicate messages create a second job",
     "run 500\nloss 20 50\nsubmit a 2 batch\nrepeat 0\nrepeat 0\nrun 3000\n"
     "repeat 0\nleader 1 500 0\nrepeat 0\nrun 3000\nexpect a running 2\n"
     "settle\nexpect a completed 2\n"},
};

// Guards against a renewal that is delayed beyond the lease duration and covers
// a task that was started after the renewal was sent, and that runs elsewhere
// by now.
TEST_CASE("a delayed renewal does not cover tasks that started after it") {
  ControlScenario scenario(7826611673560054253u);
  CHECK_THAT(
      scenario.Run("apply 0\nrun 50\nleader 2 0 0\nrun 1558\nloss 28 14\n"
                   "run 6650\nisolate agent0\nrun 600\ndelay 1 19208\n"
                   "run 50\nsubmit j2 3 batch\nrun 50\nheal\nrun 11652\n"
                   "settle\n"),
      Catch::Equals(""));
}

/// Reports a constant latency of a service.
class FixedProbe : public LatencyProbe {
 public:
  std::optional<LatencySample> Read() const override {
    LatencySample sample;
    sample.p99 = Millis(40);
    sample.objective = Millis(50);
    sample.request_count = 1000;
    return sample;
  }
};

// Guards against usage reports without the latency of services, from which
// control estimates the interference of workloads.
TEST_CASE("usage reports name the service and the colocated workloads") {
  ControlCluster cluster(1, 1, 1);
  cluster.ApplyDefaultConfiguration();
  const FixedProbe probe;
  cluster.agents[0]->runner->SetServiceProbe("wallwright", probe);
  std::vector<ServiceLatency> reported;
  cluster.network.SetTap(
      [&reported](const NodeId&, const NodeId&, const Message& message) {
        if (const auto* report = std::get_if<UsageReport>(&message))
          reported = report->services;
      });
  JobSpec spec = MakeSpec(2);
  spec.workload = "lighting";
  REQUIRE(cluster.Submit(spec, "job"));
  REQUIRE(cluster.RunUntil(
      [&reported] {
        return !reported.empty() && !reported[0].colocated_workloads.empty();
      },
      Millis(120'000)));
  CHECK(reported[0].service == "wallwright");
  CHECK(reported[0].p99 == Millis(40));
  CHECK(reported[0].colocated_workloads ==
        std::vector<std::string>{"lighting"});
}

TEST_CASE("failures of the design page") {
  for (const Script& script : kScripts) {
    for (uint64_t seed = 1; seed <= 5; ++seed) {
      ControlScenario scenario(seed);
      INFO("guards against: " << script.guards_against << ", seed " << seed);
      const std::string violation = scenario.Run(script.text);
      CHECK_THAT(violation, Catch::Equals(""));
    }
  }
}

}  // namespace
}  // namespace fulmarrock::test
