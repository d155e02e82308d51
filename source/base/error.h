#ifndef SOURCE_BASE_ERROR_H_
#define SOURCE_BASE_ERROR_H_

#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace fulmarrock {

/// Category of an error, by what a caller can do about it.
enum class ErrorKind {
  kInvalidArgument,     ///< The input is invalid; a retry does not help.
  kNotFound,            ///< The named object does not exist.
  kConflict,            ///< Another change came first.
  kNotLeader,           ///< The request must go to another control member.
  kUnavailable,         ///< Cannot be served now; a later retry may succeed.
  kResourceExhausted,   ///< A limit, a quota or a disk is full.
  kPermissionDenied,    ///< The plan or the customer does not allow it.
  kTimeout,             ///< The deadline passed.
  kCorruption,          ///< Stored or received bytes fail their check.
  kFailedPrecondition,  ///< The state does not allow it.
  kIo,                  ///< The operating system reported an error.
};

/// Returns the stable, lower-case name of a kind, as used in JSON output.
std::string_view ToString(ErrorKind kind);

/// An error with text for users: what happened, and what to do about it.
struct Error {
  ErrorKind kind = ErrorKind::kInvalidArgument;
  std::string message;
  std::string remedy;

  /// Returns message and remedy as one line.
  std::string Describe() const;
};

/// A value or an error.
template <typename T>
using Result = tl::expected<T, Error>;

/// Shorthand for returning an error from a function with a Result.
tl::unexpected<Error> MakeError(ErrorKind kind,
                                std::string message,
                                std::string remedy);

}  // namespace fulmarrock

#endif  // SOURCE_BASE_ERROR_H_
