#ifndef SOURCE_TOOL_CONFIGURATION_FILE_H_
#define SOURCE_TOOL_CONFIGURATION_FILE_H_

#include <string>

#include <nlohmann/json_fwd.hpp>

#include "source/base/error.h"
#include "source/message/configuration.h"

namespace fulmarrock::tool {

/// Reads a file of JSON with comments.
Result<nlohmann::json> ReadJsonFile(const std::string& path);

/// Reads and checks a file with the two lists.
Result<Configuration> ReadListFile(const std::string& path);

}  // namespace fulmarrock::tool

#endif  // SOURCE_TOOL_CONFIGURATION_FILE_H_
