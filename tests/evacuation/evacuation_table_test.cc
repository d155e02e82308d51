#include "source/workflow/evacuation_table.h"

#include <catch2/catch.hpp>

namespace fulmarrock::test {
namespace {

constexpr Millis kResendLimit{5'000};

EvacuationCommand Start(std::string data_centre) {
  return {0, std::move(data_centre), true, kResendLimit};
}

EvacuationCommand Finish(std::string data_centre) {
  return {0, std::move(data_centre), false, kResendLimit};
}

// Guards against evacuations that affect other data centres or are lost when
// another one is evacuated.
TEST_CASE("data centres are evacuated independently") {
  EvacuationTable table;
  CHECK(table.Apply(Start("a"), Millis(0)) == EvacuationOutcome::kChanged);
  CHECK(table.Apply(Start("b"), Millis(10)) == EvacuationOutcome::kChanged);
  CHECK(table.IsEvacuated("a"));
  CHECK(table.IsEvacuated("b"));
  CHECK_FALSE(table.IsEvacuated("c"));
  CHECK(table.Apply(Finish("a"), Millis(20)) == EvacuationOutcome::kChanged);
  CHECK_FALSE(table.IsEvacuated("a"));
  CHECK(table.IsEvacuated("b"));
}

// Guards against a repeated request that is refused, or that counts as a
// change.
TEST_CASE("a repeated request is accepted and changes nothing") {
  EvacuationTable table;
  table.Apply(Start("a"), Millis(0));
  const uint64_t version = table.version();
  CHECK(table.Apply(Start("a"), Millis(900)) == EvacuationOutcome::kUnchanged);
  CHECK(table.Apply(Start("a"), Millis(60'000)) ==
        EvacuationOutcome::kUnchanged);
  CHECK(table.version() == version);
}

TEST_CASE("a finish without a start is accepted and changes nothing") {
  EvacuationTable table;
  CHECK(table.Apply(Finish("a"), Millis(0)) == EvacuationOutcome::kUnchanged);
  CHECK(table.version() == 0);
}

// Guards against a late repetition of the start that evacuates the data centre
// again after its finish, with no operator who knows of it.
TEST_CASE("a start that may repeat one before the finish is deferred") {
  EvacuationTable table;
  table.Apply(Start("a"), Millis(0));
  table.Apply(Finish("a"), Millis(3'000));
  CHECK(table.Apply(Start("a"), Millis(4'999)) == EvacuationOutcome::kDeferred);
  CHECK_FALSE(table.IsEvacuated("a"));
  CHECK(table.Apply(Start("a"), Millis(5'000)) == EvacuationOutcome::kChanged);
}

// Guards against a late repetition of a finish that lets runs start in a data
// centre which was evacuated again.
TEST_CASE("a finish that may repeat one before the start is deferred") {
  EvacuationTable table;
  table.Apply(Start("a"), Millis(0));
  table.Apply(Finish("a"), Millis(10'000));
  table.Apply(Start("a"), Millis(12'000));
  CHECK(table.Apply(Finish("a"), Millis(14'000)) ==
        EvacuationOutcome::kDeferred);
  CHECK(table.IsEvacuated("a"));
  CHECK(table.Apply(Finish("a"), Millis(15'000)) ==
        EvacuationOutcome::kChanged);
}

// Guards against a resend limit that counts from the first of several starts:
// the last one may be repeated later.
TEST_CASE("the resend limit counts from the last accepted request") {
  EvacuationTable table;
  table.Apply(Start("a"), Millis(0));
  table.Apply(Start("a"), Millis(10'000));
  table.Apply(Finish("a"), Millis(11'000));
  CHECK(table.Apply(Start("a"), Millis(14'999)) ==
        EvacuationOutcome::kDeferred);
}

// Guards against a deferred request that extends its own delay, so that a new
// request would never be accepted.
TEST_CASE("a deferred request does not count as accepted") {
  EvacuationTable table;
  table.Apply(Start("a"), Millis(0));
  table.Apply(Finish("a"), Millis(1'000));
  for (int64_t at = 1'000; at < 5'000; at += 500)
    CHECK(table.Apply(Start("a"), Millis(at)) == EvacuationOutcome::kDeferred);
  CHECK(table.Apply(Start("a"), Millis(5'000)) == EvacuationOutcome::kChanged);
}

// Guards against an evacuation that is lost with the log entries that a
// snapshot replaces.
TEST_CASE("a snapshot keeps evacuations and the times of requests") {
  EvacuationTable table;
  table.Apply(Start("a"), Millis(0));
  table.Apply(Start("b"), Millis(0));
  table.Apply(Finish("b"), Millis(2'000));
  EvacuationTable restored;
  restored.Restore(table.Save());
  CHECK(restored.IsEvacuated("a"));
  CHECK(restored.version() == table.version());
  CHECK(restored.Apply(Start("b"), Millis(4'000)) ==
        EvacuationOutcome::kDeferred);
}

// Guards against a table that grows with every name that was ever used, and
// against an evacuation that is forgotten after a time.
TEST_CASE("old entries are removed unless the data centre is evacuated") {
  EvacuationTable table;
  table.Apply(Start("a"), Millis(0));
  table.Apply(Finish("b"), Millis(0));
  table.Prune(Millis::FromSeconds(3'600));
  CHECK(table.IsEvacuated("a"));
  CHECK(table.Find("b") == nullptr);
}

}  // namespace
}  // namespace fulmarrock::test
