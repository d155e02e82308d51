#ifndef TESTS_SUPPORT_CONSENSUS_CLUSTER_H_
#define TESTS_SUPPORT_CONSENSUS_CLUSTER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "source/base/seeded_random.h"
#include "source/consensus/consensus_node.h"
#include "source/message/role.h"
#include "tests/support/fake_network.h"
#include "tests/support/fake_storage.h"
#include "tests/support/manual_clock.h"

namespace fulmarrock::test {

/// Checks the guarantees of a consensus group. Commands are unique texts.
class ConsensusOracle {
 public:
  using Applied = std::vector<std::pair<LogIndex, std::string>>;

  /// Records that a member acted as leader of a term; a term has one leader.
  void RecordLeader(const NodeId& node, Term term);

  /// Records the members that currently consider themselves leader, in any
  /// term. Only one is allowed, as reads at a second would be stale.
  void RecordCurrentLeaders(const std::vector<NodeId>& nodes);

  /// Records that a member applied a command after those in `state`.
  void RecordApply(const NodeId& node,
                   const Applied& state,
                   LogIndex index,
                   const std::string& command);

  /// Records a command as acknowledged: the member that accepted it applied it.
  void RecordAcknowledged(const std::string& command);

  /// Checks that the state contains every acknowledged command.
  void CheckComplete(const NodeId& node, const Applied& state);

  const std::vector<std::string>& violations() const { return m_violations; }
  size_t acknowledged_count() const { return m_acknowledged.size(); }

 private:
  std::map<Term, NodeId> m_leaders;
  Applied m_sequence;
  std::set<std::string> m_commands;
  std::set<std::string> m_acknowledged;
  std::vector<std::string> m_violations;
};

/// State machine that stores all commands and reports to the oracle.
class RecordingStateMachine : public StateMachine {
 public:
  /// Violations of the contract, to prove that the oracle detects them.
  enum class Fault { kNone, kApplyTwice, kChangeCommand };

  RecordingStateMachine(NodeId node, ConsensusOracle& oracle)
      : m_node(std::move(node)), m_oracle(oracle) {}

  void Apply(LogIndex index, std::string_view command) override;
  std::string SaveSnapshot() const override;
  Result<void> RestoreSnapshot(std::string_view bytes) override;
  void OnLeadershipGained(Term term) override;
  void OnLeadershipLost() override { m_proposals.clear(); }

  void RecordProposal(LogIndex index, std::string command) {
    m_proposals[index] = std::move(command);
  }
  void SetFault(Fault fault) { m_fault = fault; }
  const ConsensusOracle::Applied& applied() const { return m_applied; }
  bool Has(std::string_view command) const;

 private:
  void Record(LogIndex index, const std::string& command);

  NodeId m_node;
  ConsensusOracle& m_oracle;
  Fault m_fault = Fault::kNone;
  ConsensusOracle::Applied m_applied;
  std::map<LogIndex, std::string> m_proposals;
};

/// Clock of one node, which can be stopped.
class NodeClock : public Clock {
 public:
  explicit NodeClock(const ManualClock& clock) : m_clock(clock) {}
  Millis Now() const override { return m_stopped_at.value_or(m_clock.Now()); }
  void Stop() { m_stopped_at = m_clock.Now(); }

 private:
  const ManualClock& m_clock;
  std::optional<Millis> m_stopped_at;
};

/// Group of real ConsensusNodes on a fake network and fake storage.
class ConsensusCluster {
 public:
  ConsensusCluster(std::vector<NodeId> initial_nodes, uint64_t seed);

  /// Options for nodes that start from now on.
  ConsensusOptions& options() { return m_options; }

  /// Starts a node. It stays down if its disk fails; throws if its files are
  /// damaged.
  void Start(const NodeId& node);
  void StartAll();
  void Crash(const NodeId& node, CrashKind kind);

  /// Advances the time in steps of one millisecond.
  void Run(Millis duration);

  /// Advances the time until the condition holds; false if it does not within
  /// the timeout.
  template <typename Condition>
  bool RunUntil(Condition condition, Millis timeout = Millis(20'000)) {
    for (Millis passed; passed <= timeout; passed += Millis(1)) {
      if (condition())
        return true;
      Run(Millis(1));
    }
    return false;
  }

  bool IsUp(const NodeId& node) const { return m_nodes.contains(node); }
  ConsensusNode& Node(const NodeId& node) { return *m_nodes.at(node).node; }
  RecordingStateMachine& Machine(const NodeId& node) {
    return *m_nodes.at(node).machine;
  }
  FakeStorage& Disk(const NodeId& node) { return m_disks[node]; }
  /// Stops the clock of a running node, which violates the contract of Clock.
  void StopClock(const NodeId& node) { m_nodes.at(node).clock->Stop(); }
  /// Suspends a node: it receives neither messages nor ticks.
  void Pause(const NodeId& node);
  FakeNetwork& network() { return m_network; }
  ManualClock& clock() { return m_clock; }
  ConsensusOracle& oracle() { return m_oracle; }

  /// Returns a node that is leader, or an empty name.
  NodeId Leader() const;

  /// Proposes a command at a node.
  Result<LogIndex> Propose(const NodeId& node, const std::string& command);

  /// Waits for a leader, proposes there and waits until it is applied at all
  /// nodes that are up.
  bool Commit(const std::string& command);

  /// Whether all nodes that are up have applied the same commands and have no
  /// uncommitted entries.
  bool HasConverged() const;

 private:
  struct RunningNode {
    std::unique_ptr<NodeClock> clock;
    std::unique_ptr<RecordingStateMachine> machine;
    std::unique_ptr<ConsensusNode> node;
    uint64_t tick_phase = 0;
    bool is_paused = false;
  };

  std::vector<NodeId> m_initial_nodes;
  ManualClock m_clock;
  SeededRandom m_random;
  FakeNetwork m_network;
  ConsensusOptions m_options;
  ConsensusOracle m_oracle;
  std::map<NodeId, FakeStorage> m_disks;
  std::map<NodeId, RunningNode> m_nodes;
};

}  // namespace fulmarrock::test

#endif  // TESTS_SUPPORT_CONSENSUS_CLUSTER_H_
