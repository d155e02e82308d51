#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "source/config/configuration_json.h"
#include "source/control/control_state.h"
#include "source/message/field_codec.h"
#include "source/message/lease.h"
#include "tests/support/control_cluster.h"

namespace fulmarrock::test {
namespace {

constexpr Millis kDay = Millis::FromSeconds(24 * 3600);

/// Applies commands to a state without a role.
class StateDriver {
 public:
  ApplyEffects Apply(CommandBatch batch) {
    batch.time = now;
    return state.Apply(EncodeBatch(batch));
  }

  void AddConfiguration() {
    Plan plan;
    plan.name = "gold";
    plan.max_pending_tasks = 10;
    plan.quota = {4000, 4096, 1};
    CommandBatch batch;
    batch.configurations.push_back(
        {1, "lists", 1, 0, {{plan}, {{"acme", "gold"}}}});
    Apply(batch);
  }

  Result<uint64_t> Submit(const JobSpec& spec, const std::string& id) {
    CommandBatch batch;
    batch.submissions.push_back({1, id, Fingerprint(spec), spec});
    return Apply(batch).operations.at(0).result;
  }

  void Announce(const NodeId& node, Incarnation incarnation) {
    WorkerAnnounce announce;
    announce.capacity = {4000, 4096, 0};
    announce.incarnation = incarnation;
    CommandBatch batch;
    batch.announcements.push_back({node, announce});
    Apply(batch);
  }

  TaskEffect::Kind Grant(TaskId task, Epoch epoch, Incarnation incarnation) {
    CommandBatch batch;
    batch.grants.push_back({task, epoch, 0, incarnation});
    return Apply(batch).tasks.at(0).kind;
  }

  ApplyEffects Report(Incarnation incarnation,
                      uint64_t sequence,
                      const TaskEvent& event) {
    CommandBatch batch;
    batch.events.push_back({0, {incarnation, sequence, {event}}});
    return Apply(batch);
  }

