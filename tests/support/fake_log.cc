#include "tests/support/fake_log.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace fulmarrock::test {

class FakeLog::Port : public ReplicatedLog {
 public:
  Port(FakeLog& log, NodeId node) : m_log(log), m_node(std::move(node)) {}

  Result<LogIndex> Propose(std::string command) override {
    return m_log.Propose(*this, std::move(command));
  }
  bool IsLeader() const override {
    return is_up && (m_node == m_log.m_leader || is_stale);
  }
  NodeId Leader() const override { return m_log.m_leader; }
  Term CurrentTerm() const override { return m_log.m_term; }
  LogIndex CommitIndex() const override { return applied; }
  std::vector<NodeId> UnresponsiveMembers(Millis) const override { return {}; }
  Incarnation OwnIncarnation() const override { return 1; }
  std::vector<Member> Members() const override {
    std::vector<Member> members;
    for (const auto& [node, port] : m_log.m_ports)
      members.push_back({node, 1, true});
    return members;
  }
  Result<LogIndex> AddMember(const NodeId&, Incarnation) override {
    return applied;
  }
  Result<LogIndex> RemoveMember(const NodeId&) override { return applied; }

  StateMachine* machine = nullptr;
  LogIndex applied = 0;
  bool is_up = true;
  // Replaced as leader without having noticed.
  bool is_stale = false;
  Millis stale_until;

 private:
  FakeLog& m_log;
  NodeId m_node;
};

FakeLog::FakeLog(const Clock& clock) : m_clock(clock) {}

FakeLog::~FakeLog() = default;

ReplicatedLog& FakeLog::Connect(const NodeId& node, StateMachine& machine) {
  std::unique_ptr<Port>& port = m_ports[node];
  if (!port)
    port = std::make_unique<Port>(*this, node);
  port->machine = &machine;
  port->is_up = true;
  port->is_stale = false;
  port->applied = m_snapshot_index;
  if (!m_snapshot.empty() && !machine.RestoreSnapshot(m_snapshot))
    throw std::logic_error("a member cannot restore the snapshot");
  return *port;
}

void FakeLog::Disconnect(const NodeId& node) {
  Port& port = *m_ports.at(node);
  port.is_up = false;
  port.is_stale = false;
  port.machine = nullptr;
  if (m_leader == node)
    m_leader.clear();
}

void FakeLog::ChangeLeader(const NodeId& node,
                           Millis overlap,
                           size_t surviving) {
  Port* old_port = LeaderPort();
  Port& port = *m_ports.at(node);
  if (old_port == &port) {
    old_port->machine->OnLeadershipLost();
  } else if (old_port) {
    old_port->is_stale = true;
    old_port->stale_until = m_clock.Now() + overlap;
  }
  const size_t kept = std::min(surviving, uncommitted_count());
  m_entries.resize(m_committed + kept);
  for (; m_committed < m_entries.size(); ++m_committed)
    m_committed_bytes += m_entries[m_committed].payload.size();
  m_leader = node;
  ++m_term;
  // It may itself be a stale leader of an earlier term.
  if (port.is_stale)
    port.machine->OnLeadershipLost();
  port.is_stale = false;
  ApplyUntil(port, m_snapshot_index + m_committed);
  port.machine->OnLeadershipGained(m_term);
  Advance();
}

void FakeLog::SetDelay(Millis commit, Millis follower) {
  m_commit_delay = commit;
  m_follower_delay = follower;
}

void FakeLog::Compact() {
  Port* port = LeaderPort();
  if (!port || m_committed == 0)
    return;
  ApplyUntil(*port, m_snapshot_index + m_committed);
  m_snapshot = port->machine->SaveSnapshot();
  m_snapshot_index += m_committed;
  m_entries.erase(m_entries.begin(),
                  m_entries.begin() + static_cast<ptrdiff_t>(m_committed));
  m_committed = 0;
  for (auto& [node, other] : m_ports) {
    if (other->machine && other->applied < m_snapshot_index) {
      if (!other->machine->RestoreSnapshot(m_snapshot))
        throw std::logic_error("a member cannot restore the snapshot");
      other->applied = m_snapshot_index;
    }
  }
}

void FakeLog::KeepOnly(size_t count) {
  m_entries.resize(count);
  m_committed = count;
  m_snapshot.clear();
  m_snapshot_index = 0;
}

void FakeLog::Advance() {
  const Millis now = m_clock.Now();
  for (auto& [node, port] : m_ports) {
    if (port->is_stale && port->machine && now >= port->stale_until) {
      port->is_stale = false;
      port->machine->OnLeadershipLost();
    }
  }
  // Without a leader nothing commits.
  while (LeaderPort() && m_committed < m_entries.size() &&
         m_entries[m_committed].due <= now) {
    m_committed_bytes += m_entries[m_committed].payload.size();
    ++m_committed;
    ApplyUntil(*LeaderPort(), m_snapshot_index + m_committed);
  }
  for (auto& [node, port] : m_ports) {
    size_t known = m_committed;
    while (known > 0 && node != m_leader &&
           m_entries[known - 1].due + m_follower_delay > now)
      --known;
    // A stale leader is cut off from the others.
    if (port->machine && !port->is_stale)
      ApplyUntil(*port, m_snapshot_index + known);
  }
}

Millis FakeLog::NextDue() const {
  return m_committed < m_entries.size() && LeaderPort()
             ? m_entries[m_committed].due
             : Millis::Max();
}

Result<LogIndex> FakeLog::Propose(Port& port, std::string command) {
  if (!port.IsLeader())
    return MakeError(ErrorKind::kNotLeader, "not the leader", "ask the leader");
  if (m_is_full) {
    return MakeError(ErrorKind::kResourceExhausted, "too many commands wait",
                     "try again");
  }
  if (port.is_stale)
    return m_snapshot_index + m_entries.size() + 1;
  m_entries.push_back({std::move(command), m_clock.Now() + m_commit_delay});
  return m_snapshot_index + m_entries.size();
}

void FakeLog::ApplyUntil(Port& port, LogIndex index) {
  while (port.applied < index) {
    ++port.applied;
    port.machine->Apply(port.applied,
                        m_entries[port.applied - m_snapshot_index - 1].payload);
  }
}

FakeLog::Port* FakeLog::LeaderPort() const {
  const auto it = m_ports.find(m_leader);
  return it == m_ports.end() ? nullptr : it->second.get();
}

}  // namespace fulmarrock::test
