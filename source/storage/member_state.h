#ifndef SOURCE_STORAGE_MEMBER_STATE_H_
#define SOURCE_STORAGE_MEMBER_STATE_H_

#include <cstdint>
#include <string_view>

#include "source/base/error.h"
#include "source/base/ids.h"
#include "source/base/random_source.h"
#include "source/storage/storage.h"

namespace fulmarrock {

/// State that a member of a consensus group must persist besides its log.
struct MemberState {
  uint64_t term = 0;
  /// Candidate this member voted for in the term, or empty.
  NodeId voted_for;
  /// Random number generated when the data folder was created.
  Incarnation incarnation = 0;
};

/// Stores the MemberState in one file, which is replaced atomically.
class MemberStateStore {
 public:
  static constexpr std::string_view kFileName = "member";

  /// Loads the state of a node. Generates an incarnation for an empty folder,
  /// and a new one for a folder that was copied or belongs to another node, so
  /// that it is not used under the identity of the original. Fails with
  /// kCorruption on a damaged file.
  static Result<MemberStateStore> Open(Storage& storage,
                                       const NodeId& node,
                                       RandomSource& random);

  const MemberState& state() const { return m_state; }

  /// Replaces term and vote. Durable on return.
  Result<void> SetTermAndVote(uint64_t term, const NodeId& voted_for);

 private:
  MemberStateStore(Storage& storage, NodeId node)
      : m_storage(&storage), m_node(std::move(node)) {}

  Result<void> Load(RandomSource& random);
  Result<void> Decode(std::string_view bytes, RandomSource& random);
  Result<void> Save();

  Storage* m_storage;
  NodeId m_node;
  uint64_t m_folder_identity = 0;
  MemberState m_state;
};

}  // namespace fulmarrock

#endif  // SOURCE_STORAGE_MEMBER_STATE_H_
