#include <catch2/catch.hpp>

#include "source/agent/worker_lease.h"
#include "source/workflow/worker_leases.h"
#include "tests/support/manual_clock.h"

namespace fulmarrock::test {
namespace {

const Millis kStart = ManualClock().Now();
constexpr Millis kStep{6'000};

/// A lease, and the clock of a worker on the same instance that started at
/// kStart and runs 2% slow.
class LeaseOnInstance {
 public:
  Millis Now() const { return m_clock.Now(); }
  Millis WorkerClock() const {
    return (m_clock.Now() - kStart - m_suspended) * 98 / 100;
  }

  void Run(Millis duration) {
    const Millis end = Now() + duration;
    while (Now() < end) {
      m_clock.Advance(Millis(10));
      m_active_clock.Update();
    }
  }

  void Suspend(Millis duration) {
    m_clock.Advance(duration);
    m_suspended += duration;
  }

  /// The worker responds with its clock.
  void Respond() { m_lease.OnResponse(WorkerClock(), Now(), true); }

  /// A request with an extension ends.
  void EndRequest(Recipient recipient) {
    m_lease.OnExtensionEnded(recipient);
    m_lease.OnNoResponse();
  }

  /// Returns the time from now until the lease has expired.
  Millis TimeToExpiry() {
    const Millis start = Now();
    while (!m_lease.HasExpired())
      Run(Millis(10));
    return Now() - start;
  }

  WorkerLease& lease() { return m_lease; }

 private:
  ManualClock m_clock;
  ActiveClock m_active_clock{m_clock};
  WorkerLease m_lease{m_clock, m_active_clock, kStep};
  Millis m_suspended{0};
};

/// A lease that was extended by a request whose end is `recipient`'s.
class UnansweredExtension : public LeaseOnInstance {
 public:
  explicit UnansweredExtension(Recipient recipient) {
    lease().ResetWorker(false);
    lease().OnGranted(kStart, Millis(60'000));
    Run(Millis(20'000));
    Respond();
    lease().TakeExtension();
    Run(Millis(800));
    EndRequest(recipient);
  }
};

}  // namespace

TEST_CASE("The lease on a slow worker clock expires before the granted lease") {
  LeaseOnInstance test;
  test.lease().OnGranted(kStart, Millis(4'000));
  test.Respond();
  test.Run(Millis(10));
  const auto until = test.lease().TakeExtension();
  REQUIRE(until.has_value());
  test.Run(Millis(3'990));
  CHECK(*until <= test.WorkerClock());
}

TEST_CASE("A lease is not extended without a grant or the worker's clock") {
  LeaseOnInstance test;
  CHECK_FALSE(test.lease().TakeExtension().has_value());
  test.lease().OnGranted(kStart, Millis(4'000));
  CHECK_FALSE(test.lease().TakeExtension().has_value());
  test.Respond();
  CHECK(test.lease().TakeExtension().has_value());
  test.Run(Millis(4'000));
  CHECK_FALSE(test.lease().TakeExtension().has_value());
}

TEST_CASE(
    "A worker's runs count as ended only after its lease expired by a slow "
    "clock") {
  LeaseOnInstance test;
  test.lease().ResetWorker(false);
  test.lease().OnGranted(kStart, Millis(60'000));
  test.Respond();
  const Millis until = *test.lease().TakeExtension();
  test.EndRequest(Recipient::kKnown);
  while (!test.lease().HasExpired())
    test.Run(Millis(10));
  CHECK(test.WorkerClock() >= until);
  CHECK(test.Now() - kStart < kStep);
}

// Guards against runs that are taken for ended while they continue on a worker
// whose clock stood still during a suspension.
TEST_CASE("A lease does not expire while its instance is suspended") {
  LeaseOnInstance test;
  test.lease().ResetWorker(false);
  test.lease().OnGranted(kStart, Millis(60'000));
  test.Respond();
  const Millis until = *test.lease().TakeExtension();
  test.EndRequest(Recipient::kKnown);
  for (int i = 0; i < 5; ++i) {
    test.Run(Millis(600));
    test.Suspend(Millis(3'000));
  }
  while (!test.lease().HasExpired())
    test.Run(Millis(10));
  CHECK(test.WorkerClock() >= until);
  CHECK(test.WorkerClock() < until + Millis(300));
}

// Guards against a lease that outlasts control's grant: the clock in the
// worker's last response was taken to advance during a suspension.
TEST_CASE("An extension after a suspension ends within the grant") {
  LeaseOnInstance test;
  test.lease().OnGranted(kStart, Millis(8'000));
  test.Respond();
  test.Suspend(Millis(5'000));
  test.Run(Millis(10));
  const auto until = test.lease().TakeExtension();
  REQUIRE(until.has_value());
  test.Run(Millis(2'990));
  CHECK(*until <= test.WorkerClock());
}

// Guards against a run that continues in a restarted worker while its task is
// started elsewhere: a poll for the earlier incarnation extended the lease of
// the new one, by a deadline on the earlier clock.
TEST_CASE("A worker that restarts under its id may have the longest lease") {
  LeaseOnInstance test;
  test.lease().OnGranted(kStart, Millis(60'000));
  test.Run(Millis(20'000));
  test.lease().ResetWorker(true);
  test.lease().OnResponse(Millis(100), test.Now(), true);
  test.lease().TakeExtension();
  test.EndRequest(Recipient::kKnown);
  test.Run(kStep);
  CHECK_FALSE(test.lease().HasExpired());
  test.Run(Millis(400));
  CHECK(test.lease().HasExpired());
}

// Guards against a run that continues in a worker that restarted silently while
// its task is started elsewhere: the deadline of a request for the earlier
// incarnation is far in the future on the new clock.
TEST_CASE("A request that another incarnation received may give it a lease") {
  LeaseOnInstance test;
  test.lease().OnGranted(kStart, Millis(60'000));
  test.Run(Millis(20'000));
  test.Respond();
  test.lease().TakeExtension();
  test.EndRequest(Recipient::kAny);
  test.lease().OnOtherIncarnation();
  test.Run(kStep);
  CHECK_FALSE(test.lease().HasExpired());
  test.Run(Millis(400));
  CHECK(test.lease().HasExpired());
}

// Guards against a run that continues in a worker which restarted under its id
// and took the longest lease from a request without a response.
TEST_CASE("An extension that any process may have got is the longest one") {
  UnansweredExtension test(Recipient::kAny);
  CHECK(test.TimeToExpiry() >= kStep * 100 / 98);
}

// Guards against a lease that counts as expired while a request that extends it
// is in flight.
TEST_CASE("A lease does not expire before the last extension has ended") {
  LeaseOnInstance test;
  test.lease().ResetWorker(false);
  test.lease().OnGranted(kStart, Millis(500));
  test.Respond();
  test.lease().TakeExtension();
  test.Run(Millis(10'000));
  CHECK_FALSE(test.lease().HasExpired());
  test.EndRequest(Recipient::kKnown);
  CHECK(test.lease().HasExpired());
}

// Guards against tasks of a silent worker that wait for the longest lease
// although no other process can have got the request.
TEST_CASE("The lease of a worker that is known to be the recipient is short") {
  for (const Recipient recipient : {Recipient::kKnown, Recipient::kNone}) {
    UnansweredExtension test(recipient);
    CHECK(test.TimeToExpiry() < kStep * 8 / 10);
  }
}

// Guards against the same when only heartbeats show that the worker has not
// restarted, and against a delayed heartbeat that is taken for such proof.
TEST_CASE("A heartbeat sent after a request proves who received it") {
  UnansweredExtension late(Recipient::kAny);
  late.lease().OnAnnouncement(late.WorkerClock() - Millis(500));
  CHECK(late.TimeToExpiry() >= kStep * 100 / 98);
  UnansweredExtension test(Recipient::kAny);
  test.Run(Millis(1'100));
  test.lease().OnAnnouncement(test.WorkerClock());
  CHECK(test.TimeToExpiry() < kStep * 8 / 10);
}

// Guards against a wait that never ends: each extension that is sent to a
// silent worker may give another incarnation the longest lease.
TEST_CASE("No extension is sent until a later request has a response") {
  UnansweredExtension test(Recipient::kAny);
  CHECK_FALSE(test.lease().TakeExtension().has_value());
  // The response to a request that was sent before.
  test.lease().OnResponse(test.WorkerClock(), test.Now() - Millis(100), true);
  CHECK_FALSE(test.lease().TakeExtension().has_value());
  test.Run(Millis(100));
  test.Respond();
  CHECK(test.lease().TakeExtension().has_value());
}

TEST_CASE(
    "A new agent process assumes that its predecessor just extended the "
    "lease") {
  LeaseOnInstance test;
  test.Run(kStep);
  CHECK_FALSE(test.lease().HasExpired());
  test.Run(Millis(400));
  CHECK(test.lease().HasExpired());
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
