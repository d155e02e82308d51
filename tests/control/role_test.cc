#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "tests/support/control_cluster.h"

namespace fulmarrock::test {
namespace {

/// Records the messages that one node receives.
class Inbox {
 public:
  Inbox(ControlCluster& cluster, NodeId node)
      : m_cluster(cluster), m_node(std::move(node)) {
    cluster.network.SetHandler(m_node, [this](const NodeId&, const Message& m) {
      m_messages.push_back(m);
    });
  }
  void Send(const NodeId& to, const Message& message) {
    m_cluster.network.TransportOf(m_node).Send(to, message);
  }
  /// Returns the newest message of a type, and discards all others.
  template <typename T>
  std::optional<T> Take() {
    std::optional<T> found;
    for (const Message& message : m_messages) {
      if (const T* match = std::get_if<T>(&message))
        found = *match;
    }
    m_messages.clear();
    return found;
  }
  size_t size() const { return m_messages.size(); }

 private:
  ControlCluster& m_cluster;
  NodeId m_node;
  std::vector<Message> m_messages;
};

Result<uint64_t> ChangeWeight(ControlCluster& cluster,
                              const std::string& id,
                              int64_t weight) {
  ApplyRequest request;
  const ConfigSnapshot snapshot = cluster.leader().role->GetConfiguration();
  request.operation_id = id;
  request.base_version = snapshot.version;
  request.configuration = snapshot.configuration;
  request.configuration.plans[0].weight = weight;
  return cluster.Apply(request);
}

// Guards against a distribution of the configuration that works only at the
// leader, and against sending the whole configuration where a delta is enough.
TEST_CASE("members send configuration snapshots and deltas, and push changes") {
  ControlCluster cluster(3, 0, 1);
  cluster.ApplyDefaultConfiguration();
  Inbox process(cluster, "process");
  process.Send("control0", ConfigPoll{0});
  cluster.Run(Millis(50));
  const auto snapshot = process.Take<ConfigSnapshot>();
  REQUIRE(snapshot);
  CHECK(snapshot->version == 1);
  process.Send("control1", ConfigPoll{1});
  cluster.Run(Millis(50));
  CHECK(process.Take<ConfigDelta>()->changes.empty());

  CHECK(ChangeWeight(cluster, "change", 7).value_or(0) == 2);
  cluster.Run(Millis(100));
  const auto pushed = process.Take<ConfigDelta>();
  REQUIRE(pushed);
  CHECK(pushed->from_version == 1);
  CHECK(pushed->changes.back().version == 2);
  process.Send("control1", ConfigAck{2});
  cluster.Run(Millis(50));
  const ClusterStatus status = cluster.members[1]->role->GetStatus();
  REQUIRE(status.processes.size() == 1);
  CHECK(status.processes[0].version == 2);
}

// Guards against a member that returns a process to an older version, or that
// has no changes for a process that is far behind.
TEST_CASE(
    "a process ahead of a member keeps its version, one far behind "
    "gets a configuration snapshot") {
  ControlCluster cluster(3, 0, 1);
  cluster.ApplyDefaultConfiguration();
  Inbox process(cluster, "process");
  process.Send("control1", ConfigPoll{9});
  cluster.Run(Millis(50));
  const auto ahead = process.Take<ConfigDelta>();
  REQUIRE(ahead);
  CHECK(ahead->from_version == 9);
  CHECK(ahead->changes.empty());
  for (int64_t i = 0; i < 200; ++i)
    REQUIRE(ChangeWeight(cluster, "change" + std::to_string(i), i + 1));
  process.Take<ConfigDelta>();
  process.Send("control1", ConfigPoll{3});
  cluster.Run(Millis(50));
  CHECK(process.Take<ConfigSnapshot>()->version == 201);
}

// Guards against an invalid configuration in the replicated state.
TEST_CASE("an inconsistent configuration is refused with a remedy") {
  ControlCluster cluster(1, 0, 1);
  cluster.ApplyDefaultConfiguration();
  ApplyRequest request;
  request.operation_id = "bad";
  request.base_version = 1;
  request.configuration =
      cluster.leader().role->GetConfiguration().configuration;
  request.configuration.customers[0].plan = "missing";
  const Result<uint64_t> unknown_plan = cluster.Apply(request);
  CHECK(unknown_plan.error().kind == ErrorKind::kInvalidArgument);
  CHECK_FALSE(unknown_plan.error().remedy.empty());
  request.configuration.customers.clear();
  request.configuration.plans.push_back(request.configuration.plans[0]);
  CHECK(cluster.Apply(request).error().kind == ErrorKind::kInvalidArgument);
  request.configuration.plans.pop_back();
  request.configuration.plans[0].weight = 0;
  CHECK(cluster.Apply(request).error().kind == ErrorKind::kInvalidArgument);
  request.operation_id.clear();
  CHECK(cluster.Apply(request).error().kind == ErrorKind::kInvalidArgument);
  CHECK(cluster.state().config().version() == 1);
}

// Guards against operators who get no result or a wrong one: a follower must
// name the leader, and a change whose result is unknown after a change of
// leader must be safe to repeat.
TEST_CASE("a follower names the leader, and a repeated change applies once") {
  ControlCluster cluster(3, 0, 1);
  cluster.ApplyDefaultConfiguration();
  std::optional<Result<JobId>> result;
  const auto keep = [&](const Result<JobId>& job) { result = job; };
  cluster.members[1]->role->SubmitJob({"a", MakeSpec()}, keep);
  REQUIRE(result);
  CHECK(result->error().kind == ErrorKind::kNotLeader);
  CHECK(result->error().remedy == "ask control0");

  result.reset();
  cluster.leader().role->SubmitJob({"a", MakeSpec()}, keep);
  cluster.leader().role->OnTick();
  cluster.log.ChangeLeader("control1", Millis(0), 1);
  REQUIRE(result);
  CHECK(result->error().kind == ErrorKind::kUnavailable);
  // The change was committed nevertheless; the repeated request finds it.
  CHECK(cluster.Submit(MakeSpec(), "a").value_or(0) == 1);
  CHECK(cluster.state().jobs().jobs().size() == 1);
  JobSpec other = MakeSpec();
  other.name = "other";
  CHECK(cluster.Submit(other, "a").error().kind == ErrorKind::kInvalidArgument);
}

// Guards against commands that are lost when the log refuses a proposal because
// it is full.
TEST_CASE("commands are kept while the log is full") {
  ControlCluster cluster(1, 0, 1);
  cluster.ApplyDefaultConfiguration();
  cluster.log.SetFull(true);
  std::optional<Result<JobId>> result;
  cluster.leader().role->SubmitJob({"a", MakeSpec()},
                                   [&](const auto& job) { result = job; });
  cluster.Run(Millis(500));
  CHECK_FALSE(result);
  cluster.log.SetFull(false);
  cluster.Run(Millis(100));
  REQUIRE(result);
  CHECK(result->value_or(0) == 1);
}

// Guards against a claim that is proposed only at the next tick, and against
// replies by a member that is not the leader.
TEST_CASE("only the leader replies to a claim, after its commit") {
  ControlCluster cluster(3, 0, 1);
  Inbox entry(cluster, "entry");
  const ClaimRequest request{{1, 1}, "acme", "key", 5};
  entry.Send("control1", request);
  cluster.Run(Millis(50));
  CHECK(entry.size() == 0);
  entry.Send("control0", request);
  cluster.Run(Millis(10));
  const auto reply = entry.Take<ClaimReply>();
  REQUIRE(reply);
  CHECK(reply->status == ClaimStatus::kGranted);
  entry.Send("control0",
             ClaimOutcome{{1, 1}, "acme", "key", Outcome::kAnswered, 201});
  cluster.Run(Millis(50));
  CHECK(entry.Take<ClaimOutcomeAck>());
  cluster.log.ChangeLeader("control2");
  entry.Send("control2", ClaimRequest{{2, 1}, "acme", "key", 5});
  cluster.Run(Millis(50));
  const auto repeat = entry.Take<ClaimReply>();
  REQUIRE(repeat);
  CHECK(repeat->status == ClaimStatus::kFinished);
  CHECK(repeat->response_status == 201);
  CHECK(repeat->holder == RequestId{1, 1});
  entry.Send("control2", ClaimRequest{{3, 1}, "acme", "", 5});
  cluster.Run(Millis(50));
  CHECK(entry.Take<ClaimReply>()->status == ClaimStatus::kUnavailable);
}

// Guards against a job that is too large for every worker and blocks other
// jobs, or stays pending without a reason.
TEST_CASE("a job too large for every worker has a reason and blocks no other") {
  ControlCluster cluster(1, 1, 1);
  cluster.ApplyDefaultConfiguration();
  cluster.Run(Millis(500));
  JobSpec huge = MakeSpec();
  huge.resources.cpu_millicores = 5'000;
  const JobId never = *cluster.Submit(huge, "huge");
  const JobId other = *cluster.Submit(MakeSpec(), "other");
  cluster.Run(Millis(500));
  CHECK(cluster.leader().role->ShowJob(never)->reason ==
        "no worker is large enough");
  CHECK(cluster.leader().role->ShowJob(other)->running == 1);
}

// Guards against placing tasks on a worker on which every task fails, and on a
// draining worker.
TEST_CASE("quarantined and draining workers get no tasks") {
  ControlCluster cluster(1, 1, 1);
  cluster.ApplyDefaultConfiguration();
  cluster.Run(Millis(500));
  const auto fail_one = [&](int i) {
    const JobId job = *cluster.Submit(MakeSpec(), "job" + std::to_string(i));
    REQUIRE(cluster.RunUntil([&] {
      return !cluster.Executing({job, 0}).empty();
    }));
    cluster.agents[0]->worker.Finish({job, 0}, TaskEventKind::kFailed);
    cluster.Run(Millis(50));
    REQUIRE(cluster.Cancel({job}));
  };
  for (int i = 0; i < 5; ++i)
    fail_one(i);
  CHECK(cluster.leader().role->GetStatus().workers[0].is_quarantined);
  const JobId job = *cluster.Submit(MakeSpec(), "probe");
  cluster.Run(Millis(20'000));
  CHECK(cluster.Holders({job, 0}).empty());
  REQUIRE(cluster.RunUntil([&] {
    return !cluster.Executing({job, 0}).empty();
  }));
  cluster.agents[0]->worker.Finish({job, 0}, TaskEventKind::kCompleted);
  cluster.Run(Millis(100));
  CHECK_FALSE(cluster.leader().role->GetStatus().workers[0].is_quarantined);

  std::optional<Result<bool>> drained;
  cluster.leader().role->SetWorkerDraining(
      "agent0", true, [&](const auto& result) { drained = result; });
  cluster.Run(Millis(100));
  CHECK(drained->value_or(false));
  const JobId late = *cluster.Submit(MakeSpec(), "late");
  cluster.Run(Millis(5'000));
  CHECK(cluster.Holders({late, 0}).empty());
}

// Guards against dumps that are not JSON, and against a shutdown that leaves a
// caller without a result.
TEST_CASE("roles dump their state as JSON and drain") {
  ControlCluster cluster(1, 1, 1);
  cluster.ApplyDefaultConfiguration();
  REQUIRE(cluster.Submit(MakeSpec(), "a"));
  cluster.Run(Millis(500));
  const auto dump = nlohmann::json::parse(cluster.leader().role->DumpState());
  CHECK(dump["running_tasks"] == 1);
  CHECK(dump["workers"][0]["node"] == "agent0");
  const auto agent =
      nlohmann::json::parse(cluster.agents[0]->runner->DumpState());
  CHECK(agent["leases"].size() == 1);
  cluster.leader().role->BeginShutdown();
  CHECK(cluster.leader().role->IsDrained());
  CHECK(cluster.Submit(MakeSpec(), "b").error().kind ==
        ErrorKind::kUnavailable);
}

}  // namespace
}  // namespace fulmarrock::test
