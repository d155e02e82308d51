#ifndef SOURCE_DAEMON_LOGGING_H_
#define SOURCE_DAEMON_LOGGING_H_

#include <string>

#include "source/base/error.h"

namespace fulmarrock {

/// Sets where log lines go: a file, or standard error for an empty name. Must
/// be called before the first line is written.
Result<void> SetUpLogging(const std::string& file, bool log_debug);

}  // namespace fulmarrock

#endif  // SOURCE_DAEMON_LOGGING_H_
