#include "source/consensus/membership.h"

#include <algorithm>
#include <utility>

#include "source/message/field_codec.h"

namespace fulmarrock {
namespace {

/// Payload of a log entry of kind kMembership.
struct MembershipPayload {
  std::vector<Member> members;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.members);
  }
};

}  // namespace

Membership::Membership(std::vector<Member> members)
    : m_members(std::move(members)) {
  std::sort(m_members.begin(), m_members.end(),
            [](const Member& left, const Member& right) {
              return left.node < right.node;
            });
}

Membership Membership::OfInitialMembers(const std::vector<NodeId>& nodes) {
  std::vector<Member> members;
  for (const NodeId& node : nodes)
    members.push_back({.node = node});
  return Membership(std::move(members));
}

Result<Membership> Membership::Decode(std::string_view bytes) {
  Result<MembershipPayload> payload = UnpackStruct<MembershipPayload>(bytes);
  if (!payload)
    return tl::make_unexpected(std::move(payload.error()));
  return Membership(std::move(payload->members));
}

std::string Membership::Encode() const {
  return PackStruct(MembershipPayload{m_members});
}

const Member* Membership::Find(std::string_view node) const {
  const auto it = std::find_if(
      m_members.begin(), m_members.end(),
      [node](const Member& member) { return member.node == node; });
  return it == m_members.end() ? nullptr : &*it;
}

bool Membership::HasAllIncarnations() const {
  return std::all_of(
      m_members.begin(), m_members.end(),
      [](const Member& member) { return member.incarnation != 0; });
}

bool Membership::Matches(std::string_view node, Incarnation incarnation) const {
  const Member* member = Find(node);
  return member != nullptr &&
         (member->incarnation == 0 || member->incarnation == incarnation);
}

bool Membership::IsVoter(std::string_view node, Incarnation incarnation) const {
  return Matches(node, incarnation) && Find(node)->is_voter;
}

size_t Membership::VoterCount() const {
  return static_cast<size_t>(
      std::count_if(m_members.begin(), m_members.end(),
                    [](const Member& member) { return member.is_voter; }));
}

}  // namespace fulmarrock
