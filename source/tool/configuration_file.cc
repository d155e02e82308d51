#include "source/tool/configuration_file.h"

#include <nlohmann/json.hpp>

#include "source/config/configuration_json.h"
#include "source/config/json_reader.h"
#include "source/config/settings.h"

namespace fulmarrock::tool {

Result<nlohmann::json> ReadJsonFile(const std::string& path) {
  const Result<std::string> text = ReadTextFile(path);
  if (!text)
    return tl::make_unexpected(text.error());
  return ParseJson(*text);
}

Result<Configuration> ReadConfigurationFile(const std::string& path) {
  const Result<nlohmann::json> value = ReadJsonFile(path);
  if (!value)
    return tl::make_unexpected(value.error());
  return ConfigurationFromJson(*value);
}

}  // namespace fulmarrock::tool
