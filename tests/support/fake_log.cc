#include "tests/support/fake_log.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace fulmarrock::test {

class FakeLog::MemberLog : public ReplicatedLog {
 public:
  MemberLog(FakeLog& log, NodeId node) : m_log(log), m_node(std::move(node)) {}

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
    for (const auto& [node, member] : m_log.m_member_logs)
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
  // Whether it was replaced as leader and does not know yet.
  bool is_stale = false;
  Millis stale_until;

 private:
  FakeLog& m_log;
  NodeId m_node;
};

FakeLog::FakeLog(const Clock& clock) : m_clock(clock) {}

FakeLog::~FakeLog() = default;

ReplicatedLog& FakeLog::Connect(const NodeId& node, StateMachine& machine) {
  std::unique_ptr<MemberLog>& member = m_member_logs[node];
  if (!member)
    member = std::make_unique<MemberLog>(*this, node);
  member->machine = &machine;
  member->is_up = true;
  member->is_stale = false;
  member->applied = m_snapshot_index;
  if (!m_snapshot.empty() && !machine.RestoreSnapshot(m_snapshot))
    throw std::logic_error("a member cannot restore the snapshot");
  return *member;
}

void FakeLog::Disconnect(const NodeId& node) {
  MemberLog& member = *m_member_logs.at(node);
  member.is_up = false;
  member.is_stale = false;
  member.machine = nullptr;
  if (m_leader == node)
    m_leader.clear();
}

void FakeLog::ChangeLeader(const NodeId& node,
                           Millis overlap,
                           size_t surviving) {
  MemberLog* old_leader = LeaderLog();
  MemberLog& member = *m_member_logs.at(node);
  if (old_leader == &member) {
    old_leader->machine->OnLeadershipLost();
  } else if (old_leader) {
    old_leader->is_stale = true;
    old_leader->stale_until = m_clock.Now() + overlap;
  }
  const size_t kept = std::min(surviving, uncommitted_count());
  m_entries.resize(m_committed + kept);
  for (; m_committed < m_entries.size(); ++m_committed)
    m_committed_bytes += m_entries[m_committed].payload.size();
  m_leader = node;
  ++m_term;
  // The new leader may be a stale leader of an earlier term.
  if (member.is_stale)
    member.machine->OnLeadershipLost();
  member.is_stale = false;
  ApplyUntil(member, m_snapshot_index + m_committed);
  member.machine->OnLeadershipGained(m_term);
  Advance();
}

void FakeLog::SetDelay(Millis commit, Millis follower) {
  m_commit_delay = commit;
  m_follower_delay = follower;
}

void FakeLog::Compact() {
  MemberLog* member = LeaderLog();
  if (!member || m_committed == 0)
    return;
  ApplyUntil(*member, m_snapshot_index + m_committed);
  m_snapshot = member->machine->SaveSnapshot();
  m_snapshot_index += m_committed;
  m_entries.erase(m_entries.begin(),
                  m_entries.begin() + static_cast<ptrdiff_t>(m_committed));
  m_committed = 0;
  for (auto& [node, other] : m_member_logs) {
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
  for (auto& [node, member] : m_member_logs) {
    if (member->is_stale && member->machine && now >= member->stale_until) {
      member->is_stale = false;
      member->machine->OnLeadershipLost();
    }
  }
  // Without a leader nothing commits.
  while (LeaderLog() && m_committed < m_entries.size() &&
         m_entries[m_committed].due <= now) {
    m_committed_bytes += m_entries[m_committed].payload.size();
    ++m_committed;
    ApplyUntil(*LeaderLog(), m_snapshot_index + m_committed);
  }
  for (auto& [node, member] : m_member_logs) {
    size_t known = m_committed;
    while (known > 0 && node != m_leader &&
           m_entries[known - 1].due + m_follower_delay > now)
      --known;
    // A stale leader is partitioned from the other members.
    if (member->machine && !member->is_stale)
      ApplyUntil(*member, m_snapshot_index + known);
  }
}

Millis FakeLog::NextDue() const {
  return m_committed < m_entries.size() && LeaderLog()
             ? m_entries[m_committed].due
             : Millis::Max();
}

Result<LogIndex> FakeLog::Propose(MemberLog& member, std::string command) {
  if (!member.IsLeader())
    return MakeError(ErrorKind::kNotLeader, "not the leader", "ask the leader");
  if (m_is_full) {
    return MakeError(ErrorKind::kResourceExhausted,
                     "too many commands are uncommitted", "try again");
  }
  if (m_refusal)
    return MakeError(*m_refusal, "refused by the test", "try again");
  if (member.is_stale)
    return m_snapshot_index + m_entries.size() + 1;
  m_entries.push_back({std::move(command), m_clock.Now() + m_commit_delay});
  return m_snapshot_index + m_entries.size();
}

void FakeLog::ApplyUntil(MemberLog& member, LogIndex index) {
  while (member.applied < index) {
    ++member.applied;
    member.machine->Apply(
        member.applied,
        m_entries[member.applied - m_snapshot_index - 1].payload);
  }
}

FakeLog::MemberLog* FakeLog::LeaderLog() const {
  const auto it = m_member_logs.find(m_leader);
  return it == m_member_logs.end() ? nullptr : it->second.get();
}

}  // namespace fulmarrock::test
