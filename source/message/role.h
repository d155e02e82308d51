#ifndef SOURCE_MESSAGE_ROLE_H_
#define SOURCE_MESSAGE_ROLE_H_

#include <string>

#include "source/base/counters.h"
#include "source/base/ids.h"
#include "source/base/millis.h"
#include "source/message/message.h"

namespace fulmarrock {

/// Interval at which OnTick() of a role is called.
inline constexpr Millis kTickInterval{10};

/// A deterministic state machine. All calls come from one thread; the role acts
/// only through the interfaces given to its constructor.
class Role {
 public:
  virtual ~Role() = default;

  /// Handles one message from another process.
  virtual void OnMessage(const NodeId& from, const Message& message) = 0;

  /// Does what is due at the current time.
  virtual void OnTick() = 0;

  /// Starts draining: the role accepts no new work and finishes what is
  /// running.
  virtual void BeginShutdown() = 0;

  /// Returns whether draining is complete.
  virtual bool IsDrained() const = 0;

  /// Returns the whole state as JSON, for operators.
  virtual std::string DumpState() const = 0;

  virtual const Counters& counters() const = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_MESSAGE_ROLE_H_
