#include <filesystem>
#include <string>

#include <catch2/catch.hpp>

#include "source/base/seeded_random.h"
#include "source/storage/file_storage.h"
#include "source/storage/member_state.h"
#include "source/storage/snapshot_store.h"
#include "tests/support/fake_storage.h"

namespace fulmarrock::test {
namespace {

/// Folder that is removed at the end of a test.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string name =
        (std::filesystem::temp_directory_path() / "fulmarrock-XXXXXX").string();
    REQUIRE(mkdtemp(name.data()) != nullptr);
    m_path = name;
  }
  ~TemporaryFolder() { std::filesystem::remove_all(m_path); }
  std::string Sub(const std::string& name) const { return m_path + "/" + name; }

 private:
  std::string m_path;
};

// Guards against two processes that write to one data folder.
TEST_CASE("a data folder can be opened by one process at a time") {
  const TemporaryFolder folder;
  auto first = FileStorage::OpenFolder(folder.Sub("data"));
  REQUIRE(first);
  const auto second = FileStorage::OpenFolder(folder.Sub("data"));
  REQUIRE_FALSE(second);
  CHECK(second.error().kind == ErrorKind::kFailedPrecondition);
  first->reset();
  CHECK(FileStorage::OpenFolder(folder.Sub("data")));
}

// Guards against differences between FileStorage and FakeStorage.
TEST_CASE("files can be appended to, truncated, renamed and removed") {
  const TemporaryFolder folder;
  auto storage = FileStorage::OpenFolder(folder.Sub("data"));
  REQUIRE(storage);
  auto file = (*storage)->Create("one");
  REQUIRE(file);
  REQUIRE((*file)->Append("hello world"));
  REQUIRE((*file)->Truncate(5));
  REQUIRE((*file)->Append("!"));
  REQUIRE((*file)->Sync());
  REQUIRE((*storage)->Rename("one", "two"));
  REQUIRE((*storage)->SyncFolder());
  CHECK((*storage)->List().value() == std::vector<std::string>{"two"});
  CHECK((*storage)->Open("two").value()->Read(1, 100).value() == "ello!");
  CHECK((*storage)->Open("one").error().kind == ErrorKind::kNotFound);
  REQUIRE((*storage)->Remove("two"));
  CHECK((*storage)->List().value().empty());
  CHECK((*storage)->Remove("two").error().kind == ErrorKind::kNotFound);
}

// Guards against a crash that leaves neither the old nor the new snapshot.
TEST_CASE("a snapshot is replaced atomically") {
  SeededRandom random(5);
  // Save() syncs twice: the new file and the folder.
  for (uint64_t good_syncs = 0; good_syncs < 2; ++good_syncs) {
    FakeStorage disk;
    REQUIRE(SnapshotStore(disk).Save("m1", "state one"));
    disk.FailSyncAfter(good_syncs);
    CHECK_FALSE(SnapshotStore(disk).Save("m2", "state two"));
    disk.Crash(CrashKind::kTearWrites, random);
    SnapshotStore store(disk);
    const auto loaded = store.Load();
    REQUIRE(loaded);
    CHECK((*loaded)->state == "state one");
    CHECK(store.ReadState(6, 100).value() == "one");
  }
}

// Guards against restoring a damaged state.
TEST_CASE("a damaged byte anywhere in a snapshot is detected") {
  for (uint64_t at = 0; at < 51; ++at) {
    FakeStorage disk;
    REQUIRE(SnapshotStore(disk).Save("m1", "state one"));
    REQUIRE(disk.SizeOf("snapshot") == 51);
    disk.CorruptByte("snapshot", at);
    const auto loaded = SnapshotStore(disk).Load();
    REQUIRE_FALSE(loaded);
    CHECK(loaded.error().kind == ErrorKind::kCorruption);
  }
}

// Guards against a second vote in the same term after a restart.
TEST_CASE("term, vote and incarnation survive a crash") {
  FakeStorage disk;
  SeededRandom random(3);
  auto store = MemberStateStore::Open(disk, "a", random);
  REQUIRE(store);
  const Incarnation incarnation = store->state().incarnation;
  REQUIRE(incarnation != 0);
  REQUIRE(store->SetTermAndVote(7, "b"));
  disk.Crash(CrashKind::kLoseUnsynced, random);
  const auto again = MemberStateStore::Open(disk, "a", random);
  REQUIRE(again);
  CHECK(again->state().term == 7);
  CHECK(again->state().voted_for == "b");
  CHECK(again->state().incarnation == incarnation);
}

// Guards against a member that keeps its old incarnation with an emptied
// folder, or uses that of the member whose folder was copied.
TEST_CASE("an emptied, copied or foreign folder gets a new incarnation") {
  FakeStorage disk;
  FakeStorage copy;
  SeededRandom random(4);
  const Incarnation original =
      MemberStateStore::Open(disk, "a", random)->state().incarnation;
  copy.CopyFrom(disk);
  const auto copied = MemberStateStore::Open(copy, "a", random);
  REQUIRE(copied);
  CHECK(copied->state().incarnation != original);
  CHECK(MemberStateStore::Open(copy, "a", random)->state().incarnation ==
        copied->state().incarnation);
  CHECK(MemberStateStore::Open(disk, "b", random)->state().incarnation !=
        original);
  disk.Wipe();
  CHECK(MemberStateStore::Open(disk, "a", random)->state().incarnation !=
        original);
}

// Guards against a vote that is lost because its file is damaged.
TEST_CASE("a damaged byte anywhere in the member file is detected") {
  FakeStorage disk;
  SeededRandom random(6);
  REQUIRE(MemberStateStore::Open(disk, "a", random)->SetTermAndVote(7, "b"));
  for (uint64_t at = 0; at < disk.SizeOf("member"); ++at) {
    disk.CorruptByte("member", at);
    CHECK(MemberStateStore::Open(disk, "a", random).error().kind ==
          ErrorKind::kCorruption);
    disk.CorruptByte("member", at);
  }
}

}  // namespace
}  // namespace fulmarrock::test
