#include "source/storage/damaged_data.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include "source/storage/member_state.h"

namespace fulmarrock {
namespace {

constexpr std::string_view kPrefix = "damaged-";

bool IsSetAside(const std::string& name) {
  return name.starts_with(kPrefix);
}

Result<void> SetAside(Storage& storage, const std::string& name) {
  return storage.Rename(name, std::string(kPrefix) + name);
}

Result<void> RemoveEarlierFiles(Storage& storage,
                                const std::vector<std::string>& names) {
  for (const std::string& name : names) {
    if (!IsSetAside(name))
      continue;
    if (Result<void> result = storage.Remove(name); !result)
      return result;
  }
  return {};
}

}  // namespace

Result<void> SetDamagedDataAside(Storage& storage) {
  const Result<std::vector<std::string>> names = storage.List();
  if (!names)
    return tl::make_unexpected(names.error());
  if (Result<void> result = RemoveEarlierFiles(storage, *names); !result)
    return result;
  // The identity goes first and durably: a member that kept it and lost its log
  // could vote against entries that it has acknowledged.
  const std::string identity(MemberStateStore::kFileName);
  if (std::find(names->begin(), names->end(), identity) != names->end()) {
    if (Result<void> result = SetAside(storage, identity); !result)
      return result;
    if (Result<void> result = storage.SyncFolder(); !result)
      return result;
  }
  for (const std::string& name : *names) {
    if (name == identity || IsSetAside(name))
      continue;
    if (Result<void> result = SetAside(storage, name); !result)
      return result;
  }
  return storage.SyncFolder();
}

Result<bool> HasDamagedData(const Storage& storage) {
  const Result<std::vector<std::string>> names = storage.List();
  if (!names)
    return tl::make_unexpected(names.error());
  return std::any_of(names->begin(), names->end(), &IsSetAside);
}

}  // namespace fulmarrock
