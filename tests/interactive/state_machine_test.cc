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

/// The commands need no model: the oracle judges what happened at the end.
struct Model {};

using Command = rc::state::Command<Model, InteractiveWorld>;

std::string PickNode() {
  const int pick = *rc::gen::inRange(0, kEntries + kAgents + 1);
  if (pick < kEntries)
    return InteractiveWorld::EntryName(pick);
  if (pick < kEntries + kAgents)
    return InteractiveWorld::AgentName(pick - kEntries);
  return "control-1";
}

/// A burst of requests of callers, each a new one.
struct SubmitFresh : Command {
  int entry = *rc::gen::inRange(0, kEntries);
  int count = *rc::gen::inRange(1, 20);
  bool is_idempotent = *rc::gen::arbitrary<bool>();
  int deadline = *rc::gen::inRange(30, kMaxDeadline);

  void run(const Model&, InteractiveWorld& world) const override {
    for (int i = 0; i < count; ++i)
      world.Submit(entry, world.MakeRequest(is_idempotent, Millis(deadline)));
  }
  void show(std::ostream& os) const override {
    os << "Submit " << count << " at " << entry << " idempotent "
       << is_idempotent << " deadline " << deadline;
  }
};

/// A keyed request; only a few keys exist, so that most are repeats.
struct SubmitKeyed : Command {
  int entry = *rc::gen::inRange(0, kEntries);
  int key = *rc::gen::inRange(0, 6);
  int deadline = *rc::gen::inRange(30, kMaxDeadline);

  void run(const Model&, InteractiveWorld& world) const override {
    CallerRequest request = world.MakeRequest(false, Millis(deadline));
    request.key = "key-" + std::to_string(key);
    request.body = "body of " + request.key;
    world.Submit(entry, request);
  }
  void show(std::ostream& os) const override {
    os << "Submit key " << key << " at " << entry << " deadline " << deadline;
  }
};

struct Wait : Command {
  int duration = *rc::gen::inRange(1, 1500);
  void run(const Model&, InteractiveWorld& world) const override {
    world.Run(Millis(duration));
  }
  void show(std::ostream& os) const override { os << "Wait " << duration; }
};

struct Cut : Command {
  std::string from = PickNode();
  std::string to = PickNode();
  void run(const Model&, InteractiveWorld& world) const override {
    world.network.Cut(from, to);
  }
  void show(std::ostream& os) const override {
    os << "Cut " << from << " -> " << to;
  }
};

struct Isolate : Command {
  std::string node = PickNode();
  void run(const Model&, InteractiveWorld& world) const override {
    world.network.Isolate(node);
  }
  void show(std::ostream& os) const override { os << "Isolate " << node; }
};

struct Heal : Command {
  void run(const Model&, InteractiveWorld& world) const override {
    world.network.HealAll();
  }
  void show(std::ostream& os) const override { os << "Heal"; }
};

struct SetLinks : Command {
  int jitter = *rc::gen::inRange(0, 300);
  int loss = *rc::gen::inRange(0, 30);
  int duplication = *rc::gen::inRange(0, 50);
  void run(const Model&, InteractiveWorld& world) const override {
    world.network.SetDelay(Millis(1), Millis(jitter));
    world.network.SetLoss(loss / 100.0, duplication / 100.0);
  }
  void show(std::ostream& os) const override {
    os << "Links jitter " << jitter << " loss " << loss << " duplication "
       << duplication;
  }
};

struct RestartEntry : Command {
  int entry = *rc::gen::inRange(0, kEntries);
  void run(const Model&, InteractiveWorld& world) const override {
    world.StartEntry(entry);
  }
  void show(std::ostream& os) const override {
    os << "Restart entry " << entry;
  }
};

struct RestartAgent : Command {
  int agent = *rc::gen::inRange(0, kAgents);
  void run(const Model&, InteractiveWorld& world) const override {
    world.StartAgent(agent);
  }
  void show(std::ostream& os) const override {
    os << "Restart agent " << agent;
  }
};

struct DrainAgent : Command {
  int agent = *rc::gen::inRange(0, kAgents);
  void run(const Model&, InteractiveWorld& world) const override {
    world.DrainAgent(agent);
  }
  void show(std::ostream& os) const override { os << "Drain agent " << agent; }
};

