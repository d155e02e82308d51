#ifndef SOURCE_AGENT_AGENT_PART_H_
#define SOURCE_AGENT_AGENT_PART_H_

#include <string>

#include "source/base/ids.h"
#include "source/message/message.h"

namespace fulmarrock {

/// One concern of the agent. The agent role hands every message and tick to all
/// of its parts; a part ignores messages of other concerns.
class AgentPart {
 public:
  virtual ~AgentPart() = default;

  virtual void OnMessage(const NodeId& from, const Message& message) = 0;
  virtual void OnTick() = 0;

  /// Starts a planned stop of this part.
  virtual void BeginShutdown() = 0;
  virtual bool IsDrained() const = 0;

  /// Key and JSON value of this part in the agent's state dump.
  virtual std::string Name() const = 0;
  virtual std::string DumpState() const = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_AGENT_PART_H_
