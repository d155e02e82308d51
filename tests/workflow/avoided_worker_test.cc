#include <catch2/catch.hpp>

#include "tests/support/workflow_cluster.h"

// Gangs and tasks that failed on a worker avoid it, unless they need it.

namespace fulmarrock::test {
namespace {

constexpr const char* kLabel = "rare";

/// Three agents whose workers fail the first run of workflow 7.
class FailedOnce {
 public:
  FailedOnce() : cluster(3, 3, 1) { cluster.SetQueueConfiguration(1, 20); }

  /// Restarts the workers of the first agents with the label.
  void AddLabel(size_t agent_count) {
    cluster.Run(Millis(1'000));
    for (size_t i = 0; i < agent_count; ++i) {
      cluster.agents[i]->labels.emplace_back(kLabel);
      cluster.agents[i]->worker.Restart();
    }
    cluster.Run(Millis(3'000));
  }

  /// The runs of the step fail at first; then the workers recover, and `rest`
  /// passes.
  void Submit(const WorkflowSpec& spec, Millis rest) {
    SetMode(FakeRunWorker::Mode::kFailing);
    cluster.Submit(spec);
    cluster.Run(Millis(80));
    SetMode(FakeRunWorker::Mode::kNormal);
    REQUIRE_FALSE(cluster.Executions().empty());
    cluster.Run(rest);
  }

  WorkflowCluster cluster;

 private:
  void SetMode(FakeRunWorker::Mode mode) {
    for (auto& agent : cluster.agents)
      agent->worker.mode = mode;
  }
};

/// A step that only workers with the label may run.
WorkflowSpec MakeLabelled(uint32_t count, bool is_gang) {
  WorkflowSpec spec = MakeChain(7, {count});
  spec.steps[0].required_label = kLabel;
  spec.steps[0].is_gang = is_gang;
  return spec;
}

}  // namespace

// Guards against a gang that never starts again after it failed on the only
// worker with its label, because other workers of the service seemed to be an
// alternative.
TEST_CASE("A gang returns to the only worker with its label") {
  FailedOnce test;
  test.AddLabel(1);
  test.Submit(MakeLabelled(2, true), Millis(1'000));
  CHECK(test.cluster.PhaseOf(7) == WorkflowPhase::kCompleted);
}

// Guards against the same for a task that waits until it starves.
TEST_CASE("A task returns to the only worker with its label at once") {
  FailedOnce test;
  test.AddLabel(1);
  test.Submit(MakeLabelled(1, false), Millis(1'000));
  CHECK(test.cluster.PhaseOf(7) == WorkflowPhase::kCompleted);
}

// Guards against the same for a gang that needs each of two workers: the other
// one could run any member, but not all of them.
TEST_CASE("A gang returns to a worker that it needs beside another") {
  FailedOnce test;
  test.AddLabel(2);
  WorkflowSpec spec = MakeLabelled(2, true);
  spec.steps[0].max_per_worker = 1;
  test.Submit(spec, Millis(4'000));
  CHECK(test.cluster.PhaseOf(7) == WorkflowPhase::kCompleted);
}

}  // namespace fulmarrock::test
