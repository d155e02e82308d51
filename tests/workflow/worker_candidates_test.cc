#include <limits>

#include <catch2/catch.hpp>

#include "tests/support/workflow_cluster.h"

// Announcements of other programs, and of the worker beside an agent in another
// incarnation: only a worker that confirms its identity is used.

namespace fulmarrock::test {
namespace {

constexpr int64_t kFarFutureUnixMs = int64_t{1} << 50;
constexpr const char* kOtherAddress = "127.0.0.1:9";

/// An announcement as the worker of the first agent sends it.
WorkerAnnouncement MakeAnnouncement(const WorkflowCluster& cluster) {
  WorkerAnnouncement announcement;
  announcement.worker_incarnation =
      cluster.agents[0]->worker.worker_incarnation;
  announcement.address = FakeRunWorker::kAddress;
  announcement.attributes.service = "svc";
  announcement.attributes.cpu_millicores = 4'000;
  announcement.attributes.memory_mib = 4'096;
  announcement.sequence = cluster.agents[0]->sequence + 1;
  return announcement;
}

/// An announcement that the worker did not send, made from one that it sends.
struct ForgedAnnouncement {
  const char* name;
  void (*change)(WorkerAnnouncement& announcement);
};

const ForgedAnnouncement kForgedAnnouncements[] = {
    {"another id, address and service",
     [](WorkerAnnouncement& announcement) {
       announcement.worker_incarnation.id = "other";
       ++announcement.worker_incarnation.start_time_unix_ms;
       announcement.address = kOtherAddress;
       announcement.attributes.service = "other";
     }},
    {"another id at the worker's address",
     [](WorkerAnnouncement& announcement) {
       announcement.worker_incarnation.id = "other";
       ++announcement.worker_incarnation.start_time_unix_ms;
     }},
    {"the worker's id and a start time in the far future",
     [](WorkerAnnouncement& announcement) {
       announcement.worker_incarnation.start_time_unix_ms = kFarFutureUnixMs;
     }},
    {"the same at another address",
     [](WorkerAnnouncement& announcement) {
       announcement.worker_incarnation.start_time_unix_ms = kFarFutureUnixMs;
       announcement.address = kOtherAddress;
     }},
    {"the worker's identity at another address",
     [](WorkerAnnouncement& announcement) {
       announcement.address = kOtherAddress;
     }},
    {"the worker's identity and another service",
     [](WorkerAnnouncement& announcement) {
       announcement.attributes.service = "other";
     }},
    {"the worker's identity and the highest sequence number",
     [](WorkerAnnouncement& announcement) {
       announcement.sequence = std::numeric_limits<uint64_t>::max();
     }},
};

/// Returns whether a workflow that is submitted now completes.
bool IsWorkDone(WorkflowCluster& cluster, WorkflowKey key) {
  cluster.Submit(MakeChain(key, {2}));
  cluster.Run(Millis(3'000));
  return cluster.PhaseOf(key) == WorkflowPhase::kCompleted;
}

}  // namespace

// Guards against a worker that gets no work any more, because one announcement
// of another program was taken for that of its next incarnation.
TEST_CASE("An announcement of another program does not replace the worker") {
  for (const ForgedAnnouncement& forged : kForgedAnnouncements) {
    INFO(forged.name);
    WorkflowCluster cluster(3, 1, 1);
    cluster.SetQueueConfiguration(1);
    cluster.Run(Millis(1'000));
    WorkerAnnouncement announcement = MakeAnnouncement(cluster);
    forged.change(announcement);
    cluster.agents[0]->runner->OnAnnouncement(announcement);
    cluster.Run(Millis(4'000));
    CHECK(IsWorkDone(cluster, 7));
    // The next incarnation is not locked out either.
    cluster.agents[0]->worker.Restart();
    cluster.Run(Millis(3'000));
    CHECK(IsWorkDone(cluster, 8));
    CHECK(cluster.FindViolation().empty());
  }
}

// Guards against the same when the other program is the first one that a new
// agent process hears.
TEST_CASE("The worker is used if another program announced itself first") {
  for (const ForgedAnnouncement& forged : kForgedAnnouncements) {
    INFO(forged.name);
    WorkflowCluster cluster(3, 1, 1);
    cluster.SetQueueConfiguration(1);
    cluster.CrashAgent(0);
    cluster.agents[0]->worker.mode = FakeRunWorker::Mode::kDown;
    cluster.StartAgent(0);
    WorkerAnnouncement announcement = MakeAnnouncement(cluster);
    forged.change(announcement);
    const bool is_other = !(announcement.worker_incarnation ==
                            cluster.agents[0]->worker.worker_incarnation) ||
                          announcement.address != FakeRunWorker::kAddress;
    if (!is_other)
      continue;
    cluster.agents[0]->runner->OnAnnouncement(announcement);
    cluster.agents[0]->worker.mode = FakeRunWorker::Mode::kNormal;
    cluster.Run(Millis(3'000));
    CHECK(IsWorkDone(cluster, 7));
  }
}

// Guards against a worker that gets no work any more because the time of day
// was ahead when its predecessor started.
TEST_CASE("A worker whose start time is earlier than before is used") {
  WorkflowCluster cluster(3, 1, 1);
  cluster.SetQueueConfiguration(1);
  cluster.Run(Millis(1'000));
  FakeRunWorker& worker = cluster.agents[0]->worker;
  worker.Restart();
  worker.worker_incarnation.start_time_unix_ms = kFarFutureUnixMs;
  cluster.Run(Millis(3'000));
  REQUIRE(IsWorkDone(cluster, 7));
  worker.Restart();
  // Control releases the earlier incarnation when its lease has expired.
  cluster.Run(Millis(20'000));
  CHECK(IsWorkDone(cluster, 8));
  CHECK(cluster.FindViolation().empty());
}

}  // namespace fulmarrock::test
