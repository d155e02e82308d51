#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "bench/benchmark.h"
#include "bench/thread_cpu_time.h"
#include "source/base/seeded_random.h"
#include "source/base/steady_clock.h"
#include "source/consensus/consensus_node.h"
#include "source/storage/file_storage.h"
#include "tests/support/consensus_cluster.h"

namespace fulmarrock::bench {
namespace {

using test::ConsensusCluster;
using test::CrashKind;
using test::FakeNetwork;
using test::ManualClock;

constexpr size_t kCommandBytes = 120;

/// Wall time since construction, in milliseconds.
class Stopwatch {
 public:
  double Elapsed() const {
    return std::chrono::duration<double, std::milli>(
               std::chrono::steady_clock::now() - m_start)
        .count();
  }

 private:
  std::chrono::steady_clock::time_point m_start =
      std::chrono::steady_clock::now();
};

/// Exits on an error, since measurements after a failure would be misleading.
template <typename T>
T Require(Result<T> result) {
  if (!result) {
    std::fprintf(stderr, "benchmark failed: %s\n",
                 result.error().Describe().c_str());
    std::exit(1);
  }
  if constexpr (!std::is_void_v<T>)
    return std::move(*result);
}

class TemporaryFolder {
 public:
  TemporaryFolder() {
    m_path =
        (std::filesystem::temp_directory_path() / "fulmarrock-XXXXXX").string();
    if (mkdtemp(m_path.data()) == nullptr)
      std::exit(1);
  }
  ~TemporaryFolder() { std::filesystem::remove_all(m_path); }
  std::string Sub(const std::string& name) const { return m_path + "/" + name; }

 private:
  std::string m_path;
};

/// State machine that counts commands and has a state of a chosen size.
class CountingStateMachine : public StateMachine {
 public:
  void Apply(LogIndex, std::string_view) override { ++m_count; }
  std::string SaveSnapshot() const override { return m_state; }
  Result<void> RestoreSnapshot(std::string_view bytes) override {
    m_state = bytes;
    return {};
  }
  void OnLeadershipGained(Term) override {}
  void OnLeadershipLost() override {}

  void SetState(std::string state) { m_state = std::move(state); }
  uint64_t count() const { return m_count; }
  size_t state_size() const { return m_state.size(); }

 private:
  uint64_t m_count = 0;
  std::string m_state;
};

/// Consensus group on real files and a network without delay, in one thread.
class ConsensusGroup {
 public:
  explicit ConsensusGroup(const std::vector<NodeId>& nodes)
      : m_random(20261204), m_network(m_clock, m_random) {
    m_network.SetDelay(Millis(0));
    for (const NodeId& node : nodes)
      m_members.push_back(Start(node, nodes));
    while (!Leader().IsLeader())
      Tick();
  }

  /// Advances the clock by one tick interval and runs every member.
  void Tick() {
    m_clock.Advance(kTickInterval);
    for (auto& member : m_members)
      Measure(*member, [&] { member->node->OnTick(); });
    m_network.DeliverDue();
  }

  /// Proposes commands in one batch and waits until they are committed.
  void Commit(size_t count) {
    ConsensusNode& leader = Leader();
    for (size_t i = 0; i < count; ++i)
      Require(leader.Propose(std::string(kCommandBytes, 'x')));
    const LogIndex target_index = leader.last_index() + count;
    while (leader.CommitIndex() < target_index)
      Tick();
  }

  ConsensusNode& Leader() {
    for (auto& member : m_members) {
      if (member->node->IsLeader())
        return *member->node;
    }
    return *m_members.front()->node;
  }

  /// CPU time of the leader, or the largest one of a follower, in microseconds.
  double CpuMicrosOf(bool is_leader) const {
    double micros = 0;
    for (const auto& member : m_members) {
      if (member->node->IsLeader() == is_leader)
        micros = std::max(micros, member->cpu_micros);
    }
    return micros;
  }

  /// Bytes sent by the leader, or by all followers.
  uint64_t SentBytes(bool is_leader) const {
    uint64_t bytes = 0;
    for (const auto& member : m_members) {
      if (member->node->IsLeader() == is_leader)
        bytes += member->sent_bytes;
    }
    return bytes;
  }