struct DrainEntry : Command {
  int entry = *rc::gen::inRange(0, kEntries);
  void run(const Model&, InteractiveWorld& world) const override {
    world.entry(entry).BeginShutdown();
  }
  void show(std::ostream& os) const override { os << "Drain entry " << entry; }
};

struct CrashTarget : Command {
  int agent = *rc::gen::inRange(0, kAgents);
  void run(const Model&, InteractiveWorld& world) const override {
    world.target(agent).Crash();
  }
  void show(std::ostream& os) const override { os << "Crash target " << agent; }
};

struct RecoverTarget : Command {
  int agent = *rc::gen::inRange(0, kAgents);
  void run(const Model&, InteractiveWorld& world) const override {
    world.target(agent).Recover();
  }
  void show(std::ostream& os) const override {
    os << "Recover target " << agent;
  }
};

/// Slow, hanging and refusing targets.
struct DisturbTarget : Command {
  int agent = *rc::gen::inRange(0, kAgents);
  int service_time = *rc::gen::inRange(1, 3000);
  bool hangs = *rc::gen::inRange(0, 4) == 0;
  bool refuses = *rc::gen::inRange(0, 4) == 0;
  void run(const Model&, InteractiveWorld& world) const override {
    world.target(agent).service_time = Millis(service_time);
    world.target(agent).hangs = hangs;
    if (refuses)
      world.target(agent).RefuseConnections();
  }
  void show(std::ostream& os) const override {
    os << "Disturb target " << agent << " service time " << service_time
       << (hangs ? " hangs" : "") << (refuses ? " refuses" : "");
  }
};

/// Lets everything end, so that late copies would show.
void Settle(InteractiveWorld& world) {
  world.network.HealAll();
  world.network.SetLoss(0);
  for (int i = 0; i < kAgents; ++i) {
    world.target(i).Recover();
    world.target(i).hangs = false;
  }
  world.Run(Millis(kMaxDeadline + 6000));
}

/// Draws more and longer cases than RapidCheck's defaults, with the seed that
/// was given. Runs before RapidCheck reads its parameters.
const bool kHasMoreCases = [] {
  const char* given = std::getenv("RC_PARAMS");
  const std::string params = given ? given : "";
  return setenv("RC_PARAMS",
                ("max_success=2000 max_size=200 " + params).c_str(), 1) == 0;
}();

// Guards the promises to callers under every mix of faults of the failure
// model: loss, delay, reordering, duplication, one-way cuts, restarts of
// entries and agents, planned stops and failing targets.
TEST_CASE("callers' promises hold under random faults") {
  REQUIRE(kHasMoreCases);
  const bool is_ok = rc::check([] {
    InteractiveWorld world(kEntries, kAgents, *rc::gen::arbitrary<uint64_t>());
    rc::state::check(
        Model{}, world,
        rc::state::gen::execOneOfWithArgs<
            SubmitFresh, SubmitFresh, SubmitKeyed, SubmitKeyed, SubmitKeyed,
            Wait, Wait, Wait, Cut, Isolate, Heal, SetLinks, RestartEntry,
            RestartAgent, DrainAgent, DrainEntry, CrashTarget, RecoverTarget,
            DisturbTarget>());
    Settle(world);
    const std::vector<std::string> violations = Oracle(world).FindViolations();
    if (!violations.empty())
      RC_FAIL(violations.front());
    // A planned stop ends once everything has its answer. A keyed request at a
    // hung target is followed for 30 s after its deadline.
    for (int i = 0; i < kEntries; ++i)
      world.entry(i).BeginShutdown();
    for (int i = 0; i < kEntries; ++i) {
      for (int second = 0; second < 31 && !world.entry(i).IsDrained(); ++second)
        world.Run(Millis(1000));
      RC_ASSERT(world.entry(i).IsDrained());
    }
    int answered = 0;
    for (const Call& call : world.sink.calls)
      answered += !call.replies.empty() &&
                  call.replies[0].outcome == Outcome::kAnswered;
    RC_CLASSIFY(answered > 0, "some answered");
  });
  CHECK(is_ok);
}

}  // namespace
}  // namespace fulmarrock::test
