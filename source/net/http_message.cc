#include "source/net/http_message.h"

#include <algorithm>

namespace fulmarrock {
namespace {

std::string_view Lookup(
    const std::map<std::string, std::string, std::less<>>& values,
    std::string_view name) {
  const auto it = values.find(name);
  return it == values.end() ? std::string_view() : it->second;
}

}  // namespace

std::string_view HttpRequest::Header(std::string_view name) const {
  return Lookup(headers, name);
}

std::string_view HttpRequest::Query(std::string_view name) const {
  return Lookup(query, name);
}

std::string SanitizeHeaderValue(std::string value) {
  std::replace_if(
      value.begin(), value.end(),
      [](unsigned char c) { return c < 0x20 || c == 0x7F; }, ' ');
  return value;
}

}  // namespace fulmarrock
