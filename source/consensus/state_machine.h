#ifndef SOURCE_CONSENSUS_STATE_MACHINE_H_
#define SOURCE_CONSENSUS_STATE_MACHINE_H_

#include <string>
#include <string_view>

#include "source/base/error.h"
#include "source/message/consensus_messages.h"

namespace fulmarrock {

/// State that every member of a consensus group derives from the log.
class StateMachine {
 public:
  virtual ~StateMachine() = default;

  /// Applies a committed command. Commands arrive in order, each once.
  virtual void Apply(LogIndex index, std::string_view command) = 0;

  /// Returns the whole state after the last applied command.
  virtual std::string SaveSnapshot() const = 0;

  /// Replaces the whole state. Fails with kCorruption on malformed bytes.
  virtual Result<void> RestoreSnapshot(std::string_view bytes) = 0;

  /// The member became leader and has applied all entries of earlier terms.
  /// Reads of the state are current until OnLeadershipLost().
  virtual void OnLeadershipGained(Term term) = 0;

  /// The member is no longer leader. Proposals that have not been applied may
  /// or may not commit later.
  virtual void OnLeadershipLost() = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONSENSUS_STATE_MACHINE_H_
