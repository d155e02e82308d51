#include "source/storage/member_state.h"

#include <cstring>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "source/base/checksum.h"
#include "source/storage/corruption_error.h"

namespace fulmarrock {
namespace {

constexpr uint64_t kMagic = 0x31424D4D4B524D46;  // "FMRKMMB1", little-endian.
constexpr std::string_view kNewName = "member.new";

/// Header of the file, in little-endian order, followed by the names of the
/// node and of the candidate it voted for. The checksum covers everything after
/// itself.
struct MemberHeader {
  uint64_t magic;
  uint64_t checksum;
  uint64_t term;
  uint64_t incarnation;
  uint64_t folder_identity;
  uint32_t node_size;
  uint32_t vote_size;
};
static_assert(sizeof(MemberHeader) == 48);
constexpr size_t kUncheckedBytes = 16;

/// Never returns zero, which means "unknown".
Incarnation GenerateIncarnation(RandomSource& random) {
  Incarnation incarnation = 0;
  while (incarnation == 0)
    incarnation = random.Next();
  return incarnation;
}

}  // namespace

Result<MemberStateStore> MemberStateStore::Open(Storage& storage,
                                                const NodeId& node,
                                                RandomSource& random) {
  MemberStateStore store(storage, node);
  const Result<uint64_t> identity = storage.FolderIdentity();
  if (!identity)
    return tl::make_unexpected(identity.error());
  store.m_folder_identity = *identity;
  if (Result<void> result = store.Load(random); !result)
    return tl::make_unexpected(std::move(result.error()));
  return store;
}

Result<void> MemberStateStore::SetTermAndVote(uint64_t term,
                                              const NodeId& voted_for) {
  m_state.term = term;
  m_state.voted_for = voted_for;
  return Save();
}

Result<void> MemberStateStore::Load(RandomSource& random) {
  // The file may have been renamed just before a folder sync failed.
  if (Result<void> result = m_storage->SyncFolder(); !result)
    return result;
  const Result<std::unique_ptr<StorageFile>> file = m_storage->Open(kFileName);
  if (!file) {
    if (file.error().kind != ErrorKind::kNotFound)
      return tl::make_unexpected(file.error());
    // Without this file the vote is lost, even if there is a log or snapshot.
    // The new incarnation makes the group reject this member until it is added
    // again.
    m_state.incarnation = GenerateIncarnation(random);
    return Save();
  }
  const Result<std::string> bytes = (*file)->Read(0, UINT64_MAX);
  if (!bytes)
    return tl::make_unexpected(bytes.error());
  return Decode(*bytes, random);
}

Result<void> MemberStateStore::Decode(std::string_view bytes,
                                      RandomSource& random) {
  MemberHeader header;
  if (bytes.size() < sizeof(header))
    return CorruptionError("the member file is shorter than its header");
  std::memcpy(&header, bytes.data(), sizeof(header));
  if (header.magic != kMagic ||
      header.checksum != Checksum(bytes.substr(kUncheckedBytes)) ||
      bytes.size() != sizeof(header) + uint64_t{header.node_size} +
                          uint64_t{header.vote_size})
    return CorruptionError("the member file is damaged");
  m_state.term = header.term;
  m_state.incarnation = header.incarnation;
  const std::string_view node = bytes.substr(sizeof(header), header.node_size);
  m_state.voted_for = bytes.substr(sizeof(header) + header.node_size);
  if (node == m_node && header.folder_identity == m_folder_identity)
    return {};
  m_state.incarnation = GenerateIncarnation(random);
  return Save();
}

Result<void> MemberStateStore::Save() {
  MemberHeader header{};
  header.magic = kMagic;
  header.term = m_state.term;
  header.incarnation = m_state.incarnation;
  header.folder_identity = m_folder_identity;
  header.node_size = static_cast<uint32_t>(m_node.size());
  header.vote_size = static_cast<uint32_t>(m_state.voted_for.size());
  std::string bytes(reinterpret_cast<const char*>(&header), sizeof(header));
  bytes += m_node;
  bytes += m_state.voted_for;
  header.checksum = Checksum(std::string_view(bytes).substr(kUncheckedBytes));
  std::memcpy(bytes.data() + sizeof(header.magic), &header.checksum,
              sizeof(header.checksum));
  const Result<std::unique_ptr<StorageFile>> file = m_storage->Create(kNewName);
  if (!file)
    return tl::make_unexpected(file.error());
  if (Result<void> result = (*file)->Append(bytes); !result)
    return result;
  if (Result<void> result = (*file)->Sync(); !result)
    return result;
  if (Result<void> result = m_storage->Rename(kNewName, kFileName); !result)
    return result;
  return m_storage->SyncFolder();
}

}  // namespace fulmarrock