  uint64_t FileBytes(const NodeId& node) const {
    uint64_t bytes = 0;
    for (const auto& entry :
         std::filesystem::directory_iterator(m_folder.Sub(node)))
      bytes += entry.file_size();
    return bytes;
  }

 private:
  struct RunningMember {
    std::unique_ptr<FileStorage> storage;
    CountingStateMachine machine;
    std::unique_ptr<ConsensusNode> node;
    double cpu_micros = 0;
    uint64_t sent_bytes = 0;
  };

  std::unique_ptr<RunningMember> Start(const NodeId& name,
                                       const std::vector<NodeId>& nodes) {
    auto member = std::make_unique<RunningMember>();
    member->storage = Require(FileStorage::OpenFolder(m_folder.Sub(name)));
    ConsensusOptions options;
    options.node = name;
    options.initial_members = nodes;
    // Disables snapshots, which would add a cost that depends on the state's
    // size.
    options.snapshot_log_bytes = SIZE_MAX;
    member->node = Require(ConsensusNode::Open(
        options, {member->machine, m_network.TransportOf(name), m_clock,
                  m_random, *member->storage}));
    RunningMember* member_ptr = member.get();
    m_network.SetHandler(name, [this, member_ptr](const NodeId& from,
                                                  const Message& body) {
      Measure(*member_ptr, [&] { member_ptr->node->OnMessage(from, body); });
    });
    return member;
  }

  template <typename Action>
  void Measure(RunningMember& member, Action action) {
    const double cpu_before = ThreadCpuMicros();
    const uint64_t sent_before = m_network.sent_bytes();
    action();
    member.cpu_micros += ThreadCpuMicros() - cpu_before;
    member.sent_bytes += m_network.sent_bytes() - sent_before;
  }