  ControlState state;
  Millis now{1'000};
};

// Guards against requested resources that would make the sums of allocated
// capacity wrong, for example by overflow.
TEST_CASE("a specification out of range is refused with a remedy") {
  const std::vector<std::function<void(JobSpec&)>> faults = {
      [](JobSpec& s) { s.resources.cpu_millicores = 0; },
      [](JobSpec& s) { s.resources.cpu_millicores = -1; },
      [](JobSpec& s) { s.resources.memory_mib = 0; },
      [](JobSpec& s) { s.resources.memory_mib = INT64_MAX; },
      [](JobSpec& s) { s.resources.accelerators = -1; },
      [](JobSpec& s) { s.resources.cpu_millicores = INT64_MIN; },
      [](JobSpec& s) { s.task_count = 0; },
      [](JobSpec& s) { s.task_count = UINT32_MAX; },
      [](JobSpec& s) { s.max_attempts = 0; },
      [](JobSpec& s) { s.expected_runtime = Millis(-1); },
      [](JobSpec& s) { s.expected_runtime = Millis::Max(); },
      [](JobSpec& s) { s.name.clear(); },
      [](JobSpec& s) { s.customer.clear(); },
      [](JobSpec& s) { s.payload.assign(1 << 20, 'x'); },
  };
  CHECK(ValidateJobSpec(MakeSpec()));
  for (size_t i = 0; i < faults.size(); ++i) {
    JobSpec spec = MakeSpec();
    faults[i](spec);
    const Result<void> result = ValidateJobSpec(spec);
    INFO("fault " << i);
    REQUIRE_FALSE(result);
    CHECK(result.error().kind == ErrorKind::kInvalidArgument);
    CHECK_FALSE(result.error().remedy.empty());
  }
}

// Guards against jobs that the plan of their customer does not allow.
TEST_CASE("a job beyond its customer's plan is refused with a remedy") {
  StateDriver driver;
  driver.AddConfiguration();
  JobSpec spec = MakeSpec();
  spec.customer = "nobody";
  CHECK(driver.Submit(spec, "a").error().kind == ErrorKind::kPermissionDenied);
  spec = MakeSpec();
  spec.is_urgent = true;
  CHECK(driver.Submit(spec, "b").error().kind == ErrorKind::kPermissionDenied);
  spec = MakeSpec();
  spec.resources.cpu_millicores = 4001;
  CHECK(driver.Submit(spec, "c").error().kind == ErrorKind::kResourceExhausted);
  CHECK(driver.Submit(MakeSpec(6), "d"));
  const Result<uint64_t> excess = driver.Submit(MakeSpec(5), "e");
  CHECK(excess.error().kind == ErrorKind::kResourceExhausted);
  CHECK_FALSE(excess.error().remedy.empty());
}

// Guards against a lost update when two operators change the same version, and
// against a repeated request that is applied twice.
TEST_CASE(
    "one of two changes of a version succeeds, and a repeat has no effect") {
  StateDriver driver;
  driver.AddConfiguration();
  const auto apply = [&](const std::string& id, int64_t weight) {
    CommandBatch batch;
    Configuration config = driver.state.config().configuration();
    config.plans[0].weight = weight;
    batch.configurations.push_back({1, id, Fingerprint(1, config), 1, config});
    return driver.Apply(batch).operations.at(0).result;
  };
  CHECK(apply("left", 2).value_or(0) == 2);
  CHECK(apply("right", 3).error().kind == ErrorKind::kConflict);
  CHECK(driver.state.config().configuration().plans[0].weight == 2);

  ControlState restarted;
  REQUIRE(restarted.Restore(driver.state.Save()));
  CommandBatch batch;
  Configuration config = driver.state.config().configuration();
  batch.configurations.push_back(
      {1, "left", Fingerprint(1, config), 1, config});
  CHECK(
      restarted.Apply(EncodeBatch(batch)).operations.at(0).result.value_or(0) ==
      2);
  CHECK(restarted.config().version() == 2);
  batch.configurations[0].fingerprint ^= 1;
  CHECK(restarted.Apply(EncodeBatch(batch))
            .operations.at(0)
            .result.error()
            .kind == ErrorKind::kInvalidArgument);
}

// Guards against events of an old epoch, repeated events, and events of unknown
// tasks.
TEST_CASE("only the current epoch completes a task, and only once") {
  StateDriver driver;
  driver.AddConfiguration();
  driver.Announce("w", 7);
  const JobId job = *driver.Submit(MakeSpec(1), "a");
  const TaskId task{job, 0};
  CHECK(driver.Grant(task, 2, 7) == TaskEffect::Kind::kGrantRefused);
  CHECK(driver.Grant(task, 1, 8) == TaskEffect::Kind::kGrantRefused);
  CHECK(driver.Grant(task, 1, 7) == TaskEffect::Kind::kGranted);
  CHECK(driver.Grant(task, 2, 7) == TaskEffect::Kind::kGrantRefused);

  CommandBatch expiry;
  expiry.expired.push_back({task, 1});
  driver.Apply(expiry);
  CHECK(driver.Grant(task, 2, 7) == TaskEffect::Kind::kGranted);
  const TaskEvent old_completion{task, 1, TaskEventKind::kCompleted, "", {}};
  const TaskEvent completion{task, 2, TaskEventKind::kCompleted, "", {}};
  CHECK(driver.Report(7, 1, old_completion).tasks.empty());
  CHECK(driver.Report(7, 1, completion).tasks.empty());
  CHECK(driver.Report(7, 2, completion).tasks.size() == 1);
  CHECK(driver.Report(7, 3, completion).tasks.empty());
  CHECK(driver.Report(7, 4, {{99, 9}, 1, TaskEventKind::kFailed, "", {}})
            .tasks.empty());
  CHECK(driver.state.jobs().Find(job)->Count(TaskState::kCompleted) == 1);
  CHECK(driver.state.workers().Get(0)->used == Resources());
  CHECK(driver.state.workers().Get(0)->digest == 0);
}

// Guards against a grant that exceeds the capacity of a worker, or that goes to
// a draining worker.
TEST_CASE("a grant beyond capacity or to a draining worker is refused") {
  StateDriver driver;
  driver.AddConfiguration();
  driver.Announce("w", 7);
  const JobId job = *driver.Submit(MakeSpec(6), "a");
  for (uint32_t i = 0; i < 4; ++i)
    CHECK(driver.Grant({job, i}, 1, 7) == TaskEffect::Kind::kGranted);
  CHECK(driver.Grant({job, 4}, 1, 7) == TaskEffect::Kind::kGrantRefused);
  driver.Report(7, 1, {{job, 0}, 1, TaskEventKind::kCompleted, "", {}});
  CommandBatch drain;
  drain.drains.push_back({1, "w", true});
  driver.Apply(drain);
  CHECK(driver.Grant({job, 4}, 1, 7) == TaskEffect::Kind::kGrantRefused);
}

// Guards against memory use that grows without limit.
TEST_CASE("finished jobs, operations and claims are kept for a day") {
  StateDriver driver;
  driver.AddConfiguration();
  const JobId job = *driver.Submit(MakeSpec(1), "a");
  CommandBatch batch;
  batch.cancellations.push_back({1, {job}});
  ClaimRequest claim{{1, 1}, "acme", "key", 5};
  batch.claims.push_back({"entry", claim});
  driver.Apply(batch);
  driver.now += kDay - Millis(1);
  driver.Apply({});
  CHECK(driver.state.jobs().Find(job));
  CHECK(driver.state.operations().size() == 2);
  CHECK(driver.state.claims().size() == 1);
  driver.now += Millis(1);
  driver.Apply({});
  CHECK_FALSE(driver.state.jobs().Find(job));
  CHECK(driver.state.operations().size() == 0);
  CHECK(driver.state.claims().size() == 0);
}

// Guards against a non-idempotent request that runs twice because two entry
// processes accepted it.
TEST_CASE("a claimed key is released only if its request did not run") {
  ClaimTable table;
  const auto claim = [&](uint64_t id, uint64_t fingerprint) {
    return table
        .Claim({"entry", {{1, id}, "acme", "key", fingerprint}}, Millis(1))
        .status;
  };
  const auto finish = [&](uint64_t id, Outcome outcome) {
    table.Finish({{1, id}, "acme", "key", outcome, 200});
  };
  CHECK(claim(1, 5) == ClaimStatus::kGranted);
  CHECK(claim(1, 5) == ClaimStatus::kGranted);
  CHECK(claim(2, 5) == ClaimStatus::kInProgress);
  CHECK(claim(2, 6) == ClaimStatus::kMismatch);
  finish(2, Outcome::kNotRun);
  CHECK(claim(2, 5) == ClaimStatus::kInProgress);
  finish(1, Outcome::kNotRun);
  // A delayed duplicate of the first request must not claim the key again.
  CHECK(claim(1, 5) == ClaimStatus::kUnavailable);
  CHECK(claim(2, 6) == ClaimStatus::kGranted);
  finish(2, Outcome::kAnswered);
  finish(2, Outcome::kNotRun);
  CHECK(claim(3, 6) == ClaimStatus::kFinished);
}

/// A snapshot of a later version, with one more field at the end.
struct LaterSnapshot {
  uint32_t format = 1;
  Millis time{77};
  std::vector<uint32_t> config;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.format, self.time, self.config, self.config, self.config,
            self.config, self.config, self.config);
  }
};
struct EarlierSnapshot {
  uint32_t format = 1;
  Millis time{78};

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.format, self.time);
  }
};

