#ifndef SOURCE_CONSENSUS_REPLICATED_LOG_H_
#define SOURCE_CONSENSUS_REPLICATED_LOG_H_

#include <string>
#include <vector>

#include "source/base/error.h"
#include "source/base/ids.h"
#include "source/base/millis.h"
#include "source/message/consensus_messages.h"

namespace fulmarrock {

/// The interface of the consensus group that the control role uses.
class ReplicatedLog {
 public:
  virtual ~ReplicatedLog() = default;

  /// Appends a command if this member is the leader, and returns its index.
  /// Commands proposed within one tick share a sync and a round of messages.
  /// Fails with kNotLeader, also while a quorum is late to reply; with
  /// kResourceExhausted when too many commands are uncommitted; and with
  /// kInvalidArgument for a command that is too long. An accepted command may
  /// still be lost; it takes effect only when it reaches StateMachine::Apply().
  virtual Result<LogIndex> Propose(std::string command) = 0;

  /// Whether this member is the leader and a quorum replied within the last
  /// election timeout.
  virtual bool IsLeader() const = 0;

  /// The leader as known to this member, or empty.
  virtual NodeId Leader() const = 0;

  virtual Term CurrentTerm() const = 0;
  virtual LogIndex CommitIndex() const = 0;

  /// Members whose last reply to the leader is at least `timeout` old.
  virtual std::vector<NodeId> UnresponsiveMembers(Millis timeout) const = 0;

  /// Incarnation of this member's data folder.
  virtual Incarnation OwnIncarnation() const = 0;

  /// The newest membership in the log, committed or not.
  virtual std::vector<Member> Members() const = 0;

  /// Adds a member as a learner; it becomes a voter once it has caught up.
  /// Fails with kNotLeader, or kConflict while another change is in progress.
  virtual Result<LogIndex> AddMember(const NodeId& node,
                                     Incarnation incarnation) = 0;

  /// Removes a member. Same errors as AddMember(), and kFailedPrecondition for
  /// the last voter.
  virtual Result<LogIndex> RemoveMember(const NodeId& node) = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONSENSUS_REPLICATED_LOG_H_
