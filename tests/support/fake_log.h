#ifndef TESTS_SUPPORT_FAKE_LOG_H_
#define TESTS_SUPPORT_FAKE_LOG_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "source/base/clock.h"
#include "source/consensus/replicated_log.h"
#include "source/consensus/state_machine.h"

namespace fulmarrock::test {

/// In-memory log shared by all members of a group. The test chooses the leader;
/// commands commit after a delay, and a leader change keeps or loses those that
/// are not committed.
class FakeLog {
 public:
  explicit FakeLog(const Clock& clock);
  ~FakeLog();

  /// Adds a member that is up, or connects a restarted one with its new state
  /// machine, which then receives the snapshot and the commands after it.
  ReplicatedLog& Connect(const NodeId& node, StateMachine& machine);

  /// Takes a member down; a leader loses its leadership without notification.
  void Disconnect(const NodeId& node);

  /// Makes a member leader. The old leader still acts as leader for `overlap`,
  /// but nothing it proposes in that time commits. The first `surviving`
  /// uncommitted commands commit, the others are lost.
  void ChangeLeader(const NodeId& node,
                    Millis overlap = Millis(0),
                    size_t surviving = SIZE_MAX);

  /// Sets the time from a proposal to its commit, and from there until the
  /// followers apply it.
  void SetDelay(Millis commit, Millis follower = Millis(0));

  /// Rejects proposals with kResourceExhausted.
  void SetFull(bool is_full) { m_is_full = is_full; }

  /// Rejects proposals with this error although the leader stays the leader, as
  /// for a command that is too long (kInvalidArgument) or while a quorum is
  /// late (kNotLeader). Without a kind proposals are accepted again.
  void SetRefusal(std::optional<ErrorKind> kind) { m_refusal = kind; }

  /// Replaces the committed entries with a snapshot of the leader.
  void Compact();

  /// Loses committed commands, in violation of the contract of the log: only
  /// the first ones remain, without a snapshot. Members must be down.
  void KeepOnly(size_t count);

  /// Commits and applies the commands that are due.
  void Advance();

  /// Due time of the next commit, or Millis::Max().
  Millis NextDue() const;

  const NodeId& leader() const { return m_leader; }
  size_t uncommitted_count() const { return m_entries.size() - m_committed; }
  size_t committed_count() const { return m_committed; }
  uint64_t committed_bytes() const { return m_committed_bytes; }

 private:
  class MemberLog;
  struct Entry {
    std::string payload;
    Millis due;
  };

  Result<LogIndex> Propose(MemberLog& member, std::string command);
  void ApplyUntil(MemberLog& member, LogIndex index);
  MemberLog* LeaderLog() const;

  const Clock& m_clock;
  std::map<NodeId, std::unique_ptr<MemberLog>> m_member_logs;
  NodeId m_leader;
  Term m_term = 0;
  // Entries after the snapshot.
  std::vector<Entry> m_entries;
  size_t m_committed = 0;
  std::string m_snapshot;
  LogIndex m_snapshot_index = 0;
  uint64_t m_committed_bytes = 0;
  Millis m_commit_delay{2};
  Millis m_follower_delay{0};
  bool m_is_full = false;
  std::optional<ErrorKind> m_refusal;
};

}  // namespace fulmarrock::test

#endif  // TESTS_SUPPORT_FAKE_LOG_H_
