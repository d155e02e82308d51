#include "source/base/error.h"

#include <utility>

namespace fulmarrock {

std::string_view ToString(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidArgument:
      return "invalid_argument";
    case ErrorKind::kNotFound:
      return "not_found";
    case ErrorKind::kConflict:
      return "conflict";
    case ErrorKind::kNotLeader:
      return "not_leader";
    case ErrorKind::kUnavailable:
      return "unavailable";
    case ErrorKind::kResourceExhausted:
      return "resource_exhausted";
    case ErrorKind::kPermissionDenied:
      return "permission_denied";
    case ErrorKind::kTimeout:
      return "timeout";
    case ErrorKind::kCorruption:
      return "corruption";
    case ErrorKind::kFailedPrecondition:
      return "failed_precondition";
    case ErrorKind::kIo:
      return "io";
  }
  return "unknown";
}

std::string Error::Describe() const {
  if (remedy.empty())
    return message;
  return message + "; " + remedy;
}

tl::unexpected<Error> MakeError(ErrorKind kind,
                                std::string message,
                                std::string remedy) {
  return tl::make_unexpected(
      Error{kind, std::move(message), std::move(remedy)});
}

}  // namespace fulmarrock
