#ifndef SOURCE_STORAGE_CORRUPTION_ERROR_H_
#define SOURCE_STORAGE_CORRUPTION_ERROR_H_

#include <string>

#include "source/base/error.h"

namespace fulmarrock {

/// Returns an error of kind kCorruption with the remedy for damaged data of a
/// control member.
tl::unexpected<Error> CorruptionError(std::string message);

}  // namespace fulmarrock

#endif  // SOURCE_STORAGE_CORRUPTION_ERROR_H_
