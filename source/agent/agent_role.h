#ifndef SOURCE_AGENT_AGENT_ROLE_H_
#define SOURCE_AGENT_AGENT_ROLE_H_

#include <memory>
#include <string>
#include <vector>

#include "source/agent/agent_part.h"
#include "source/base/counters.h"
#include "source/message/role.h"

namespace fulmarrock {

/// The agent role: a set of parts that run beside one target, worker or both.
class AgentRole : public Role {
 public:
  /// `counters` is shared with the parts and outlives the role.
  explicit AgentRole(Counters& counters) : m_counters(counters) {}

  /// Adds a part. All parts shut down together; the role is drained when all of
  /// them are.
  void AddPart(std::unique_ptr<AgentPart> part);

  void OnMessage(const NodeId& from, const Message& message) override;
  void OnTick() override;
  void BeginShutdown() override;
  bool IsDrained() const override;
  std::string DumpState() const override;
  const Counters& counters() const override { return m_counters; }

 private:
  Counters& m_counters;
  std::vector<std::unique_ptr<AgentPart>> m_parts;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_AGENT_ROLE_H_
