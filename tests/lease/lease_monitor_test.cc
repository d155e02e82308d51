#include <optional>
#include <vector>

#include <catch2/catch.hpp>

#include "tests/support/control_cluster.h"

namespace fulmarrock::test {
namespace {

constexpr Millis kStart{1'000'000};
constexpr Millis kSafeDuration = LeaseMonitor::kSafeLeaseDuration;

/// Whether a scan of all workers at the given time reports the event for worker
/// 0.
bool Reports(LeaseMonitor& monitor, LeaseEvent::Kind kind, Millis now) {
  bool is_reported = false;
  for (int i = 0; i < 100; ++i) {
    for (const LeaseEvent& event : monitor.Scan(now))
      is_reported |= event.kind == kind && event.worker == 0;
  }
  return is_reported;
}

// Guards against a new leader that releases leases too early: the previous
// leader may have renewed them until its quorum check failed.
TEST_CASE(
    "a new leader waits for the lease duration, the drift margin and the "
    "overlap of leaders") {
  LeaseMonitor monitor;
  monitor.Reset(1, kStart);
  const Millis end = kStart + kLeaseDuration + kClockDriftMargin +
                     LeaseMonitor::kLeaderOverlap;
  CHECK_FALSE(Reports(monitor, LeaseEvent::Kind::kExpired, end - Millis(1)));
  CHECK_FALSE(
      Reports(monitor, LeaseEvent::Kind::kOrphansExpired, end - Millis(1)));
  // Reported once, whereas kExpired is reported by every scan.
  CHECK(Reports(monitor, LeaseEvent::Kind::kOrphansExpired, end));
  CHECK(Reports(monitor, LeaseEvent::Kind::kExpired, end));
}

// Guards against a lease deadline that is not counted from the receipt of the
// last renewal.
TEST_CASE("a lease expires a lease duration and the margin after the receipt") {
  LeaseMonitor monitor;
  monitor.Reset(0, kStart);
  monitor.OnAnnounced(0, true, kStart);
  const Millis receipt = kStart + Millis(5'000);
  CHECK(monitor.OnRenewal(0, Millis(7), Millis(0), true, receipt));
  CHECK(monitor.LastSentAt(0) == Millis(7));
  const auto expired = LeaseEvent::Kind::kExpired;
  CHECK_FALSE(Reports(monitor, expired, receipt + kSafeDuration - Millis(1)));
  CHECK_FALSE(monitor.IsExpiring(0));
  CHECK(Reports(monitor, expired, receipt + kSafeDuration));
  CHECK(monitor.IsExpiring(0));
}

// Guards against a restart of an agent that changes the deadline of the leases
// of its previous incarnation.
TEST_CASE("the leases of a previous incarnation keep their own deadline") {
  LeaseMonitor monitor;
  monitor.Reset(0, kStart);
  monitor.OnAnnounced(0, true, kStart);
  // Consumes the event about leases from before this leadership, which is
  // reported once.
  Reports(monitor, LeaseEvent::Kind::kOrphansExpired,
          kStart + kSafeDuration + LeaseMonitor::kLeaderOverlap);
  const Millis receipt = kStart + Millis(20'000);
  monitor.OnRenewal(0, Millis(7), Millis(0), true, receipt);
  monitor.OnAnnounced(0, true, receipt + Millis(3'000));
  monitor.OnRenewal(0, Millis(9), Millis(0), true, receipt + Millis(9'000));
  const auto orphans = LeaseEvent::Kind::kOrphansExpired;
  CHECK_FALSE(Reports(monitor, orphans, receipt + kSafeDuration - Millis(1)));
  CHECK(Reports(monitor, orphans, receipt + kSafeDuration));
}

// Guards against tasks that stay granted to a worker that cannot start them,
// since it sends renewals but receives no messages of the leader.
TEST_CASE("a worker that receives no replies is not renewed indefinitely") {
  LeaseMonitor monitor;
  monitor.Reset(0, kStart);
  monitor.OnAnnounced(0, true, kStart);
  Millis now = kStart;
  for (; now < kStart + kLeaseDuration; now += Millis(1'000))
    CHECK(monitor.OnRenewal(0, now, Millis(0), true, now));
  CHECK_FALSE(monitor.OnRenewal(0, now, Millis(0), true, now));
  CHECK(Reports(monitor, LeaseEvent::Kind::kPlacementsStopped, now));
  // Without leases it is renewed, but gets tasks only after it received a
  // reply.
  CHECK(monitor.OnRenewal(0, now, Millis(0), false, now));
  CHECK_FALSE(Reports(monitor, LeaseEvent::Kind::kPlacementsResumed, now));
  CHECK(monitor.OnRenewal(0, now, now, true, now));
  CHECK(Reports(monitor, LeaseEvent::Kind::kPlacementsResumed, now));
}

/// An agent whose messages are sent by the test.
struct ManualAgent {
  explicit ManualAgent(ControlCluster& c) : cluster(c) {
    cluster.network.SetHandler(
        "worker", [this](const NodeId&, const Message& message) {
          if (const auto* renewed = std::get_if<LeaseRenewReply>(&message))
            reply = *renewed;
          else if (const auto* grants = std::get_if<GrantBatch>(&message))
            granted = grants->grants;
        });
    WorkerAnnounce announce;
    announce.capacity = {4000, 4096, 0};
    announce.incarnation = 5;
    Send(announce);
  }
  void Send(const Message& message) {
    reply.reset();
    cluster.network.TransportOf("worker").Send("control0", message);
    cluster.Run(Millis(50));
  }
  void Renew(uint64_t digest, uint32_t count) {
    const Millis now = cluster.clock.Now();
    Send(LeaseRenew{5, digest, count, now, now});
  }

  ControlCluster& cluster;
  std::optional<LeaseRenewReply> reply;
  std::vector<TaskGrant> granted;
};

// Guards against a renewal that is accepted while the release of its leases is
// proposed but not committed: the task would run on two workers.
TEST_CASE("leases whose release is proposed are not renewed") {
  ControlCluster cluster(1, 0, 1);
  cluster.ApplyDefaultConfiguration();
  ManualAgent agent(cluster);
  agent.Renew(0, 0);
  const JobId job = *cluster.Submit(MakeSpec(), "a");
  cluster.Run(Millis(100));
  REQUIRE(agent.granted.size() == 1);
  const uint64_t digest = LeaseDigest({job, 0}, 1);
  agent.Renew(digest, 1);
  REQUIRE(agent.reply);
  CHECK(agent.reply->is_renewed);

  cluster.log.SetDelay(Millis(4'000));
  cluster.Run(kSafeDuration + Millis(500));
  CHECK(cluster.leader().role->counters().Get("control_leases_expired") > 0);
  CHECK(cluster.state().jobs().FindTask({job, 0})->state ==
        TaskState::kRunning);
  agent.Renew(digest, 1);
  CHECK_FALSE(agent.reply);
  cluster.Run(Millis(9'000));
  agent.Renew(digest, 1);
  REQUIRE(agent.reply);
  CHECK_FALSE(agent.reply->is_renewed);
}

// Guards against a renewal by a member that is not the leader, which cannot
// know the leases that the leader released.
TEST_CASE("followers and replaced leaders do not renew leases") {
  ControlCluster cluster(3, 0, 1);
  cluster.ApplyDefaultConfiguration();
  ManualAgent agent(cluster);
  agent.Renew(0, 0);
  CHECK(agent.reply);
  const Millis now = cluster.clock.Now();
  agent.reply.reset();
  cluster.network.TransportOf("worker").Send("control1",
                                             LeaseRenew{5, 0, 0, now, now});
  cluster.Run(Millis(50));
  CHECK_FALSE(agent.reply);
  cluster.log.ChangeLeader("control2");
  cluster.Run(Millis(100));
  agent.Renew(0, 0);
  CHECK_FALSE(agent.reply);
}

// Guards against the renewal of leases that are not current.
TEST_CASE("a digest mismatch leads to a report that names what to stop") {
  ControlCluster cluster(1, 0, 1);
  cluster.ApplyDefaultConfiguration();
  ManualAgent agent(cluster);
  agent.Renew(LeaseDigest({99, 0}, 1), 1);
  REQUIRE(agent.reply);
  CHECK_FALSE(agent.reply->is_renewed);
  CHECK(agent.reply->needs_report);
  const Millis now = cluster.clock.Now();
  agent.Send(LeaseReport{5, now, {{{99, 0}, 1}}, now});
  REQUIRE(agent.reply);
  CHECK(agent.reply->is_renewed);
  CHECK(agent.reply->revoked == std::vector<HeldLease>{{{99, 0}, 1}});
}

}  // namespace
}  // namespace fulmarrock::test