// Guards against members of different versions that cannot read each other's
// snapshots.
TEST_CASE("snapshots of earlier and later versions restore") {
  ControlState state;
  CHECK(state.Restore(PackStruct(LaterSnapshot())));
  CHECK(state.time() == Millis(77));
  CHECK(state.Restore(PackStruct(EarlierSnapshot())));
  CHECK(state.time() == Millis(78));
  EarlierSnapshot with_evacuations;
  with_evacuations.format = 2;
  CHECK(state.Restore(PackStruct(with_evacuations)));
  EarlierSnapshot unreadable;
  unreadable.format = 3;
  CHECK(state.Restore(PackStruct(unreadable)).error().kind ==
        ErrorKind::kCorruption);
  CHECK_FALSE(state.Restore("not a snapshot"));
}

// Guards against an older member that reads a snapshot with evacuations, does
// not know them, and starts runs in an evacuated data centre once it leads.
TEST_CASE("only a snapshot with evacuations has the format that tells so") {
  const auto format_of = [](const ControlState& state) {
    return UnpackStruct<EarlierSnapshot>(state.Save())->format;
  };
  ControlState state;
  CHECK(format_of(state) == 1);
  CommandBatch batch;
  batch.evacuations.push_back({0, "a", true, Millis(5'000)});
  state.Apply(EncodeBatch(batch));
  CHECK(format_of(state) == 2);
}

// Guards against partly applied log entries that a later version or a fault
// made unreadable.
TEST_CASE("a malformed command changes nothing") {
  StateDriver driver;
  driver.AddConfiguration();
  const std::string before = driver.state.Save();
  CHECK(driver.state.Apply("\xc1garbage").is_malformed);
  CHECK(driver.state.Save() == before);
}

// Guards against a delayed announcement of an earlier incarnation that replaces
// the current one.
TEST_CASE("a replaced incarnation is refused and its leases are orphans") {
  StateDriver driver;
  driver.AddConfiguration();
  driver.Announce("w", 7);
  const JobId job = *driver.Submit(MakeSpec(1), "a");
  driver.Grant({job, 0}, 1, 7);
  driver.Announce("w", 8);
  driver.Announce("w", 7);
  const WorkerRecord& worker = *driver.state.workers().Get(0);
  CHECK(worker.incarnation == 8);
  CHECK(worker.orphans == std::vector<TaskId>{{job, 0}});
  CHECK(worker.tasks.empty());
  CHECK(worker.used == MakeSpec().resources);
  ControlState restored;
  REQUIRE(restored.Restore(driver.state.Save()));
  CHECK(restored.workers().Get(0)->orphans == worker.orphans);
  CHECK(restored.Save() == driver.state.Save());
}

}  // namespace
}  // namespace fulmarrock::test
