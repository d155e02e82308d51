#ifndef SOURCE_BASE_JSON_TEXT_H_
#define SOURCE_BASE_JSON_TEXT_H_

#include <string>

#include <nlohmann/json_fwd.hpp>

namespace fulmarrock {

/// Returns JSON as compact text. Bytes that are not valid UTF-8, as in a name
/// from a malformed message, become replacement characters instead of an
/// exception.
std::string ToJsonText(const nlohmann::json& json);

}  // namespace fulmarrock

#endif  // SOURCE_BASE_JSON_TEXT_H_
