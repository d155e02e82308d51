#ifndef SOURCE_TOOL_EXIT_CODE_H_
#define SOURCE_TOOL_EXIT_CODE_H_

#include "source/base/error.h"

namespace fulmarrock::tool {

/// Exit codes of the tool; scripts may rely on them.
enum class ExitCode : int {
  kSuccess = 0,
  kFailed = 1,       ///< The operation was refused or failed.
  kUsage = 2,        ///< The command line or an input file is wrong.
  kUnavailable = 3,  ///< No control member could serve it; try again.
  kConflict = 4,     ///< Another change was committed first.
  kTimeout = 5,      ///< The timeout expired; this itself changes no state.
};

/// Returns the exit code that stands for an error.
ExitCode ExitCodeOf(const Error& error);

}  // namespace fulmarrock::tool

#endif  // SOURCE_TOOL_EXIT_CODE_H_
