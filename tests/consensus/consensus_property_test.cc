#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "tests/support/consensus_cluster.h"

namespace fulmarrock::test {
namespace {

constexpr int kMaxSteps = 200;

/// Runs a cluster through random events.
class RandomRun {
 public:
  RandomRun(size_t size, uint64_t seed)
      : m_nodes(NodesOf(size)), m_cluster(m_nodes, seed), m_random(seed) {
    // Small limits make snapshots, compaction, new segments and commands of
    // several entries occur in short runs.
    ConsensusOptions& options = m_cluster.options();
    options.snapshot_log_bytes = 400;
    options.snapshot_chunk_bytes = 50;
    options.snapshot_write_bytes = 100;
    options.trailing_bytes = m_random.Below(200);
    options.segment_bytes = 300;
    options.max_entry_bytes = 2 + m_random.Below(20);
    options.max_message_bytes = 100;
    options.max_in_flight_bytes = 200;
    m_cluster.StartAll();
    for (const NodeId& node : m_nodes)
      m_incarnations[node] = m_cluster.Node(node).incarnation();
  }

  /// Bootstraps the group. A disk lost before that would stop the bootstrap.
  bool Bootstrap() { return m_cluster.Commit("founded"); }

  /// Runs one event; `seed` determines which one, and its details.
  void Step(uint64_t seed) {
    m_random = SeededRandom(seed);
    switch (m_random.Below(20)) {
      case 0:
        return CrashOne();
      case 1:
      case 2:
        return StartAll();
      case 3:
        return m_cluster.network().Cut(PickNode(), PickNode());
      case 4:
        return m_cluster.network().Isolate(PickNode());
      case 5:
      case 6:
        return m_cluster.network().HealAll();
      case 7:
        return ChangeNetworkQuality();
      case 8:
        return InjectDiskFailure();
      case 9:
        return LoseDisk();
      case 10:
        return ChangeMembers();
      default:
        return ProposeAndRun();
    }
  }

  /// As Step(), without lost disks, as by design the bootstrap cannot finish
  /// after one. Steps are short, since the bootstrap takes few messages.
  void StepDuringBootstrap(uint64_t seed) {
    m_random = SeededRandom(seed);
    switch (m_random.Below(8)) {
      case 0:
        return CrashOne();
      case 1:
        return StartAll();
      case 2:
        return m_cluster.network().Cut(PickNode(), PickNode());
      case 3:
        return m_cluster.network().HealAll();
      case 4:
        return ChangeNetworkQuality();
      case 5:
        return InjectDiskFailure();
      default:
        return m_cluster.Run(Millis(static_cast<int64_t>(m_random.Below(60))));
    }
  }

  /// Removes all failures and checks that the group commits commands and that
  /// its members agree. Returns the problem, or an empty string.
  std::string Finish() {
    m_cluster.network().HealAll();
    m_cluster.network().SetLoss(0);
    m_cluster.network().SetDelay(Millis(1));
    for (const NodeId& node : m_nodes)
      m_cluster.Disk(node).CancelSyncFailure();
    StartAll();
    // A membership change proposed by the last step is appended in the next
    // tick.
    m_cluster.Run(kTickInterval);
    if (!m_cluster.RunUntil([this] { return RepairAndCheckVoters(); }))
      return "the group did not recover: " + Dump();
    // A leader that was partitioned before may accept the first command and
    // then step down.
    if (!m_cluster.Commit("last") && !m_cluster.Commit("last again"))
      return "the last command did not commit: " + Dump();
    if (!m_cluster.RunUntil([this] { return m_cluster.HasConverged(); }))
      return "the members did not converge: " + Dump();
    for (const NodeId& node : m_nodes) {
      m_cluster.oracle().CheckComplete(node, m_cluster.Machine(node).applied());
      if (m_cluster.Machine(node).applied() !=
          m_cluster.Machine(m_nodes[0]).applied())
        return "the members disagree: " + Dump();
    }
    return Violation();
  }

  std::string Violation() {
    const auto& violations = m_cluster.oracle().violations();
    return violations.empty() ? std::string() : violations.front();
  }

 private:
  static std::vector<NodeId> NodesOf(size_t size) {
    std::vector<NodeId> nodes;
    for (size_t i = 0; i < size; ++i)
      nodes.emplace_back(1, static_cast<char>('a' + i));
    return nodes;
  }

  NodeId PickNode() { return m_nodes[m_random.Below(m_nodes.size())]; }

  void CrashOne() {
    const NodeId node = PickNode();
    m_cluster.Crash(node, static_cast<CrashKind>(m_random.Below(3)));
  }

  /// Starts all nodes that are down or stopped after a storage failure.
  void StartAll() {
    for (const NodeId& node : m_nodes) {
      if (m_cluster.IsUp(node) && m_cluster.Node(node).Failure())
        m_cluster.Crash(node, static_cast<CrashKind>(m_random.Below(3)));
      m_cluster.Disk(node).SetCapacity(UINT64_MAX);
    }
    m_cluster.StartAll();
  }

  void ChangeNetworkQuality() {
    const double loss = m_random.Fraction() * 0.2;
    m_cluster.network().SetLoss(loss, m_random.Fraction() * 0.2);
    m_cluster.network().SetDelay(
        Millis(1), Millis(static_cast<int64_t>(m_random.Below(30))));
  }

  /// Lets a later sync fail, or limits the disk to a size that is reached soon
  /// or already exceeded.
  void InjectDiskFailure() {
    FakeStorage& disk = m_cluster.Disk(PickNode());
    if (m_random.Below(2) == 0)
      disk.FailSyncAfter(m_random.Below(4));
    else
      disk.SetCapacity(m_random.Below(6000));
  }

