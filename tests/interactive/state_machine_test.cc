#include <cstdlib>
#include <ostream>
#include <string>

#include <rapidcheck.h>
#include <rapidcheck/state.h>
#include <catch2/catch.hpp>

#include "tests/interactive/oracle.h"

namespace fulmarrock::test {
namespace {

constexpr int kEntries = 2;
constexpr int kAgents = 3;
constexpr int kMaxDeadline = 4000;

/// The commands need no model: the oracle checks the result at the end.
struct Model {};

using Command = rc::state::Command<Model, InteractiveCluster>;

std::string PickNode() {
  const int pick = *rc::gen::inRange(0, kEntries + kAgents + 1);
  if (pick < kEntries)
    return InteractiveCluster::EntryName(pick);
  if (pick < kEntries + kAgents)
    return InteractiveCluster::AgentName(pick - kEntries);
  return "control-1";
}

/// Submits a burst of requests, each with a new body.
struct SubmitFresh : Command {
  int entry = *rc::gen::inRange(0, kEntries);
  int count = *rc::gen::inRange(1, 20);
  bool is_idempotent = *rc::gen::arbitrary<bool>();
  int deadline = *rc::gen::inRange(30, kMaxDeadline);

  void run(const Model&, InteractiveCluster& cluster) const override {
    for (int i = 0; i < count; ++i)
      cluster.Submit(entry,
                     cluster.MakeRequest(is_idempotent, Millis(deadline)));
  }
  void show(std::ostream& os) const override {
    os << "Submit " << count << " at " << entry << " idempotent "
       << is_idempotent << " deadline " << deadline;
  }
};

/// Submits a keyed request; only a few keys exist, so that most are repeats.
struct SubmitKeyed : Command {
  int entry = *rc::gen::inRange(0, kEntries);
  int key = *rc::gen::inRange(0, 6);
  int deadline = *rc::gen::inRange(30, kMaxDeadline);

