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
    if (Result<void> result = m_storage.CountChange(); !result)
      return result;
    m_content->unsynced.push_back(
        {.offset = size, .bytes = {}, .is_truncation = true});
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
  if (Result<void> result = CountChange(); !result)
    return tl::make_unexpected(result.error());
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
  if (Result<void> result = CountChange(); !result)
    return result;
  const auto it = m_files.find(from);
  if (it == m_files.end())
    return NotFound(from);
  m_files.insert_or_assign(std::string(to), it->second);
  m_files.erase(m_files.find(from));
  return {};
}

Result<void> FakeStorage::Remove(std::string_view name) {
  if (Result<void> result = CountChange(); !result)
    return result;
  const auto it = m_files.find(name);
  if (it == m_files.end())
    return NotFound(name);
  m_files.erase(it);
  return {};
}

Result<void> FakeStorage::SyncFolder() {
  if (Result<void> result = CountChange(); !result)
    return result;
  if (CountSyncAndCheckFailure())
    return MakeError(ErrorKind::kIo, "injected failure of a folder sync",
                     "restart the process");
  if (!m_is_ignoring_syncs)
    m_durable_files = m_files;
  return {};
}

void FakeStorage::Crash(CrashKind kind, RandomSource& random) {
  m_syncs_until_failure = 0;
  m_changes_until_failure = 0;
  if (kind == CrashKind::kKeepAll)
    return;
  if (kind == CrashKind::kMixWrites) {
    MixFolder(random);
    return;
  }
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
    content->unsynced.clear();
  }
}

void FakeStorage::MixFolder(RandomSource& random) {
  Folder mixed;
  for (const auto* folder : {&m_durable_files, &m_files}) {
    const auto& other = folder == &m_files ? m_durable_files : m_files;
    for (const auto& [name, content] : *folder) {
      const auto it = other.find(name);
      const bool is_unchanged = it != other.end() && it->second == content;
      if (is_unchanged || random.Below(2) == 0)
        mixed.insert_or_assign(name, content);
      else if (it != other.end())
        mixed.insert_or_assign(name, it->second);
    }
  }
  for (auto& [name, content] : mixed)
    MixWrites(*content, random);
  m_files = mixed;
  m_durable_files = std::move(mixed);
}

void FakeStorage::MixWrites(Content& content, RandomSource& random) {
  // The disk writes sectors whole.
  constexpr size_t kSectorBytes = 512;
  for (const Write& write : std::exchange(content.unsynced, {})) {
    const uint64_t choice = random.Below(3);
    if (choice == 0)
      continue;
    if (write.is_truncation) {
      content.durable.resize(std::min(content.durable.size(), write.offset));
      continue;
    }
    uint64_t begin = write.offset;
    const uint64_t end = begin + write.bytes.size();
    if (content.durable.size() < end)
      content.durable.resize(end);
    while (begin < end) {
      const uint64_t sector_end =
          std::min(end, (begin / kSectorBytes + 1) * kSectorBytes);
      const bool is_torn_off = choice == 1 && random.Below(2) == 0;
      if (!is_torn_off)
        content.durable.replace(
            begin, sector_end - begin,
            write.bytes.substr(begin - write.offset, sector_end - begin));
      begin = sector_end;
    }
  }
  content.bytes = content.durable;
  content.lost_end = 0;
  content.is_truncated = false;
}

void FakeStorage::Wipe() {
  m_files.clear();
  m_durable_files.clear();
  m_identity = NextIdentity();
}

void FakeStorage::CopyFrom(const FakeStorage& other) {
  Wipe();
  for (const auto& [name, content] : other.m_files) {
    auto copy = std::make_shared<Content>();
    copy->bytes = content->bytes;
    copy->durable = content->bytes;
    m_files[name] = std::move(copy);
  }
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
  if (Result<void> result = CountChange(); !result)
    return result;
  uint64_t used = 0;
  for (const auto& [name, other] : m_files)
    used += other->bytes.size();
  const uint64_t space = m_capacity > used ? m_capacity - used : 0;
  content.unsynced.push_back({.offset = content.bytes.size(),
                              .bytes = std::string(bytes.substr(0, space)),
                              .is_truncation = false});
  content.bytes += bytes.substr(0, space);
  if (space >= bytes.size())
    return {};
  return MakeError(ErrorKind::kResourceExhausted, "the fake disk is full",
                   "free space on the disk and restart the process");
}

Result<void> FakeStorage::Sync(Content& content) {
  if (Result<void> result = CountChange(); !result)
    return result;
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
  content.unsynced.clear();
  return {};
}

Result<void> FakeStorage::CountChange() {
  if (m_changes_until_failure == 0 || --m_changes_until_failure > 0)
    return {};
  m_changes_until_failure = 1;
  return MakeError(ErrorKind::kIo, "the fake instance has lost power",
                   "restart the instance");
}

bool FakeStorage::CountSyncAndCheckFailure() {
  ++m_sync_count;
  return m_syncs_until_failure > 0 && --m_syncs_until_failure == 0;
}

}  // namespace fulmarrock::test
