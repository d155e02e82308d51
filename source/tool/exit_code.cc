#include "source/tool/exit_code.h"

namespace fulmarrock::tool {

ExitCode ExitCodeOf(const Error& error) {
  switch (error.kind) {
    case ErrorKind::kInvalidArgument:
    case ErrorKind::kCorruption:
      return ExitCode::kUsage;
    case ErrorKind::kNotLeader:
    case ErrorKind::kUnavailable:
    case ErrorKind::kIo:
      return ExitCode::kUnavailable;
    case ErrorKind::kConflict:
      return ExitCode::kConflict;
    case ErrorKind::kTimeout:
      return ExitCode::kTimeout;
    case ErrorKind::kNotFound:
    case ErrorKind::kResourceExhausted:
    case ErrorKind::kPermissionDenied:
    case ErrorKind::kFailedPrecondition:
      return ExitCode::kFailed;
  }
  return ExitCode::kFailed;
}

}  // namespace fulmarrock::tool
