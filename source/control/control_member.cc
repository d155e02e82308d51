#include "source/control/control_member.h"

#include <utility>

namespace fulmarrock {

Result<std::unique_ptr<ControlMember>> ControlMember::Open(
    const ConsensusOptions& options,
    const ControlEnvironment& environment) {
  std::unique_ptr<ControlMember> member(
      new ControlMember(options.node, environment));
  Result<std::unique_ptr<ConsensusNode>> consensus = ConsensusNode::Open(
      options, {member->m_role, environment.transport, environment.clock,
                environment.random, environment.storage});
  if (!consensus)
    return tl::make_unexpected(std::move(consensus.error()));
  member->m_consensus = std::move(*consensus);
  member->m_role.AttachLog(*member->m_consensus);
  return member;
}

void ControlMember::OnMessage(const NodeId& from, const Message& message) {
  if (Failure())
    return;
  m_consensus->OnMessage(from, message);
  m_role.OnMessage(from, message);
}

void ControlMember::OnTick() {
  if (Failure())
    return;
  // The role proposes the commands it collected; the node then stores and sends
  // them in the same tick, with one sync to disk.
  m_role.OnTick();
  m_consensus->OnTick();
}

std::string ControlMember::DumpState() const {
  return "{\"consensus\":" + m_consensus->DumpState() +
         ",\"control\":" + m_role.DumpState() + "}";
}

ControlMember::ControlMember(const NodeId& node,
                             const ControlEnvironment& environment)
    : m_role(node,
             environment.clock,
             environment.transport,
             environment.random,
             m_scheduler) {}

}  // namespace fulmarrock
