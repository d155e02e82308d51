#include "source/storage/file_storage.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <system_error>
#include <utility>

namespace fulmarrock {
namespace {

/// Converts an errno value to an Error.
tl::unexpected<Error> SystemError(std::string action, int number) {
  std::string message =
      std::move(action) + ": " + std::generic_category().message(number);
  switch (number) {
    case ENOENT:
      return MakeError(ErrorKind::kNotFound, std::move(message),
                       "check the data folder in the settings");
    case ENOSPC:
    case EDQUOT:
    case EFBIG:
      return MakeError(ErrorKind::kResourceExhausted, std::move(message),
                       "free space on the disk and restart the process");
    case EACCES:
    case EPERM:
    case EROFS:
      return MakeError(ErrorKind::kPermissionDenied, std::move(message),
                       "give the process write access to the data folder");
    default:
      return MakeError(ErrorKind::kIo, std::move(message),
                       "check the disk and restart the process");
  }
}

/// Regular file opened for appending.
class PosixFile : public StorageFile {
 public:
  PosixFile(std::string path, int descriptor)
      : m_path(std::move(path)), m_descriptor(descriptor) {}
  ~PosixFile() override { close(m_descriptor); }
  PosixFile(const PosixFile&) = delete;
  PosixFile& operator=(const PosixFile&) = delete;

  Result<void> Append(std::string_view bytes) override {
    while (!bytes.empty()) {
      const ssize_t written = write(m_descriptor, bytes.data(), bytes.size());
      if (written < 0) {
        if (errno == EINTR)
          continue;
        return SystemError("cannot write " + m_path, errno);
      }
      bytes.remove_prefix(static_cast<size_t>(written));
    }
    return {};
  }

  Result<void> Sync() override {
    // A failed fdatasync() may drop the dirty pages, so that a retry would
    // succeed without writing them. It is therefore never retried.
    if (fdatasync(m_descriptor) != 0)
      return SystemError("cannot sync " + m_path, errno);
    return {};
  }

  Result<std::string> Read(uint64_t offset, uint64_t length) const override {
    const Result<uint64_t> size = Size();
    if (!size)
      return tl::make_unexpected(size.error());
    const uint64_t available = *size > offset ? *size - offset : 0;
    std::string bytes(std::min(length, available), '\0');
    size_t done = 0;
    while (done < bytes.size()) {
      const ssize_t count =
          pread(m_descriptor, bytes.data() + done, bytes.size() - done,
                static_cast<off_t>(offset + done));
      if (count < 0) {
        if (errno == EINTR)
          continue;
        return SystemError("cannot read " + m_path, errno);
      }
      if (count == 0)
        break;
      done += static_cast<size_t>(count);
    }
    bytes.resize(done);
    return bytes;
  }

  Result<void> Truncate(uint64_t size) override {
    if (ftruncate(m_descriptor, static_cast<off_t>(size)) != 0)
      return SystemError("cannot truncate " + m_path, errno);
    return {};
  }

  Result<uint64_t> Size() const override {
    struct stat info {};
    if (fstat(m_descriptor, &info) != 0)
      return SystemError("cannot inspect " + m_path, errno);
    return static_cast<uint64_t>(info.st_size);
  }

 private:
  std::string m_path;
  int m_descriptor;
};

}  // namespace

Result<std::unique_ptr<FileStorage>> FileStorage::OpenFolder(
    const std::string& folder) {
  std::error_code code;
  std::filesystem::create_directories(folder, code);
  if (code)
    return SystemError("cannot create " + folder, code.value());
  const int descriptor =
      open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0)
    return SystemError("cannot open " + folder, errno);
  if (flock(descriptor, LOCK_EX | LOCK_NB) != 0) {
    close(descriptor);
    return MakeError(ErrorKind::kFailedPrecondition,
                     "data folder " + folder + " is in use",
                     "stop the other process or set another data folder");
  }
  return std::unique_ptr<FileStorage>(new FileStorage(folder, descriptor));
}

FileStorage::~FileStorage() {
  close(m_descriptor);
}

Result<std::unique_ptr<StorageFile>> FileStorage::Create(
    std::string_view name) {
  return OpenWithFlags(name, O_CREAT | O_TRUNC);
}

Result<std::unique_ptr<StorageFile>> FileStorage::Open(std::string_view name) {
  return OpenWithFlags(name, 0);
}

Result<std::vector<std::string>> FileStorage::List() const {
  std::error_code code;
  std::vector<std::string> names;
  for (std::filesystem::directory_iterator it(m_folder, code), end;
       !code && it != end; it.increment(code)) {
    if (it->is_regular_file(code) && !code)
      names.push_back(it->path().filename().string());
  }
  if (code)
    return SystemError("cannot list " + m_folder, code.value());
  std::sort(names.begin(), names.end());
  return names;
}

Result<void> FileStorage::Rename(std::string_view from, std::string_view to) {
  if (renameat(m_descriptor, std::string(from).c_str(), m_descriptor,
               std::string(to).c_str()) != 0)
    return SystemError("cannot rename " + std::string(from), errno);
  return {};
}

Result<void> FileStorage::Remove(std::string_view name) {
  if (unlinkat(m_descriptor, std::string(name).c_str(), 0) != 0)
    return SystemError("cannot remove " + std::string(name), errno);
  return {};
}

Result<void> FileStorage::SyncFolder() {
  if (fsync(m_descriptor) != 0)
    return SystemError("cannot sync " + m_folder, errno);
  return {};
}

Result<uint64_t> FileStorage::FolderIdentity() const {
  struct stat info {};
  if (fstat(m_descriptor, &info) != 0)
    return SystemError("cannot inspect " + m_folder, errno);
  // The device number is not used: it may change when the instance restarts.
  return static_cast<uint64_t>(info.st_ino);
}

Result<std::unique_ptr<StorageFile>> FileStorage::OpenWithFlags(
    std::string_view name,
    int flags) {
  const std::string path = std::string(name);
  constexpr mode_t kMode = 0640;
  const int descriptor = openat(m_descriptor, path.c_str(),
                                flags | O_RDWR | O_APPEND | O_CLOEXEC, kMode);
  if (descriptor < 0)
    return SystemError("cannot open " + m_folder + "/" + path, errno);
  return std::unique_ptr<StorageFile>(
      std::make_unique<PosixFile>(m_folder + "/" + path, descriptor));
}

}  // namespace fulmarrock
