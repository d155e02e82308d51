#ifndef SOURCE_AGENT_AGENT_PART_H_
#define SOURCE_AGENT_AGENT_PART_H_

#include <string>

#include "source/base/ids.h"
#include "source/message/message.h"

namespace fulmarrock {

/// A component of the agent role, such as the request server or the task
/// runner. The role passes every message and tick to all parts; a part ignores
/// messages that are not meant for it.
class AgentPart {
 public:
  virtual ~AgentPart() = default;

  virtual void OnMessage(const NodeId& from, const Message& message) = 0;
  virtual void OnTick() = 0;

  /// Starts the graceful shutdown of this part.
  virtual void BeginShutdown() = 0;
  virtual bool IsDrained() const = 0;

  /// Key and JSON value of this part in the agent's state dump.
  virtual std::string Name() const = 0;
  virtual std::string DumpState() const = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_AGENT_PART_H_
