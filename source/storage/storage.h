#ifndef SOURCE_STORAGE_STORAGE_H_
#define SOURCE_STORAGE_STORAGE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "source/base/error.h"

namespace fulmarrock {

/// One open file. Bytes are durable only after Sync() succeeded. After a failed
/// Sync() the bytes written since the last successful one are undefined.
class StorageFile {
 public:
  virtual ~StorageFile() = default;

  /// Writes at the end. Fails with kResourceExhausted on a full disk; some of
  /// the bytes may then have been written.
  virtual Result<void> Append(std::string_view bytes) = 0;

  virtual Result<void> Sync() = 0;

  /// Returns up to `length` bytes from `offset`; fewer at the end of the file.
  virtual Result<std::string> Read(uint64_t offset, uint64_t length) const = 0;

  /// Truncates the file to `size` bytes. Durable after the next Sync().
  virtual Result<void> Truncate(uint64_t size) = 0;

  virtual Result<uint64_t> Size() const = 0;
};

/// Folder without subfolders that is used by one process. Creating, renaming
/// and removing files is durable only after SyncFolder().
class Storage {
 public:
  virtual ~Storage() = default;

  /// Creates a file, or empties an existing one.
  virtual Result<std::unique_ptr<StorageFile>> Create(
      std::string_view name) = 0;

  /// Opens a file for appending and reading. Fails with kNotFound.
  virtual Result<std::unique_ptr<StorageFile>> Open(std::string_view name) = 0;

  /// Returns the names of all files, sorted.
  virtual Result<std::vector<std::string>> List() const = 0;

  /// Renames a file, and replaces an existing file of the new name.
  virtual Result<void> Rename(std::string_view from, std::string_view to) = 0;

  /// Removes a file. Fails with kNotFound.
  virtual Result<void> Remove(std::string_view name) = 0;

  virtual Result<void> SyncFolder() = 0;

  /// Returns a number that stays the same when files in the folder change, and
  /// differs for a copy of the folder.
  virtual Result<uint64_t> FolderIdentity() const = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_STORAGE_STORAGE_H_
