#ifndef SOURCE_CONTROL_GROUP_PROBE_H_
#define SOURCE_CONTROL_GROUP_PROBE_H_

#include <set>
#include <vector>

#include "source/base/clock.h"
#include "source/message/transport.h"
#include "source/message/workflow_messages.h"

namespace fulmarrock {

/// Finds out whether a control group has a leader with a quorum, without being
/// a member of it. Asks all known nodes at regular intervals.
class GroupProbe {
 public:
  /// The referenced objects must outlive this one.
  GroupProbe(NodeId self, const Clock& clock, Transport& transport);

  void AddNodes(const std::vector<NodeId>& nodes);

  void OnTick();
  void OnGroupView(const NodeId& from, const GroupView& view);

  /// The leader that replied itself within the last second, or empty. Only a
  /// leader that a quorum follows names itself. An older reply does not count,
  /// as this process may have been suspended since.
  NodeId FindLeader() const;

  /// Nodes that are or may be members of the group.
  std::vector<NodeId> nodes() const { return {m_nodes.begin(), m_nodes.end()}; }

 private:
  const NodeId m_self;
  const Clock& m_clock;
  Transport& m_transport;
  std::set<NodeId> m_nodes;
  NodeId m_leader;
  Millis m_leader_replied_at;
  Millis m_next_request;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONTROL_GROUP_PROBE_H_
