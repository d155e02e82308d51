#ifndef SOURCE_STORAGE_FILE_STORAGE_H_
#define SOURCE_STORAGE_FILE_STORAGE_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "source/storage/storage.h"

namespace fulmarrock {

/// POSIX files in one data folder, which is locked against use by a second
/// process.
class FileStorage : public Storage {
 public:
  /// Creates the folder if it is missing and locks it. Fails with
  /// kFailedPrecondition while another process holds the lock.
  static Result<std::unique_ptr<FileStorage>> OpenFolder(
      const std::string& folder);

  ~FileStorage() override;
  FileStorage(const FileStorage&) = delete;
  FileStorage& operator=(const FileStorage&) = delete;

  Result<std::unique_ptr<StorageFile>> Create(std::string_view name) override;
  Result<std::unique_ptr<StorageFile>> Open(std::string_view name) override;
  Result<std::vector<std::string>> List() const override;
  Result<void> Rename(std::string_view from, std::string_view to) override;
  Result<void> Remove(std::string_view name) override;
  Result<void> SyncFolder() override;
  Result<uint64_t> FolderIdentity() const override;

 private:
  FileStorage(std::string folder, int descriptor)
      : m_folder(std::move(folder)), m_descriptor(descriptor) {}

  Result<std::unique_ptr<StorageFile>> OpenWithFlags(std::string_view name,
                                                     int flags);

  std::string m_folder;
  // Descriptor of the folder, which also holds the lock.
  int m_descriptor;
};

}  // namespace fulmarrock

#endif  // SOURCE_STORAGE_FILE_STORAGE_H_
