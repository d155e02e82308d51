#ifndef SOURCE_CONSENSUS_MEMBERSHIP_H_
#define SOURCE_CONSENSUS_MEMBERSHIP_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "source/base/error.h"
#include "source/message/consensus_messages.h"

namespace fulmarrock {

/// The members of a group at one index of the log.
class Membership {
 public:
  Membership() = default;
  explicit Membership(std::vector<Member> members);

  /// Returns a membership of voters whose incarnations are unknown.
  static Membership OfInitialMembers(const std::vector<NodeId>& nodes);

  static Result<Membership> Decode(std::string_view bytes);
  std::string Encode() const;

  const std::vector<Member>& members() const { return m_members; }
  const Member* Find(std::string_view node) const;

  /// Whether every incarnation is known.
  bool HasAllIncarnations() const;

  /// Whether the node is a member and has the recorded incarnation. Every
  /// incarnation matches if none is recorded yet.
  bool Matches(std::string_view node, Incarnation incarnation) const;

  /// As Matches(), for voters only.
  bool IsVoter(std::string_view node, Incarnation incarnation) const;

  size_t VoterCount() const;
  size_t QuorumSize() const { return VoterCount() / 2 + 1; }

 private:
  // Sorted by node.
  std::vector<Member> m_members;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONSENSUS_MEMBERSHIP_H_