  /// Loses one member's disk, unless another member still has to be repaired or
  /// is being removed: a group of three that removes one member needs both
  /// others.
  void LoseDisk() {
    m_cluster.Run(kTickInterval);
    if (!IsFullMembershipCommitted())
      return;
    const NodeId node = PickNode();
    m_cluster.Crash(node, CrashKind::kLoseUnsynced);
    m_cluster.Disk(node).SetCapacity(UINT64_MAX);
    // An operator may restore the folder from that of another member.
    const NodeId other = PickNode();
    if (other == node)
      m_cluster.Disk(node).Wipe();
    else
      m_cluster.Disk(node).CopyFrom(m_cluster.Disk(other));
    m_cluster.Start(node);
    m_incarnations[node] = m_cluster.Node(node).incarnation();
  }

  /// Whether a leader has committed a membership in which all nodes are voters
  /// with the incarnations that their disks have.
  bool IsFullMembershipCommitted() {
    const NodeId leader = m_cluster.Leader();
    if (leader.empty())
      return false;
    const ConsensusNode& node = m_cluster.Node(leader);
    if (node.Members().size() < m_nodes.size() ||
        node.CommitIndex() < node.last_index())
      return false;
    for (const Member& member : node.Members()) {
      if (!member.is_voter || member.incarnation != m_incarnations[member.node])
        return false;
    }
    return true;
  }

  /// Proposes a change towards the full membership with the current
  /// incarnations, or else removes a random member.
  void ChangeMembers() {
    const NodeId leader = m_cluster.Leader();
    if (leader.empty())
      return;
    ConsensusNode& node = m_cluster.Node(leader);
    if (!Repair(node))
      node.RemoveMember(PickNode());
  }

  /// Removes the first member with an old incarnation, or adds the first
  /// missing one. Returns false if there is none.
  bool Repair(ConsensusNode& leader) {
    for (const NodeId& name : m_nodes) {
      const Incarnation incarnation = m_incarnations[name];
      const std::vector<Member> members = leader.Members();
      const auto it =
          std::find_if(members.begin(), members.end(),
                       [&](const Member& other) { return other.node == name; });
      if (it != members.end() && it->incarnation == incarnation)
        continue;
      if (it == members.end())
        leader.AddMember(name, incarnation);
      else
        leader.RemoveMember(name);
      return true;
    }
    return false;
  }

  /// Repairs the membership; returns whether all nodes are voters.
  bool RepairAndCheckVoters() {
    const NodeId leader = m_cluster.Leader();
    if (leader.empty() || Repair(m_cluster.Node(leader)))
      return false;
    for (const Member& member : m_cluster.Node(leader).Members()) {
      if (!member.is_voter)
        return false;
    }
    return true;
  }

  void ProposeAndRun() {
    for (uint64_t i = m_random.Below(5); i > 0; --i) {
      const NodeId leader = m_cluster.Leader();
      const NodeId node =
          leader.empty() || m_random.Below(4) == 0 ? PickNode() : leader;
      if (m_cluster.IsUp(node))
        m_cluster.Propose(node, "c" + std::to_string(++m_command));
    }
    m_cluster.Run(Millis(static_cast<int64_t>(1 + m_random.Below(400))));
  }

  std::string Dump() {
    std::string text;
    for (const NodeId& node : m_nodes)
      text += "\n" + (m_cluster.IsUp(node) ? m_cluster.Node(node).DumpState()
                                           : node + " is down");
    return text;
  }

  std::vector<NodeId> m_nodes;
  ConsensusCluster m_cluster;
  SeededRandom m_random;
  // Incarnations of the nodes' current disks.
  std::map<NodeId, Incarnation> m_incarnations;
  uint64_t m_command = 0;
};

// Guards against a combination of crashes, partitions, lost, delayed and
// duplicated messages, failed syncs, lost disks and membership changes that
// violates a guarantee of consensus. RapidCheck prints the size and the steps
// of a failing run with its seed.
TEST_CASE("random failures never violate the guarantees of consensus") {
  const bool is_ok = rc::check([] {
    const auto size = *rc::gen::inRange<size_t>(3, 6);
    const auto steps = *rc::gen::resize(
        kMaxSteps, rc::gen::arbitrary<std::vector<uint32_t>>());
    RandomRun run(size, steps.size());
    RC_ASSERT(run.Bootstrap());
    for (size_t i = 0; i < steps.size(); ++i) {
      run.Step(steps[i]);
      if (const std::string violation = run.Violation(); !violation.empty())
        RC_FAIL("step " + std::to_string(i) + ": " + violation);
    }
    if (const std::string problem = run.Finish(); !problem.empty())
      RC_FAIL(problem);
  });
  CHECK(is_ok);
}

// Guards against a bootstrap that never finishes after crashes, partitions,
// disk failures and message loss, or that accepts commands before all
// incarnations are known.
TEST_CASE("random failures during the bootstrap do not prevent it") {
  const bool is_ok = rc::check([] {
    const auto steps = *rc::gen::resize(
        kMaxSteps, rc::gen::arbitrary<std::vector<uint32_t>>());
    RandomRun run(3, steps.size());
    for (const uint32_t step : steps)
      run.StepDuringBootstrap(step);
    if (const std::string problem = run.Finish(); !problem.empty())
      RC_FAIL(problem);
  });
  CHECK(is_ok);
}

}  // namespace
}  // namespace fulmarrock::test