  TemporaryFolder m_folder;
  ManualClock m_clock;
  SeededRandom m_random;
  FakeNetwork m_network;
  std::vector<std::unique_ptr<RunningMember>> m_members;
};

/// Commits per second in batches of the given size.
double CommitsPerSecond(ConsensusGroup& group, size_t batch, Millis duration) {
  const Stopwatch watch;
  size_t count = 0;
  while (watch.Elapsed() < static_cast<double>(duration.count())) {
    group.Commit(batch);
    count += batch;
  }
  return static_cast<double>(count) / watch.Elapsed() * 1000;
}

/// Measures commits with and without batching. Both alternate, so that other
/// load on the machine affects both equally. 11 commands arrive within a tick
/// at the peak of 1,100 task starts per second.
void BenchmarkCommits() {
  constexpr size_t kBatch = 11;
  ConsensusGroup group({"a", "b", "c"});
  std::vector<double> batched;
  std::vector<double> unbatched;
  for (int round = 0; round < 5; ++round) {
    batched.push_back(CommitsPerSecond(group, kBatch, Millis(250)));
    unbatched.push_back(CommitsPerSecond(group, 1, Millis(250)));
  }
  std::sort(batched.begin(), batched.end());
  std::sort(unbatched.begin(), unbatched.end());
  ReportFigure("log_commits_per_s", batched[2], "1/s");
  ReportFigure("log_commits_per_s_unbatched", unbatched[2], "1/s");
  ReportFigure("log_batch_speedup", batched[2] / unbatched[2], "x");
}

void BenchmarkCost() {
  constexpr size_t kBatch = 11;
  constexpr size_t kBatches = 500;
  ConsensusGroup group({"a", "b", "c"});
  const double leader_cpu = group.CpuMicrosOf(true);
  const double follower_cpu = group.CpuMicrosOf(false);
  const uint64_t leader_sent = group.SentBytes(true);
  const uint64_t followers_sent = group.SentBytes(false);
  const uint64_t stored = group.FileBytes("a");
  for (size_t i = 0; i < kBatches; ++i)
    group.Commit(kBatch);
  constexpr double kCommands = kBatch * kBatches;
  ReportFigure("log_leader_cpu_us_per_commit",
               (group.CpuMicrosOf(true) - leader_cpu) / kCommands, "us");
  ReportFigure("log_follower_cpu_us_per_commit",
               (group.CpuMicrosOf(false) - follower_cpu) / kCommands, "us");
  ReportFigure(
      "log_leader_sent_bytes_per_commit",
      static_cast<double>(group.SentBytes(true) - leader_sent) / kCommands,
      "bytes");
  // Each of the two followers sends half of it.
  ReportFigure("log_follower_sent_bytes_per_commit",
               static_cast<double>(group.SentBytes(false) - followers_sent) /
                   kCommands / 2,
               "bytes");
  ReportFigure("log_stored_bytes_per_commit",
               static_cast<double>(group.FileBytes("a") - stored) / kCommands,
               "bytes");
}

/// Measures the simulated time from the leader's crash until another member
/// leads.
void BenchmarkElection() {
  constexpr uint64_t kSeeds = 200;
  int64_t longest = 0;
  // The clock counts whole milliseconds; delays of 1.5 ms are modelled by links
  // of 1 and 2 ms in the two directions.
  for (const int64_t back : {1, 2}) {
    std::vector<int64_t> times;
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      ConsensusCluster cluster({"a", "b", "c"}, seed);
      for (const auto& [from, to] :
           {std::pair("a", "b"), std::pair("b", "c"), std::pair("c", "a")}) {
        cluster.network().SetLinkDelay(from, to, Millis(1));
        cluster.network().SetLinkDelay(to, from, Millis(back));
      }
      cluster.StartAll();
      if (!cluster.Commit("x"))
        std::exit(1);
      cluster.Run(Millis(static_cast<int64_t>(seed)));
      cluster.Crash(cluster.Leader(), CrashKind::kLoseUnsynced);
      const Millis begin = cluster.clock().Now();
      if (!cluster.RunUntil([&] { return !cluster.Leader().empty(); }))
        std::exit(1);
      times.push_back((cluster.clock().Now() - begin).count());
    }
    std::sort(times.begin(), times.end());
    longest = std::max(longest, times.back());
    const std::string suffix = back == 1 ? "_1ms" : "_1500us";
    ReportFigure("election_ms" + suffix, static_cast<double>(times.back()),
                 "ms");
    ReportFigure("election_median_ms" + suffix,
                 static_cast<double>(times[kSeeds / 2]), "ms");
  }
  ReportFigure("election_ms", static_cast<double>(longest), "ms");
}

/// Measures the restart of a single member from a snapshot of 141,000 records
/// of state and a log of 141,000 entries after it.
void BenchmarkRecovery() {
  constexpr size_t kRecords = 141'000;
  constexpr size_t kStateBytes = kRecords * 200;
  const TemporaryFolder folder;
  ManualClock clock;
  SeededRandom random(20261204);
  FakeNetwork network(clock, random);
  ConsensusOptions options;
  options.node = "a";
  options.initial_members = {"a"};
  options.snapshot_log_bytes = kCommandBytes;
  auto storage = Require(FileStorage::OpenFolder(folder.Sub("a")));
  const auto open = [&](CountingStateMachine& machine) {
    return Require(ConsensusNode::Open(
        options, {machine, network.TransportOf("a"), clock, random, *storage}));
  };
  {
    CountingStateMachine machine;
    machine.SetState(std::string(kStateBytes, 's'));
    auto node = open(machine);
    // The first snapshot is due after one command; the next one after as many
    // bytes as the state has, which the log below does not reach.
    double longest_tick = 0;
    for (size_t i = 0; i < kRecords + 1; ++i) {
      if (i % 100 < 2) {
        const Stopwatch tick;
        node->OnTick();
        longest_tick = std::max(longest_tick, tick.Elapsed());
      }
      Require(node->Propose(std::string(kCommandBytes, 'x')));
    }
    node->OnTick();
    ReportFigure("log_longest_tick_ms", longest_tick, "ms");
  }
  std::vector<double> times;
  for (int round = 0; round < 5; ++round) {
    CountingStateMachine machine;
    const Stopwatch watch;
    auto node = open(machine);
    node->OnTick();
    times.push_back(watch.Elapsed());
    if (machine.state_size() != kStateBytes || machine.count() + 200 < kRecords)
      std::exit(1);
  }
  std::sort(times.begin(), times.end());
  ReportFigure("log_recovery_ms", times[2], "ms");
}

const BenchmarkRegistration kCommits("log_commits", &BenchmarkCommits);
const BenchmarkRegistration kCost("log_cost", &BenchmarkCost);
const BenchmarkRegistration kElection("log_election", &BenchmarkElection);
const BenchmarkRegistration kRecovery("log_recovery", &BenchmarkRecovery);

}  // namespace
}  // namespace fulmarrock::bench
