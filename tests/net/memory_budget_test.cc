#include "source/net/memory_budget.h"

#include <memory>
#include <optional>

#include <catch2/catch.hpp>

namespace fulmarrock::test {
namespace {

constexpr MemoryBudgetOptions kOptions = {.limit = 100,
                                          .free_bytes = 10,
                                          .min_age = Millis(1'000)};

/// A reception that releases its charge when it is aborted.
class FakeReception : public MemoryBudget::Holder {
 public:
  explicit FakeReception(MemoryBudget& budget) : charge(budget, *this) {}

  void AbortReception() override { is_aborted = true; }
  bool HasClientClosed() const override { return has_client_closed; }

  MemoryBudget::Charge charge;
  bool is_aborted = false;
  bool has_client_closed = false;
};

// Guards against a process that holds more than its budget for clients that
// send fast.
TEST_CASE("a reception beyond the limit is refused") {
  MemoryBudget budget(kOptions);
  FakeReception first(budget);
  FakeReception second(budget);
  CHECK(first.charge.Add(90, Millis(0)));
  CHECK(budget.used() == 80);
  CHECK_FALSE(second.charge.Add(31, Millis(999)));
  CHECK(second.charge.bytes() == 0);
  CHECK(second.charge.Add(30, Millis(999)));
  CHECK_FALSE(first.is_aborted);
}

// Guards against bodies that stop short of their end and keep the memory from
// everybody else.
TEST_CASE("the reception that began first is aborted to make room") {
  MemoryBudget budget(kOptions);
  FakeReception first(budget);
  FakeReception second(budget);
  FakeReception third(budget);
  REQUIRE(first.charge.Add(60, Millis(0)));
  REQUIRE(second.charge.Add(60, Millis(10)));
  CHECK(third.charge.Add(60, Millis(1'000)));
  CHECK(first.is_aborted);
  CHECK(first.charge.bytes() == 0);
  CHECK_FALSE(second.is_aborted);
  CHECK(budget.used() == 100);
}

// Guards against a crowd that keeps small requests from being received.
TEST_CASE("the first bytes of a reception do not count") {
  MemoryBudget budget(kOptions);
  FakeReception large(budget);
  FakeReception small(budget);
  REQUIRE(large.charge.Add(110, Millis(0)));
  CHECK(small.charge.Add(10, Millis(0)));
  CHECK_FALSE(small.charge.Add(1, Millis(0)));
}

// Guards against a complete request that is aborted while it is handled, and
// against one that is forgotten although its memory is in use.
TEST_CASE("a complete reception stays charged and is not aborted") {
  MemoryBudget budget(kOptions);
  FakeReception complete(budget);
  FakeReception next(budget);
  REQUIRE(complete.charge.Add(110, Millis(0)));
  complete.charge.OnComplete();
  CHECK_FALSE(next.charge.Add(20, Millis(60'000)));
  budget.AbortOlderThan(Millis(1'000), Millis(60'000));
  CHECK_FALSE(complete.is_aborted);
  complete.charge.Release();
  CHECK(next.charge.Add(20, Millis(60'000)));
}

// Guards against a peer that sends many messages at a time and is aborted
// although it completes them.
TEST_CASE("a reception that made progress counts as new") {
  MemoryBudget budget(kOptions);
  FakeReception busy(budget);
  FakeReception stalled(budget);
  FakeReception next(budget);
  REQUIRE(busy.charge.Add(60, Millis(0)));
  REQUIRE(stalled.charge.Add(50, Millis(500)));
  busy.charge.Subtract(20, Millis(1'400));
  CHECK(budget.used() == 70);
  CHECK(next.charge.Add(60, Millis(1'500)));
  CHECK(stalled.is_aborted);
  CHECK_FALSE(busy.is_aborted);
}

TEST_CASE("receptions that take too long are aborted") {
  MemoryBudget budget(kOptions);
  FakeReception old(budget);
  FakeReception recent(budget);
  REQUIRE(old.charge.Add(1, Millis(0)));
  REQUIRE(recent.charge.Add(1, Millis(1)));
  budget.AbortOlderThan(Millis(5'000), Millis(5'000));
  CHECK(old.is_aborted);
  CHECK_FALSE(recent.is_aborted);
  CHECK(budget.reception_count() == 1);
}

// Guards against connections that stay open after their client has gone.
TEST_CASE("receptions of clients that went away are aborted") {
  MemoryBudget budget(kOptions);
  FakeReception gone(budget);
  FakeReception there(budget);
  REQUIRE(gone.charge.Add(1, Millis(0)));
  REQUIRE(there.charge.Add(1, Millis(0)));
  gone.has_client_closed = true;
  budget.AbortClosed(Millis(999));
  CHECK_FALSE(gone.is_aborted);
  budget.AbortClosed(Millis(1'000));
  CHECK(gone.is_aborted);
  CHECK_FALSE(there.is_aborted);
}

// Guards against a client that announces a large body to have others aborted.
TEST_CASE("an announced size aborts no reception") {
  MemoryBudget budget(kOptions);
  FakeReception reception(budget);
  REQUIRE(reception.charge.Add(50, Millis(0)));
  CHECK_FALSE(budget.CanFit(111, Millis(10'000)));
  CHECK_FALSE(budget.CanFit(110, Millis(999)));
  CHECK(budget.CanFit(110, Millis(10'000)));
  CHECK_FALSE(reception.is_aborted);
}

TEST_CASE("a reception releases its charge when it is destroyed") {
  MemoryBudget budget(kOptions);
  {
    FakeReception reception(budget);
    REQUIRE(reception.charge.Add(50, Millis(0)));
  }
  CHECK(budget.used() == 0);
  CHECK(budget.reception_count() == 0);
}

}  // namespace
}  // namespace fulmarrock::test
