#include "tests/support/consensus_cluster.h"

#include <algorithm>
#include <cstring>
#include <stdexcept>

namespace fulmarrock::test {

void ConsensusOracle::RecordLeader(const NodeId& node, Term term) {
  const NodeId& leader = m_leaders.emplace(term, node).first->second;
  if (leader != node)
    m_violations.push_back("two leaders in term " + std::to_string(term) +
                           ": " + leader + " and " + node);
}

void ConsensusOracle::RecordCurrentLeaders(const std::vector<NodeId>& nodes) {
  if (nodes.size() > 1)
    m_violations.push_back(nodes[0] + " and " + nodes[1] +
                           " lead at the same time");
}

void ConsensusOracle::RecordApply(const NodeId& node,
                                  const Applied& state,
                                  LogIndex index,
                                  const std::string& command) {
  const std::pair<LogIndex, std::string> item(index, command);
  if (std::find_if(state.begin(), state.end(), [&](const auto& other) {
        return other.second == command;
      }) != state.end()) {
    m_violations.push_back(node + " applied " + command + " twice");
  } else if (state.size() < m_sequence.size()) {
    if (m_sequence[state.size()] != item)
      m_violations.push_back(node + " applied " + command + " instead of " +
                             m_sequence[state.size()].second);
  } else {
    m_sequence.push_back(item);
  }
}

void ConsensusOracle::RecordAcknowledged(const std::string& command) {
  m_acknowledged.insert(command);
}

void ConsensusOracle::CheckComplete(const NodeId& node, const Applied& state) {
  std::set<std::string> commands;
  for (const auto& [index, command] : state)
    commands.insert(command);
  for (const std::string& command : m_acknowledged) {
    if (!commands.contains(command))
      m_violations.push_back(node + " lost acknowledged " + command);
  }
}

void RecordingStateMachine::Apply(LogIndex index, std::string_view command) {
  std::string text(command);
  if (m_fault == Fault::kChangeCommand)
    text += "'";
  Record(index, text);
  if (m_fault == Fault::kApplyTwice)
    Record(index, text);
  const auto it = m_proposals.find(index);
  if (it == m_proposals.end())
    return;
  if (it->second == command)
    m_oracle.RecordAcknowledged(it->second);
  m_proposals.erase(it);
}

void RecordingStateMachine::Record(LogIndex index, const std::string& command) {
  m_oracle.RecordApply(m_node, m_applied, index, command);
  m_applied.emplace_back(index, command);
}

std::string RecordingStateMachine::SaveSnapshot() const {
  std::string bytes;
  for (const auto& [index, command] : m_applied)
    bytes += std::to_string(index) + " " + command + "\n";
  return bytes;
}

Result<void> RecordingStateMachine::RestoreSnapshot(std::string_view bytes) {
  m_applied.clear();
  while (!bytes.empty()) {
    const size_t space = bytes.find(' ');
    const size_t end = bytes.find('\n');
    if (space == std::string_view::npos || end == std::string_view::npos)
      return MakeError(ErrorKind::kCorruption, "malformed snapshot", "none");
    m_applied.emplace_back(std::stoull(std::string(bytes.substr(0, space))),
                           bytes.substr(space + 1, end - space - 1));
    bytes.remove_prefix(end + 1);
  }
  return {};
}

void RecordingStateMachine::OnLeadershipGained(Term term) {
  m_oracle.RecordLeader(m_node, term);
  m_oracle.CheckComplete(m_node, m_applied);
}

bool RecordingStateMachine::Has(std::string_view command) const {
  return std::any_of(
      m_applied.begin(), m_applied.end(),
      [command](const auto& item) { return item.second == command; });
}

ConsensusCluster::ConsensusCluster(std::vector<NodeId> initial_nodes,
                                   uint64_t seed)
    : m_initial_nodes(std::move(initial_nodes)),
      m_random(seed),
      m_network(m_clock, m_random) {
  m_network.SetTap(
      [this](const NodeId& from, const NodeId&, const Message& message) {
        if (const auto* append = std::get_if<AppendRequest>(&message))
          m_oracle.RecordLeader(from, append->term);
      });
}

void ConsensusCluster::Start(const NodeId& node) {
  RunningNode running;
  running.clock = std::make_unique<NodeClock>(m_clock);
  running.machine = std::make_unique<RecordingStateMachine>(node, m_oracle);
  ConsensusOptions options = m_options;
  options.node = node;
  if (std::find(m_initial_nodes.begin(), m_initial_nodes.end(), node) !=
      m_initial_nodes.end())
    options.initial_members = m_initial_nodes;
  Result<std::unique_ptr<ConsensusNode>> opened = ConsensusNode::Open(
      options, {*running.machine, m_network.TransportOf(node), *running.clock,
                m_random, Disk(node)});
  if (!opened && opened.error().kind == ErrorKind::kCorruption)
    throw std::runtime_error(opened.error().Describe());
  if (!opened)
    return;
  running.node = std::move(*opened);
  running.tick_phase =
      m_random.Below(static_cast<uint64_t>(kTickInterval.count()));
  ConsensusNode* raw = running.node.get();
  m_network.SetHandler(node, [raw](const NodeId& from, const Message& message) {
    raw->OnMessage(from, message);
  });
  m_nodes.insert_or_assign(node, std::move(running));
}

void ConsensusCluster::StartAll() {
  for (const NodeId& node : m_initial_nodes) {
    if (!IsUp(node))
      Start(node);
  }
}

void ConsensusCluster::Crash(const NodeId& node, CrashKind kind) {
  m_network.SetHandler(node, {});
  m_nodes.erase(node);
  Disk(node).Crash(kind, m_random);
}

void ConsensusCluster::Run(Millis duration) {
  for (Millis passed; passed < duration; passed += Millis(1)) {
    m_clock.Advance(Millis(1));
    m_network.DeliverDue();
    const auto now = static_cast<uint64_t>(m_clock.Now().count());
    const auto interval = static_cast<uint64_t>(kTickInterval.count());
    std::vector<NodeId> leaders;
    for (auto& [node, running] : m_nodes) {
      if (now % interval == running.tick_phase && !running.is_paused)
        running.node->OnTick();
      if (running.node->IsLeader())
        leaders.push_back(node);
    }
    m_oracle.RecordCurrentLeaders(leaders);
  }
}

void ConsensusCluster::Pause(const NodeId& node) {
  m_network.SetHandler(node, {});
  m_nodes.at(node).is_paused = true;
}

NodeId ConsensusCluster::Leader() const {
  for (const auto& [node, running] : m_nodes) {
    if (running.node->IsLeader())
      return node;
  }
  return {};
}

Result<LogIndex> ConsensusCluster::Propose(const NodeId& node,
                                           const std::string& command) {
  Result<LogIndex> index = Node(node).Propose(command);
  if (index)
    Machine(node).RecordProposal(*index, command);
  return index;
}

bool ConsensusCluster::Commit(const std::string& command) {
  if (!RunUntil([this] { return !Leader().empty(); }) ||
      !Propose(Leader(), command))
    return false;
  return RunUntil([&] {
    return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto& item) {
      return item.second.machine->Has(command);
    });
  });
}

bool ConsensusCluster::HasConverged() const {
  return std::all_of(m_nodes.begin(), m_nodes.end(), [this](const auto& item) {
    const ConsensusNode& node = *item.second.node;
    return node.CommitIndex() == node.last_index() &&
           item.second.machine->applied() ==
               m_nodes.begin()->second.machine->applied();
  });
}

}  // namespace fulmarrock::test
