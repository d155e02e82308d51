#include "tests/support/fake_storage.h"

#include <algorithm>
#include <utility>

namespace fulmarrock::test {
namespace {

uint64_t NextIdentity() {
  static uint64_t next = 0;
  return ++next;
}

tl::unexpected<Error> NotFound(std::string_view name) {
  return MakeError(ErrorKind::kNotFound, std::string(name) + " does not exist",
                   "create it first");
}

}  // namespace

class FakeStorage::File : public StorageFile {
 public:
  File(FakeStorage& storage, std::shared_ptr<Content> content)
      : m_storage(storage), m_content(std::move(content)) {}

  Result<void> Append(std::string_view bytes) override {
    return m_storage.Append(*m_content, bytes);
  }
  Result<void> Sync() override { return m_storage.Sync(*m_content); }
  Result<std::string> Read(uint64_t offset, uint64_t length) const override {
    if (offset >= m_content->bytes.size())
      return std::string();
    return m_content->bytes.substr(offset, length);
  }
  Result<void> Truncate(uint64_t size) override {
    m_content->bytes.resize(size);
    m_content->lost_end = std::min(m_content->lost_end, size);
    m_content->is_truncated = true;
    return {};
  }
  Result<uint64_t> Size() const override { return m_content->bytes.size(); }

 private:
  FakeStorage& m_storage;
  std::shared_ptr<Content> m_content;
};

FakeStorage::FakeStorage() : m_identity(NextIdentity()) {}

Result<std::unique_ptr<StorageFile>> FakeStorage::Create(
    std::string_view name) {
  auto content = std::make_shared<Content>();
  m_files.insert_or_assign(std::string(name), content);
  return std::unique_ptr<StorageFile>(
      std::make_unique<File>(*this, std::move(content)));
}

Result<std::unique_ptr<StorageFile>> FakeStorage::Open(std::string_view name) {
  const auto it = m_files.find(name);
  if (it == m_files.end())
    return NotFound(name);
  return std::unique_ptr<StorageFile>(
      std::make_unique<File>(*this, it->second));
}

Result<std::vector<std::string>> FakeStorage::List() const {
  std::vector<std::string> names;
  for (const auto& [name, content] : m_files)
    names.push_back(name);
  return names;
}

Result<void> FakeStorage::Rename(std::string_view from, std::string_view to) {
  const auto it = m_files.find(from);
  if (it == m_files.end())
    return NotFound(from);
  m_files.insert_or_assign(std::string(to), it->second);
  m_files.erase(m_files.find(from));
  return {};
}

Result<void> FakeStorage::Remove(std::string_view name) {
  const auto it = m_files.find(name);
  if (it == m_files.end())
    return NotFound(name);
  m_files.erase(it);
  return {};
}

Result<void> FakeStorage::SyncFolder() {
  if (CountSyncAndCheckFailure())
    return MakeError(ErrorKind::kIo, "injected failure of a folder sync",
                     "restart the process");
  if (!m_is_ignoring_syncs)
    m_durable_files = m_files;
  return {};
}

void FakeStorage::Crash(CrashKind kind, RandomSource& random) {
  m_syncs_until_failure = 0;
  if (kind == CrashKind::kKeepAll)
    return;
  m_files = m_durable_files;
  for (auto& [name, content] : m_files) {
    std::string rest;
    if (kind == CrashKind::kTearWrites && !content->is_truncated &&
        content->lost_begin >= content->lost_end &&
        content->bytes.size() > content->durable.size()) {
      rest = content->bytes.substr(content->durable.size());
      rest.resize(random.Below(rest.size() + 1));
      if (!rest.empty() && random.Below(2) == 0)
        rest[random.Below(rest.size())] ^= 0x55;
    }
    content->durable += rest;
    content->bytes = content->durable;
    content->lost_end = 0;
    content->is_truncated = false;
  }
}

void FakeStorage::Wipe() {
  m_files.clear();
  m_durable_files.clear();
  m_identity = NextIdentity();
}

void FakeStorage::CopyFrom(const FakeStorage& other) {
  Wipe();
  for (const auto& [name, content] : other.m_files)
    m_files[name] = std::make_shared<Content>(
        Content{.bytes = content->bytes, .durable = content->bytes});
  m_durable_files = m_files;
}

void FakeStorage::CorruptByte(const std::string& name, uint64_t offset) {
  Content& content = *m_files.at(name);
  const auto flip = [offset](std::string& bytes) {
    if (offset < bytes.size())
      bytes[offset] = static_cast<char>(~bytes[offset]);
  };
  flip(content.bytes);
  flip(content.durable);
}

uint64_t FakeStorage::SizeOf(const std::string& name) const {
  return m_files.at(name)->bytes.size();
}

Result<void> FakeStorage::Append(Content& content, std::string_view bytes) {
  uint64_t used = 0;
  for (const auto& [name, other] : m_files)
    used += other->bytes.size();
  const uint64_t space = m_capacity > used ? m_capacity - used : 0;
  content.bytes += bytes.substr(0, space);
  if (space >= bytes.size())
    return {};
  return MakeError(ErrorKind::kResourceExhausted, "the fake disk is full",
                   "free space on the disk and restart the process");
}

Result<void> FakeStorage::Sync(Content& content) {
  if (CountSyncAndCheckFailure()) {
    if (content.lost_begin >= content.lost_end)
      content.lost_begin = content.durable.size();
    content.lost_end = content.bytes.size();
    return MakeError(ErrorKind::kIo, "injected failure of a sync",
                     "restart the process");
  }
  if (m_is_ignoring_syncs)
    return {};
  if (content.is_truncated)
    content.durable = content.bytes;
  else
    content.durable.append(content.bytes, content.durable.size());
  if (content.lost_begin < content.lost_end)
    std::fill(content.durable.begin() + content.lost_begin,
              content.durable.begin() + content.lost_end, '\0');
  content.is_truncated = false;
  return {};
}

bool FakeStorage::CountSyncAndCheckFailure() {
  ++m_sync_count;
  return m_syncs_until_failure > 0 && --m_syncs_until_failure == 0;
}

}  // namespace fulmarrock::test
