#include <catch2/catch.hpp>

#include "source/agent/worker_lease.h"
#include "source/workflow/worker_leases.h"

namespace fulmarrock::test {
namespace {

constexpr Millis kStart{1'000'000};
constexpr Millis kStep{6'000};

/// Time by a worker's clock that started at kStart and runs 2% slow.
Millis SlowClock(Millis now) {
  return (now - kStart) * 98 / 100;
}

}  // namespace

TEST_CASE("The lease on a slow worker clock expires before the granted lease") {
  WorkerLease lease(kStart, kStep);
  lease.OnGranted(kStart, Millis(4'000));
  lease.OnWorkerClock(SlowClock(kStart), kStart);
  const auto until = lease.TakeExtension(kStart + Millis(10));
  REQUIRE(until.has_value());
  CHECK(*until <= SlowClock(kStart + Millis(4'000)));
}

TEST_CASE("A lease is not extended without a grant or the worker's clock") {
  WorkerLease lease(kStart, kStep);
  CHECK_FALSE(lease.TakeExtension(kStart).has_value());
  lease.OnGranted(kStart, Millis(4'000));
  CHECK_FALSE(lease.TakeExtension(kStart).has_value());
  lease.OnWorkerClock(Millis(0), kStart);
  CHECK(lease.TakeExtension(kStart).has_value());
  CHECK_FALSE(lease.TakeExtension(kStart + Millis(4'000)).has_value());
}

TEST_CASE(
    "A worker's runs count as ended only after its lease expired by a slow "
    "clock") {
  WorkerLease lease(kStart, kStep);
  lease.ResetWorker(kStart, false);
  lease.OnGranted(kStart, Millis(60'000));
  lease.OnWorkerClock(SlowClock(kStart), kStart);
  const Millis until = *lease.TakeExtension(kStart);
  Millis now = kStart;
  while (!lease.HasExpired(now))
    now += Millis(10);
  CHECK(SlowClock(now) >= until);
  CHECK(now - kStart < kStep);
}

// Guards against a run that continues in a restarted worker while its task is
// started elsewhere: a poll for the earlier incarnation extended the lease of
// the new one, by a deadline on the earlier clock.
TEST_CASE("A worker that restarts under its id may have the longest lease") {
  WorkerLease lease(kStart, kStep);
  lease.OnGranted(kStart, Millis(60'000));
  const Millis restart = kStart + Millis(20'000);
  lease.ResetWorker(restart, true);
  lease.OnWorkerClock(Millis(100), restart);
  lease.TakeExtension(restart);
  CHECK_FALSE(lease.HasExpired(restart + kStep));
  CHECK(lease.HasExpired(restart + kStep + Millis(400)));
}

// Guards against a run that continues in a worker that restarted silently while
// its task is started elsewhere: the deadline of a request for the earlier
// incarnation is far in the future on the new clock.
TEST_CASE("A request that another incarnation received may give it a lease") {
  WorkerLease lease(kStart, kStep);
  lease.OnGranted(kStart, Millis(60'000));
  const Millis sent = kStart + Millis(20'000);
  lease.OnWorkerClock(SlowClock(sent), sent);
  lease.TakeExtension(sent);
  lease.OnOtherIncarnation(sent);
  CHECK_FALSE(lease.HasExpired(sent + kStep));
  CHECK(lease.HasExpired(sent + kStep + Millis(400)));
}

TEST_CASE(
    "A new agent process assumes that its predecessor just extended the "
    "lease") {
  const WorkerLease lease(kStart, kStep);
  CHECK_FALSE(lease.HasExpired(kStart + kStep));
  CHECK(lease.HasExpired(kStart + kStep + Millis(400)));
}

TEST_CASE(
    "A new leader waits a whole lease duration for a worker without a "
    "report") {
  WorkerLeases leases(Millis(10'000));
  leases.Reset(kStart);
  leases.Add(1);
  CHECK(leases.TakeExpired(kStart + Millis(10'000)).empty());
  CHECK(leases.TakeExpired(kStart + Millis(10'500)).size() == 1);
}

TEST_CASE("The lease of a worker is not extended while its runs are released") {
  WorkerLeases leases(Millis(10'000));
  leases.Reset(kStart);
  leases.Add(1);
  REQUIRE(leases.TakeExpired(kStart + Millis(11'000)).size() == 1);
  CHECK_FALSE(leases.OnReport(1, kStart + Millis(11'001)));
  leases.OnReleased(1);
  CHECK(leases.OnReport(1, kStart + Millis(11'002)));
}

}  // namespace fulmarrock::test
