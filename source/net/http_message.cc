#include "source/net/http_message.h"

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

}  // namespace fulmarrock
