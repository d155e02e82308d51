#ifndef SOURCE_ENTRY_MEMBER_ROTATION_H_
#define SOURCE_ENTRY_MEMBER_ROTATION_H_

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

#include "source/base/ids.h"

namespace fulmarrock {

/// The control members that a client may ask. It asks one member at a time and
/// moves on to the next when that one does not answer.
class MemberRotation {
 public:
  explicit MemberRotation(std::vector<NodeId> members)
      : m_members(std::move(members)) {}

  bool IsEmpty() const { return m_members.empty(); }

  /// Whether the node is one of the members. Messages of other nodes are
  /// ignored.
  bool Contains(const NodeId& node) const {
    return std::find(m_members.begin(), m_members.end(), node) !=
           m_members.end();
  }

  /// Returns the member to ask now. There must be a member.
  const NodeId& current() const { return m_members[m_current]; }

  /// Selects the next member. There must be a member.
  void MoveToNext() { m_current = (m_current + 1) % m_members.size(); }

 private:
  std::vector<NodeId> m_members;
  size_t m_current = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_ENTRY_MEMBER_ROTATION_H_