  void run(const Model&, InteractiveCluster& cluster) const override {
    CallerRequest request = cluster.MakeRequest(false, Millis(deadline));
    request.key = "key-" + std::to_string(key);
    request.body = "body of " + request.key;
    cluster.Submit(entry, request);
  }
  void show(std::ostream& os) const override {
    os << "Submit key " << key << " at " << entry << " deadline " << deadline;
  }
};

struct Wait : Command {
  int duration = *rc::gen::inRange(1, 1500);
  void run(const Model&, InteractiveCluster& cluster) const override {
    cluster.Run(Millis(duration));
  }
  void show(std::ostream& os) const override { os << "Wait " << duration; }
};

struct Cut : Command {
  std::string from = PickNode();
  std::string to = PickNode();
  void run(const Model&, InteractiveCluster& cluster) const override {
    cluster.network.Cut(from, to);
  }
  void show(std::ostream& os) const override {
    os << "Cut " << from << " -> " << to;
  }
};

struct Isolate : Command {
  std::string node = PickNode();
  void run(const Model&, InteractiveCluster& cluster) const override {
    cluster.network.Isolate(node);
  }
  void show(std::ostream& os) const override { os << "Isolate " << node; }
};

struct Heal : Command {
  void run(const Model&, InteractiveCluster& cluster) const override {
    cluster.network.HealAll();
  }
  void show(std::ostream& os) const override { os << "Heal"; }
};

struct SetLinks : Command {
  int jitter = *rc::gen::inRange(0, 300);
  int loss = *rc::gen::inRange(0, 30);
  int duplication = *rc::gen::inRange(0, 50);
  void run(const Model&, InteractiveCluster& cluster) const override {
    cluster.network.SetDelay(Millis(1), Millis(jitter));
    cluster.network.SetLoss(loss / 100.0, duplication / 100.0);
  }
  void show(std::ostream& os) const override {
    os << "Links jitter " << jitter << " loss " << loss << " duplication "
       << duplication;
  }
};

struct RestartEntry : Command {
  int entry = *rc::gen::inRange(0, kEntries);
  void run(const Model&, InteractiveCluster& cluster) const override {
    cluster.StartEntry(entry);
  }
  void show(std::ostream& os) const override {
    os << "Restart entry " << entry;
  }
};

struct RestartAgent : Command {
  int agent = *rc::gen::inRange(0, kAgents);
  void run(const Model&, InteractiveCluster& cluster) const override {
    cluster.StartAgent(agent);
  }
  void show(std::ostream& os) const override {
    os << "Restart agent " << agent;
  }
};

struct DrainAgent : Command {
  int agent = *rc::gen::inRange(0, kAgents);
  void run(const Model&, InteractiveCluster& cluster) const override {
    cluster.DrainAgent(agent);
  }
  void show(std::ostream& os) const override { os << "Drain agent " << agent; }
};

struct DrainEntry : Command {
  int entry = *rc::gen::inRange(0, kEntries);
  void run(const Model&, InteractiveCluster& cluster) const override {
    cluster.entry(entry).BeginShutdown();
  }
  void show(std::ostream& os) const override { os << "Drain entry " << entry; }
};

struct CrashTarget : Command {
  int agent = *rc::gen::inRange(0, kAgents);
  void run(const Model&, InteractiveCluster& cluster) const override {
    cluster.target(agent).Crash();
  }
  void show(std::ostream& os) const override { os << "Crash target " << agent; }
};

struct RecoverTarget : Command {
  int agent = *rc::gen::inRange(0, kAgents);
  void run(const Model&, InteractiveCluster& cluster) const override {
    cluster.target(agent).Recover();
  }
  void show(std::ostream& os) const override {
    os << "Recover target " << agent;
  }
};

/// Makes a target slow, hang or refuse connections.
struct DisturbTarget : Command {
  int agent = *rc::gen::inRange(0, kAgents);
  int service_time = *rc::gen::inRange(1, 3000);
  bool hangs = *rc::gen::inRange(0, 4) == 0;
  bool refuses = *rc::gen::inRange(0, 4) == 0;
  void run(const Model&, InteractiveCluster& cluster) const override {
    cluster.target(agent).service_time = Millis(service_time);
    cluster.target(agent).hangs = hangs;
    if (refuses)
      cluster.target(agent).RefuseConnections();
  }
  void show(std::ostream& os) const override {
    os << "Disturb target " << agent << " service time " << service_time
       << (hangs ? " hangs" : "") << (refuses ? " refuses" : "");
  }
};

/// Repairs all faults and waits until all requests have ended, so that late
/// duplicates would be detected.
void FinishAllRequests(InteractiveCluster& cluster) {
  cluster.network.HealAll();
  cluster.network.SetLoss(0);
  for (int i = 0; i < kAgents; ++i) {
    cluster.target(i).Recover();
    cluster.target(i).hangs = false;
  }
  cluster.Run(Millis(kMaxDeadline + 6000));
}

/// Configures more and longer cases than RapidCheck's defaults; parameters from
/// the environment, such as the seed, take precedence. Runs before RapidCheck
/// reads its parameters.
const bool kHasMoreCases = [] {
  const char* given = std::getenv("RC_PARAMS");
  const std::string params = given ? given : "";
  return setenv("RC_PARAMS",
                ("max_success=2000 max_size=200 " + params).c_str(), 1) == 0;
}();

// Guards the guarantees to callers under any combination of the faults of the
// failure model: loss, delay, reordering, duplication, one-way cuts, restarts
// of entries and agents, graceful shutdowns and failing targets.
TEST_CASE("guarantees to callers hold under random faults") {
  REQUIRE(kHasMoreCases);
  const bool is_ok = rc::check([] {
    InteractiveCluster cluster(kEntries, kAgents,
                               *rc::gen::arbitrary<uint64_t>());
    rc::state::check(
        Model{}, cluster,
        rc::state::gen::execOneOfWithArgs<
            SubmitFresh, SubmitFresh, SubmitKeyed, SubmitKeyed, SubmitKeyed,
            Wait, Wait, Wait, Cut, Isolate, Heal, SetLinks, RestartEntry,
            RestartAgent, DrainAgent, DrainEntry, CrashTarget, RecoverTarget,
            DisturbTarget>());
    FinishAllRequests(cluster);
    const std::vector<std::string> violations =
        Oracle(cluster).FindViolations();
    if (!violations.empty())
      RC_FAIL(violations.front());
    // A graceful shutdown ends once every request has its reply. A keyed
    // request at a hung target is tracked for 30 s after its deadline.
    for (int i = 0; i < kEntries; ++i)
      cluster.entry(i).BeginShutdown();
    for (int i = 0; i < kEntries; ++i) {
      for (int second = 0; second < 31 && !cluster.entry(i).IsDrained();
           ++second)
        cluster.Run(Millis(1000));
      RC_ASSERT(cluster.entry(i).IsDrained());
    }
    int answered = 0;
    for (const Call& call : cluster.sink.calls)
      answered += !call.replies.empty() &&
                  call.replies[0].outcome == Outcome::kAnswered;
    RC_CLASSIFY(answered > 0, "some answered");
  });
  CHECK(is_ok);
}

}  // namespace
}  // namespace fulmarrock::test
