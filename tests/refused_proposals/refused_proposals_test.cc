#include <optional>

#include <catch2/catch.hpp>

#include "tests/support/workflow_cluster.h"

// What happens to the commands of a log entry that the replicated log refuses
// while the leader stays the leader.

namespace fulmarrock::test {
namespace {

constexpr Millis kRefusalStep{20};
constexpr Millis kRefusalTime{20};

size_t CountCompleted(const WorkflowCluster& cluster, WorkflowKey key) {
  size_t count = 0;
  for (const Execution& execution : cluster.Executions()) {
    count += execution.task.workflow == key && execution.has_ended &&
             execution.kind == RunOutcome::kDone;
  }
  return count;
}

/// Plays two workflows while the log refuses proposals for a moment that begins
/// `begin` after the submission of the first one. Then each worker in turn
/// drains, so that what control believes to run there moves.
void PlayWithRefusal(WorkflowCluster& cluster, ErrorKind kind, Millis begin) {
  cluster.SetQueueConfiguration(1);
  cluster.Run(Millis(1'000));
  WorkflowSpec first = MakeChain(7, {4, 2});
  for (StepSpec& step : first.steps)
    step.has_checkpoints = true;
  cluster.Submit(first);
  cluster.Run(begin);
  cluster.log.SetRefusal(kind);
  cluster.Run(kRefusalTime);
  cluster.log.SetRefusal(std::nullopt);
  cluster.Run(Millis(200));
  cluster.Submit(MakeChain(8, {4}));
  cluster.Run(Millis(1'500));
  cluster.agents[0]->is_draining = true;
  cluster.Run(Millis(1'500));
  cluster.agents[0]->is_draining = false;
  cluster.agents[0]->worker.Restart();
  cluster.agents[1]->is_draining = true;
  cluster.Run(Millis(3'000));
}

}  // namespace

// Guards against an acknowledged completion that is not stored: the task ran
// again when its worker drained.
TEST_CASE("A run whose end was in a refused log entry does not run again") {
  const auto kind =
      GENERATE(ErrorKind::kInvalidArgument, ErrorKind::kNotLeader);
  for (Millis begin; begin < Millis(1'200); begin += kRefusalStep) {
    WorkflowCluster cluster(3, 2, 1);
    PlayWithRefusal(cluster, kind, begin);
    INFO("refused " << begin.count() << " ms after the submission");
    CHECK(cluster.FindViolation().empty());
  }
}

// Guards against a leader that waits forever for the commit of a plan that the
// log refused, and starts nothing any more.
TEST_CASE("The leader plans again after the log refused its plan") {
  const auto kind =
      GENERATE(ErrorKind::kInvalidArgument, ErrorKind::kNotLeader);
  for (Millis begin; begin < Millis(1'200); begin += kRefusalStep) {
    WorkflowCluster cluster(3, 2, 1);
    PlayWithRefusal(cluster, kind, begin);
    INFO("refused " << begin.count() << " ms after the submission");
    CHECK(CountCompleted(cluster, 7) == 6);
    CHECK(CountCompleted(cluster, 8) == 4);
  }
}

// Guards against a run that an agent starts while an entry that releases it is
// uncommitted: a refused entry made the leader renew the lease again.
TEST_CASE("A release that is not committed stays valid after a refused entry") {
  WorkflowCluster cluster(3, 2, 1);
  cluster.SetQueueConfiguration(1);
  for (auto& agent : cluster.agents)
    agent->worker.duration = Millis(4'000);
  cluster.Run(Millis(1'000));
  cluster.network.Isolate("agent0");
  cluster.Submit(MakeChain(7, {8}));
  const auto is_releasing = [&cluster] {
    return cluster.leader().counters().Get("control_worker_leases_expired") > 0;
  };
  for (int i = 0; i < 1'000 && !is_releasing(); ++i) {
    cluster.log.SetDelay(Millis(i < 100 ? 2 : 600));
    cluster.Run(kTickInterval);
  }
  REQUIRE(is_releasing());
  cluster.network.Rejoin("agent0");
  cluster.log.SetRefusal(ErrorKind::kInvalidArgument);
  cluster.leader().SetQueueConfiguration({}, [](const Result<bool>&) {});
  cluster.Run(kTickInterval * 2);
  cluster.log.SetRefusal(std::nullopt);
  CHECK(cluster.leader().counters().Get("control_proposals_refused") > 0);
  cluster.Run(Millis(2'000));
  cluster.log.SetDelay(Millis(2));
  cluster.Run(Millis(12'000));
  CHECK(cluster.FindViolation().empty());
  CHECK(cluster.PhaseOf(7) == WorkflowPhase::kCompleted);
}

// Guards against an entry that grows with every submission while the log is
// full, until it is longer than the log accepts.
TEST_CASE("Submissions do not enlarge an entry that waits for the log") {
  WorkflowCluster cluster(1, 0, 1);
  cluster.SetQueueConfiguration(1);
  cluster.Run(Millis(1'000));
  cluster.log.SetFull(true);
  WorkflowCall call;
  call.host = "queue.example";
  call.path = "/q/";
  call.spec = MakeChain(0, {1});
  call.spec.payload = std::string(60'000, 'x');
  for (uint64_t i = 1; i <= 200; ++i) {
    call.call = i;
    call.key = i;
    call.spec.key = i;
    cluster.network.TransportOf("client").Send("control0", call);
    cluster.Run(kTickInterval);
  }
  const uint64_t before = cluster.log.committed_bytes();
  cluster.log.SetFull(false);
  cluster.Run(kTickInterval * 2);
  const uint64_t bytes = cluster.log.committed_bytes() - before;
  CHECK(bytes > kMaxEntryBytes / 2);
  CHECK(bytes < kMaxEntryBytes * 2);
}

// Guards against a completed run that is released and runs again: its end and
// the next worker incarnation were in one entry, which applies registrations
// first.
TEST_CASE("An end that waits for the log is stored before a registration") {
  for (Millis restart(300); restart < Millis(800); restart += kRefusalStep) {
    WorkflowCluster cluster(3, 2, 1);
    cluster.SetQueueConfiguration(1);
    cluster.Run(Millis(1'000));
    cluster.Submit(MakeChain(7, {2}));
    cluster.Run(Millis(200));
    cluster.log.SetFull(true);
    cluster.Run(restart);
    cluster.agents[0]->worker.Restart();
    cluster.agents[1]->worker.Restart();
    cluster.Run(Millis(1'500));
    cluster.log.SetFull(false);
    cluster.Run(Millis(4'000));
    INFO("restarted after " << restart.count() << " ms");
    CHECK(cluster.PhaseOf(7) == WorkflowPhase::kCompleted);
    CHECK(CountCompleted(cluster, 7) == 2);
  }
}

// Guards against a leader that accepts no change any more: the bytes of invalid
// configurations counted as waiting for the log.
TEST_CASE("Invalid configurations do not use up the next entry") {
  WorkflowCluster cluster(1, 0, 1);
  QueueConfiguration invalid;
  invalid.version = 1;
  invalid.document = std::string(kMaxEntryBytes, 'x');
  invalid.queues.emplace_back().service = "unknown";
  bool is_accepted = true;
  cluster.leader().SetQueueConfiguration(
      invalid,
      [&](const Result<bool>& result) { is_accepted = result.has_value(); });
  CHECK_FALSE(is_accepted);
  cluster.Run(Millis(1'000));
  cluster.SetQueueConfiguration(1);
  CHECK(cluster.state().queue_configuration().version == 1);
}

}  // namespace fulmarrock::test
