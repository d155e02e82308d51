#ifndef SOURCE_TOOL_CONFIGURATION_FILE_H_
#define SOURCE_TOOL_CONFIGURATION_FILE_H_

#include <string>

#include <nlohmann/json_fwd.hpp>

#include "source/base/error.h"
#include "source/message/configuration.h"

namespace fulmarrock::tool {

/// Reads a file of JSON with comments.
Result<nlohmann::json> ReadJsonFile(const std::string& path);

/// Reads and validates a file with a configuration (plans and customers).
Result<Configuration> ReadConfigurationFile(const std::string& path);

}  // namespace fulmarrock::tool

#endif  // SOURCE_TOOL_CONFIGURATION_FILE_H_
