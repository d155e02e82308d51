#include <malloc.h>

#include <cstdio>
#include <memory>
#include <string>

#include "bench/capacity/capacity_cluster.h"
#include "bench/capacity/linear_fit.h"
#include "tests/support/fake_storage.h"

// Measures the resources that each role uses at three cluster sizes, fits lines
// to them, and prints the estimate for one shard of the largest deployment.

namespace fulmarrock::bench {
namespace {

constexpr int kWorkerCounts[] = {50, 200, 700};
constexpr uint32_t kTasksPerWorker = 27;
constexpr int64_t kTaskMillicores = 1000;
constexpr Millis kEndless{100'000'000};
constexpr int kMeasuredSeconds = 20;
constexpr uint32_t kStartsPerSecond = 150;

/// Size of the largest deployment and the number of shards it is divided into.
constexpr double kWorkers = 5300;
constexpr double kTasks = 141'000;
constexpr double kPeakStarts = 1100;
constexpr double kChangesPerDay = 14'000;
constexpr double kShards = 8;
constexpr double kSecondsPerDay = 86'400;

/// Resources that one process of a role uses, as lines over the number of
/// workers (per second, without starts) and over the number of starts.
struct RoleModel {
  LinearFit idle_cpu_us;
  LinearFit idle_bytes;
  LinearFit start_cpu_us;
  LinearFit start_bytes;
};

double Bytes(const RoleUsage& usage) {
  return usage.sent_bytes + usage.received_bytes;
}

void AddMeasurement(RoleModel& model,
                    int workers,
                    const RoleUsage& idle,
                    const RoleUsage& busy,
                    double starts,
                    double processes) {
  const double seconds = kMeasuredSeconds;
  model.idle_cpu_us.Add(workers, idle.cpu_us / seconds / processes);
  model.idle_bytes.Add(workers, Bytes(idle) / seconds / processes);
  // The cost of starts is the usage above that of the idle phase at the same
  // size.
  model.start_cpu_us.Add(starts, (busy.cpu_us - idle.cpu_us) / processes);
  model.start_bytes.Add(starts, (Bytes(busy) - Bytes(idle)) / processes);
}

/// Heap of a leader with the state of the given member.
double MeasureLeaderHeap(ControlMember& member) {
  const std::string snapshot = member.role().SaveSnapshot();
  test::ManualClock clock;
  SeededRandom random(1);
  test::FakeNetwork network(clock, random);
  const size_t before = mallinfo2().uordblks;
  FairScheduler scheduler;
  ControlRole role("copy", clock, network.TransportOf("copy"), random,
                   scheduler);
  if (!role.RestoreSnapshot(snapshot))
    return 0;
  role.AttachLog(member.consensus());
  role.OnLeadershipGained(1);
  return static_cast<double>(mallinfo2().uordblks - before);
}

void PrintRow(const char* role,
              const RoleModel& model,
              double workers,
              double starts) {
  const double cpu_us =
      model.idle_cpu_us.At(workers) + model.start_cpu_us.Slope() * starts;
  const double bytes =
      model.idle_bytes.At(workers) + model.start_bytes.Slope() * starts;
  std::printf("| %s | %.1f | %.1f | %.2f | %.1f | %.2f | %.1f |\n", role,
              model.idle_cpu_us.Slope(), model.idle_bytes.Slope(),
              model.start_cpu_us.Slope(), model.start_bytes.Slope(),
              cpu_us / 1e6 * 100, bytes / 1e3);
}

void Run() {
  RoleModel leader;
  RoleModel follower;
  RoleModel agent;
  LinearFit heap;
  LinearFit snapshot;
  LinearFit change_bytes;
  for (const int workers : kWorkerCounts) {
    CapacityCluster cluster(workers);
    cluster.Submit(static_cast<uint32_t>(workers) * kTasksPerWorker,
                   kTaskMillicores, kEndless);
    cluster.Advance(Millis::FromSeconds(30));
    const ClusterUsage begin = cluster.Usage();
    cluster.Advance(Millis::FromSeconds(kMeasuredSeconds));
    const ClusterUsage middle = cluster.Usage();
    const ClusterUsage idle = middle - begin;
    // The start rate grows with the size, so that a line over the number of
    // starts can be fitted.
    const uint32_t rate = kStartsPerSecond * static_cast<uint32_t>(workers) /
                              static_cast<uint32_t>(kWorkerCounts[2]) +
                          20;
    for (int i = 0; i < kMeasuredSeconds; ++i) {
      cluster.Submit(rate, kTaskMillicores, Millis(200));
      cluster.Advance(Millis(1000));
    }
    const ClusterUsage busy = cluster.Usage() - middle;
    AddMeasurement(leader, workers, idle.leader, busy.leader, busy.starts, 1);
    AddMeasurement(follower, workers, idle.followers, busy.followers,
                   busy.starts, 2);
    AddMeasurement(agent, workers, idle.agents, busy.agents, busy.starts,
                   workers);
    const auto tasks = static_cast<double>(cluster.RunningTasks());
    heap.Add(tasks, MeasureLeaderHeap(cluster.leader()));
    snapshot.Add(tasks, static_cast<double>(
                            cluster.leader().role().SaveSnapshot().size()));
    const ClusterUsage before_change = cluster.Usage();
    cluster.ChangeConfiguration();
    cluster.Advance(Millis(1000));
    const ClusterUsage change = cluster.Usage() - before_change;
    change_bytes.Add(workers, Bytes(change.leader));
    std::printf(
        "measured: %d workers, %.0f tasks, %.0f starts, leader idle "
        "%.0f us/s %.0f B/s, %.2f us and %.0f B per start\n",
        workers, tasks, busy.starts, idle.leader.cpu_us / kMeasuredSeconds,
        Bytes(idle.leader) / kMeasuredSeconds,
        (busy.leader.cpu_us - idle.leader.cpu_us) / busy.starts,
        (Bytes(busy.leader) - Bytes(idle.leader)) / busy.starts);
  }

  std::printf(
      "\n| role | CPU us/s per worker | bytes/s per worker | CPU us per start "
      "| bytes per start | CPU %% of a core per shard at the peak | KB/s per "
      "shard at the peak |\n|---|---|---|---|---|---|---|\n");
  const double workers = kWorkers / kShards;
  const double starts = kPeakStarts / kShards;
  PrintRow("control leader", leader, workers, starts);
  PrintRow("control follower", follower, workers, starts);
  std::printf(
      "\nleader heap: %.0f bytes per task, %.1f MB per shard of %.0f "
      "tasks, %.1f MB for all %.0f tasks\n",
      heap.Slope(), heap.At(kTasks / kShards) / 1e6, kTasks / kShards,
      heap.At(kTasks) / 1e6, kTasks);
  std::printf("snapshot: %.1f bytes per task, %.1f MB per shard\n",
              snapshot.Slope(), snapshot.At(kTasks / kShards) / 1e6);
  std::printf("agent: %.0f us/s and %.0f bytes/s idle, %.1f us per start\n",
              agent.idle_cpu_us.At(kWorkerCounts[1]),
              agent.idle_bytes.At(kWorkerCounts[1]),
              agent.start_cpu_us.Slope());
  std::printf("changes: %.3f per second on average\n",
              kChangesPerDay / kSecondsPerDay);
}

}  // namespace
}  // namespace fulmarrock::bench

int main() {
  fulmarrock::bench::Run();
  return 0;
}
