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

/// Checks what a consensus group promises. Commands are unique texts.
class ConsensusOracle {
 public:
  using Applied = std::vector<std::pair<LogIndex, std::string>>;

  /// A member acted as leader of a term.
  void NoteLeader(const NodeId& node, Term term);

  /// Members that claim to lead at the same time, whatever their terms. Reads
  /// at one of them would be old.
  void NoteLeading(const std::vector<NodeId>& nodes);

  /// A member applied a command on top of `state`.
  void NoteApply(const NodeId& node,
                 const Applied& state,
                 LogIndex index,
                 const std::string& command);

  /// The member that accepted a command applied it, and so acknowledges it.
  void NoteAcknowledged(const std::string& command);

  /// The state has to hold every acknowledged command.
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

/// State machine that keeps all commands and reports to the oracle.
class RecordingStateMachine : public StateMachine {
 public:
  /// Ways to break the contract, to prove that the oracle notices.
  enum class Fault { kNone, kApplyTwice, kChangeCommand };

  RecordingStateMachine(NodeId node, ConsensusOracle& oracle)
      : m_node(std::move(node)), m_oracle(oracle) {}

  void Apply(LogIndex index, std::string_view command) override;
  std::string SaveSnapshot() const override;
  Result<void> RestoreSnapshot(std::string_view bytes) override;
  void OnLeadershipGained(Term term) override;
  void OnLeadershipLost() override { m_proposals.clear(); }

  void NoteProposal(LogIndex index, std::string command) {
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

/// Clock of one node; stops on request.
class NodeClock : public Clock {
 public:
  explicit NodeClock(const ManualClock& clock) : m_clock(clock) {}
  Millis Now() const override { return m_stopped_at.value_or(m_clock.Now()); }
  void Stop() { m_stopped_at = m_clock.Now(); }

 private:
  const ManualClock& m_clock;
  std::optional<Millis> m_stopped_at;
};

/// Real ConsensusNodes over a fake network and fake storage.
class ConsensusCluster {
 public:
  ConsensusCluster(std::vector<NodeId> founders, uint64_t seed);

  /// Options for nodes that start from now on.
  ConsensusOptions& options() { return m_options; }

  /// Starts a node. It stays down if its disk fails; throws if it finds damage.
  void Start(const NodeId& node);
  void StartAll();
  void Crash(const NodeId& node, CrashKind kind);

  /// Lets time pass in steps of one millisecond.
  void Run(Millis duration);

  /// Lets time pass until the condition holds; false after the limit.
  template <typename Condition>
  bool RunUntil(Condition condition, Millis limit = Millis(20'000)) {
    for (Millis passed; passed <= limit; passed += Millis(1)) {
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
  /// Stops the clock of a running node, which breaks the contract of Clock.
  void StopClock(const NodeId& node) { m_nodes.at(node).clock->Stop(); }
  /// Suspends a node: it gets neither messages nor ticks.
  void Pause(const NodeId& node);
  FakeNetwork& network() { return m_network; }
  ManualClock& clock() { return m_clock; }
  ConsensusOracle& oracle() { return m_oracle; }

  /// Returns a node that leads, or an empty name.
  NodeId Leader() const;

  /// Proposes a command at a node.
  Result<LogIndex> Propose(const NodeId& node, const std::string& command);

  /// Waits for a leader, proposes there and waits until it is applied at all
  /// nodes that are up.
  bool Commit(const std::string& command);

  /// Whether all nodes that are up applied the same commands, and no message or
  /// uncommitted entry is left.
  bool HasConverged() const;

 private:
  struct Running {
    std::unique_ptr<NodeClock> clock;
    std::unique_ptr<RecordingStateMachine> machine;
    std::unique_ptr<ConsensusNode> node;
    uint64_t tick_phase = 0;
    bool is_paused = false;
  };

  std::vector<NodeId> m_founders;
  ManualClock m_clock;
  SeededRandom m_random;
  FakeNetwork m_network;
  ConsensusOptions m_options;
  ConsensusOracle m_oracle;
  std::map<NodeId, FakeStorage> m_disks;
  std::map<NodeId, Running> m_nodes;
};

}  // namespace fulmarrock::test

#endif  // TESTS_SUPPORT_CONSENSUS_CLUSTER_H_
