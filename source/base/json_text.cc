#include "source/base/json_text.h"

#include <nlohmann/json.hpp>

namespace fulmarrock {

std::string ToJsonText(const nlohmann::json& json) {
  constexpr int kCompact = -1;
  return json.dump(kCompact, ' ', false,
                   nlohmann::json::error_handler_t::replace);
}

}  // namespace fulmarrock
