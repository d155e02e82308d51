#include "source/storage/log_file.h"

#include <map>
#include <string>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "source/base/seeded_random.h"
#include "tests/support/fake_storage.h"

namespace fulmarrock::test {
namespace {

/// Collects the records that recovery passes to the visitor.
class Records : public LogVisitor {
 public:
  void OnReset(uint64_t) override { m_records.clear(); }
  Result<void> OnRecord(uint64_t index, std::string_view record) override {
    m_records.erase(m_records.lower_bound(index), m_records.end());
    m_records[index] = record;
    return {};
  }
  const std::map<uint64_t, std::string>& records() const { return m_records; }

 private:
  std::map<uint64_t, std::string> m_records;
};

constexpr uint64_t kSegmentBytes = 4096;
constexpr const char* kFirstSegment = "log-0000000000000001";

Result<std::unique_ptr<LogFile>> OpenLog(FakeStorage& disk, Records& records) {
  return LogFile::Open(disk, kSegmentBytes, records);
}

/// Opens the log again and returns the recovered records.
std::map<uint64_t, std::string> Recovered(FakeStorage& disk) {
  Records records;
  REQUIRE(OpenLog(disk, records));
  return records.records();
}

/// Opens an empty log and commits each text as a separate batch.
std::unique_ptr<LogFile> MakeLog(FakeStorage& disk,
                                 const std::vector<std::string>& texts) {
  Records records;
  auto log = OpenLog(disk, records);
  REQUIRE(log);
  uint64_t index = 0;
  for (const std::string& text : texts) {
    (*log)->Append(++index, text);
    REQUIRE((*log)->Commit());
  }
  return std::move(*log);
}

// Guards against an acknowledged record that is lost when the instance crashes.
TEST_CASE("committed records survive a crash and uncommitted ones do not") {
  FakeStorage disk;
  SeededRandom random(1);
  const auto log = MakeLog(disk, {"a", "b"});
  log->Append(3, "c");
  disk.Crash(CrashKind::kLoseUnsynced, random);
  CHECK(Recovered(disk) == std::map<uint64_t, std::string>{{1, "a"}, {2, "b"}});
}

// Guards against one sync per record.
TEST_CASE("a batch of records shares one sync") {
  FakeStorage disk;
  const auto log = MakeLog(disk, {"a"});
  const uint64_t syncs = disk.sync_count();
  for (uint64_t index = 2; index < 100; ++index)
    log->Append(index, "x");
  REQUIRE(log->Commit());
  CHECK(disk.sync_count() == syncs + 1);
}

// Guards against a write torn by a crash that prevents recovery or is read as a
// record.
TEST_CASE("a write torn at any byte is truncated and the log stays usable") {
  FakeStorage probe;
  MakeLog(probe, {"first"});
  const uint64_t acknowledged = probe.SizeOf(kFirstSegment);
  const uint64_t full = acknowledged + 60;
  for (uint64_t size = acknowledged; size < full; ++size) {
    FakeStorage disk;
    const auto log = MakeLog(disk, {"first"});
    disk.SetCapacity(size);
    log->Append(2, std::string(16, 'x'));
    REQUIRE(log->Commit().error().kind == ErrorKind::kResourceExhausted);
    disk.SetCapacity(UINT64_MAX);
    Records records;
    auto again = OpenLog(disk, records);
    REQUIRE(again);
    CHECK(records.records().size() == 1);
    (*again)->Append(2, "second");
    REQUIRE((*again)->Commit());
    CHECK(Recovered(disk).at(2) == "second");
  }
}

// Guards against recovery that silently drops damaged acknowledged records.
TEST_CASE("a damaged byte in any acknowledged record is detected") {
  FakeStorage probe;
  MakeLog(probe, {"a", "b", "c"});
  // The last 40 bytes are the unsynced marker after the last batch.
  for (uint64_t at = 0; at + 40 < probe.SizeOf(kFirstSegment); ++at) {
    FakeStorage disk;
    MakeLog(disk, {"a", "b", "c"});
    disk.CorruptByte(kFirstSegment, at);
    Records records;
    const auto log = OpenLog(disk, records);
    REQUIRE_FALSE(log);
    CHECK(log.error().kind == ErrorKind::kCorruption);
    CHECK(log.error().remedy.find("add it again") != std::string::npos);
  }
}

// Guards against recovery that overlooks a missing file in the middle.
TEST_CASE("a missing segment is detected") {
  FakeStorage disk;
  MakeLog(disk, std::vector<std::string>(12, std::string(1000, 'x')));
  REQUIRE(disk.Remove("log-0000000000000002"));
  Records records;
  CHECK(OpenLog(disk, records).error().kind == ErrorKind::kCorruption);
}

// Guards against records that count as synced because a sync after the failed
// one succeeds.
TEST_CASE("after a failed sync all further writes of the log fail") {
  FakeStorage disk;
  const auto log = MakeLog(disk, {"a"});
  disk.FailSyncAfter(0);
  log->Append(2, "b");
  REQUIRE_FALSE(log->Commit());
  log->Append(2, "b");
  CHECK(log->Commit().error().kind == ErrorKind::kIo);
  CHECK_FALSE(log->Reset(7));
  CHECK_FALSE(log->RemoveBefore(2));
}

// Guards against replaced records that recovery returns again.
TEST_CASE("a record replaces those with the same and higher indices") {
  FakeStorage disk;
  const auto log = MakeLog(disk, {"a", "b", "c"});
  log->Append(2, "B");
  REQUIRE(log->Commit());
  CHECK(Recovered(disk) == std::map<uint64_t, std::string>{{1, "a"}, {2, "B"}});
}

// Guards against a log that grows without bound, and against the removal of
// records that are still needed.
TEST_CASE("compaction removes whole segments below an index") {
  FakeStorage disk;
  const auto log =
      MakeLog(disk, std::vector<std::string>(40, std::string(1000, 'x')));
  const uint64_t before = log->size();
  REQUIRE(log->RemoveBefore(30));
  CHECK(log->size() < before / 2);
  const auto records = Recovered(disk);
  CHECK(records.begin()->first <= 30);
  CHECK(records.rbegin()->first == 40);
}

// Guards against old records that recovery returns although an installed
// snapshot replaced them.
TEST_CASE("a reset discards all records, also after a crash") {
  FakeStorage disk;
  SeededRandom random(1);
  const auto log = MakeLog(disk, {"a", "b"});
  REQUIRE(log->Reset(50));
  log->Append(50, "z");
  REQUIRE(log->Commit());
  disk.Crash(CrashKind::kLoseUnsynced, random);
  CHECK(Recovered(disk) == std::map<uint64_t, std::string>{{50, "z"}});
}

// Guards against a sequence of writes, replacements, compactions, resets and
// crashes that loses a committed record or restores a replaced one.
TEST_CASE("the log matches a map model over random operations and crashes") {
  const bool is_ok = rc::check([](uint64_t seed) {
    SeededRandom random(seed);
    FakeStorage disk;
    Records first;
    auto log = OpenLog(disk, first);
    std::map<uint64_t, std::string> model;
    uint64_t floor = 1;
    for (int step = 0; step < 60; ++step) {
      const uint64_t next = model.empty() ? floor : model.rbegin()->first + 1;
      const uint64_t choice = random.Below(10);
      if (choice < 6) {
        const uint64_t begin = next - random.Below(next - floor + 1);
        model.erase(model.lower_bound(begin), model.end());
        for (uint64_t i = begin; i < begin + 1 + random.Below(4); ++i) {
          model[i] = std::string(random.Below(900), 'a') + std::to_string(step);
          (*log)->Append(i, model[i]);
        }
        RC_ASSERT((*log)->Commit());
      } else if (choice < 7) {
        floor = next - random.Below(next - floor + 1);
        RC_ASSERT((*log)->RemoveBefore(floor));
      } else if (choice < 8) {
        floor = next + random.Below(5);
        model.clear();
        RC_ASSERT((*log)->Reset(floor));
      } else {
        if (choice == 8) {
          (*log)->Append(next, "unacknowledged");
          // A commit that starts a segment syncs three times, others once.
          disk.FailSyncAfter(random.Below(3));
          if ((*log)->Commit())
            model[next] = "unacknowledged";
        }
        disk.Crash(static_cast<CrashKind>(random.Below(3)), random);
        Records records;
        log = OpenLog(disk, records);
        if (!log)
          RC_FAIL(log.error().Describe());
        std::map<uint64_t, std::string> found = records.records();
        // Records below the floor may remain, and so may an unacknowledged
        // record at the end.
        found.erase(found.begin(), found.lower_bound(floor));
        if (!found.empty() && found.rbegin()->second == "unacknowledged")
          model[found.rbegin()->first] = "unacknowledged";
        std::map<uint64_t, std::string> wanted = model;
        wanted.erase(wanted.begin(), wanted.lower_bound(floor));
        RC_ASSERT(found == wanted);
      }
    }
  });
  CHECK(is_ok);
}

}  // namespace
}  // namespace fulmarrock::test
