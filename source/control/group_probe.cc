#include "source/control/group_probe.h"

#include <utility>

#include "source/message/message.h"

namespace fulmarrock {
namespace {

constexpr Millis kRequestInterval{500};
constexpr Millis kMaxReplyAge{1'000};

}  // namespace

GroupProbe::GroupProbe(NodeId self, const Clock& clock, Transport& transport)
    : m_self(std::move(self)), m_clock(clock), m_transport(transport) {}

void GroupProbe::AddNodes(const std::vector<NodeId>& nodes) {
  for (const NodeId& node : nodes) {
    if (node != m_self && !node.empty())
      m_nodes.insert(node);
  }
}

void GroupProbe::OnTick() {
  const Millis now = m_clock.Now();
  if (now < m_next_request)
    return;
  m_next_request = now + kRequestInterval;
  for (const NodeId& node : m_nodes)
    m_transport.Send(node, JoinRequest{});
}

void GroupProbe::OnGroupView(const NodeId& from, const GroupView& view) {
  AddNodes(view.members);
  AddNodes({view.leader});
  if (view.leader != from)
    return;
  m_leader = from;
  m_leader_replied_at = m_clock.Now();
}

NodeId GroupProbe::FindLeader() const {
  const Millis age = m_clock.Now() - m_leader_replied_at;
  return age <= kMaxReplyAge ? m_leader : NodeId();
}

}  // namespace fulmarrock
