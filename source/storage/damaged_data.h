#ifndef SOURCE_STORAGE_DAMAGED_DATA_H_
#define SOURCE_STORAGE_DAMAGED_DATA_H_

#include "source/base/error.h"
#include "source/storage/storage.h"

namespace fulmarrock {

/// Renames every file of a data folder to "damaged-NAME", so that a member
/// starts from the folder as from an empty one and the damaged files can still
/// be examined. Replaces files that were set aside earlier, which bounds the
/// space used. Durable on return.
Result<void> SetDamagedDataAside(Storage& storage);

/// Whether a folder holds files that were set aside.
Result<bool> HasDamagedData(const Storage& storage);

}  // namespace fulmarrock

#endif  // SOURCE_STORAGE_DAMAGED_DATA_H_
