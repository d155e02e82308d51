#include <set>

#include <catch2/catch.hpp>

#include "source/base/seeded_random.h"
#include "source/entry/burst_admission.h"
#include "source/entry/load_routing.h"
#include "source/entry/outlier_detector.h"
#include "source/entry/target_subset.h"

namespace fulmarrock {
namespace {

struct TargetFixture {
  explicit TargetFixture(int count) {
    for (int i = 0; i < count; ++i)
      Announce(i, 0, 50);
  }

  static NodeId Name(int i) { return "agent-" + std::to_string(i); }

  void Announce(int i, int32_t running, int64_t service_time) {
    TargetAnnounce announce;
    announce.service = "previews";
    announce.data_centre = i % 2 == 0 ? "dc-0" : "dc-1";
    announce.incarnation = 1;
    announce.load = {8, running, 0, Millis(service_time), Millis(0)};
    table.OnAnnounce(Name(i), announce, now);
  }

  std::vector<const Target*> All() { return table.FindUsable("previews", now); }

  Millis now{1000};
  TargetTable table{TargetTable::Options{}};
};

TEST_CASE(
    "routing avoids saturated and slow targets, and counts own requests") {
  TargetFixture targets(4);
  targets.Announce(0, 8, 50);
  targets.Announce(1, 0, 500);
  SeededRandom random(1);
  LoadRouting routing({"dc-0", 8, 2, 50}, random);
  CHECK(routing.Choose(targets.All(), targets.now)->node == "agent-2");
  for (int i = 0; i < 16; ++i)
    targets.table.AddInFlight("agent-2", 1, targets.now);
  CHECK(routing.Choose(targets.All(), targets.now)->node == "agent-3");
}

// Guards against a load report that was delayed being compared with the number
// of requests in progress when it arrives.
TEST_CASE("a late report is reduced by the own requests it contains") {
  TargetFixture targets(1);
  for (int i = 0; i < 5; ++i)
    targets.table.AddInFlight("agent-0", 1, Millis(1010));
  for (int i = 0; i < 5; ++i)
    targets.table.RemoveInFlight("agent-0", 1, Millis(1050));
  TargetLoad load{8, 7, 0, Millis(50), Millis(40)};
  targets.table.OnLoad("agent-0", 1, load, Millis(1060));
  CHECK(targets.table.Find("agent-0")->OthersInFlight() == 2);
  load.age = Millis(60);
  targets.table.OnLoad("agent-0", 1, {}, Millis(1010));
  CHECK(targets.table.Find("agent-0")->OthersInFlight() == 2);
}

TEST_CASE("delayed announcements of an earlier incarnation are ignored") {
  TargetFixture targets(1);
  TargetAnnounce announce;
  announce.service = "previews";
  announce.incarnation = 2;
  CHECK(targets.table.OnAnnounce("agent-0", announce, targets.now));
  announce.incarnation = 1;
  CHECK_FALSE(targets.table.OnAnnounce("agent-0", announce, targets.now));
  CHECK(targets.table.Find("agent-0")->incarnation == 2);
}

TEST_CASE("a subset is bounded, spread and stable") {
  TargetFixture targets(100);
  std::set<const Target*> used;
  for (int entry = 0; entry < 20; ++entry) {
    const NodeId name = "entry-" + std::to_string(entry);
    auto subset = SelectSubset(targets.All(), name, 10);
    CHECK(subset.size() == 10);
    used.insert(subset.begin(), subset.end());
    auto fewer = targets.All();
    std::erase(fewer, subset[0]);
    int kept = 0;
    for (const Target* target : SelectSubset(fewer, name, 10))
      kept += std::count(subset.begin(), subset.end(), target) > 0;
    CHECK(kept == 9);
  }
  CHECK(used.size() > 70);
}

TEST_CASE("a failing target is quarantined, probed and released") {
  TargetFixture targets(4);
  OutlierDetector outliers{OutlierDetector::Options{}};
  for (int i = 0; i < 5; ++i)
    outliers.OnFailure("agent-0", targets.now);
  CHECK(outliers.IsQuarantined("agent-0"));
  CHECK(outliers.Filter(targets.All(), targets.now).size() == 3);
  CHECK(outliers.TakeProbe(targets.All(), targets.now) == nullptr);
  for (int i = 0; i < 3; ++i) {
    targets.now += Millis(1000);
    for (int j = 0; j < 4; ++j)
      targets.Announce(j, 0, 50);
    REQUIRE(outliers.TakeProbe(targets.All(), targets.now));
    CHECK(outliers.TakeProbe(targets.All(), targets.now) == nullptr);
    outliers.OnSuccess("agent-0", targets.now);
  }
  CHECK_FALSE(outliers.IsQuarantined("agent-0"));
}

// Guards against quarantining every target of a service when all of them fail.
TEST_CASE("at most half of the targets are quarantined at once") {
  TargetFixture targets(4);
  OutlierDetector outliers{OutlierDetector::Options{}};
  for (int i = 0; i < 4; ++i)
    outliers.OnUnresponsive(TargetFixture::Name(i), targets.now);
  CHECK(outliers.Filter(targets.All(), targets.now).size() == 2);
}

TEST_CASE("a target far slower than the median is quarantined") {
  TargetFixture targets(4);
  targets.Announce(2, 0, 500);
  OutlierDetector outliers{OutlierDetector::Options{}};
  outliers.DetectSlowTargets(targets.All(), targets.now);
  CHECK(outliers.IsQuarantined("agent-2"));
  CHECK(outliers.CountQuarantined() == 1);
}

// Guards against a customer's burst that raises the p99 latency of another
// customer.
TEST_CASE("a burst is limited to its fair share while targets are saturated") {
  BurstAdmission admission{BurstAdmission::Options{}};
  Plan plan;
  plan.max_concurrent_requests = 1000;
  const Millis now{1000};
  int refused = 0;
  for (int i = 0; i < 300; ++i) {
    refused += !admission.Admit({"burst", &plan, 2.0, now});
    if (i % 10 == 0)
      CHECK(admission.Admit({i % 20 == 0 ? "a" : "b", &plan, 2.0, now}));
  }
  CHECK(refused > 250);
  CHECK(admission.Admit({"burst", &plan, 0.5, now}));
  CHECK(admission.Admit({"nobody", nullptr, 0.5, now}).error().kind ==
        ErrorKind::kPermissionDenied);
}

}  // namespace
}  // namespace fulmarrock
