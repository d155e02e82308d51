#ifndef SOURCE_NET_HTTP_MESSAGE_H_
#define SOURCE_NET_HTTP_MESSAGE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fulmarrock {

/// One HTTP request as a server received it.
struct HttpRequest {
  std::string method;
  /// Path without the query, percent-decoded.
  std::string path;
  /// Path and query as they were sent.
  std::string target;
  /// Names in lower case.
  std::map<std::string, std::string, std::less<>> headers;
  std::map<std::string, std::string, std::less<>> query;
  std::string body;

  /// Returns the value of a header (name in lower case), or an empty text.
  std::string_view Header(std::string_view name) const;

  /// Returns the value of a query argument, or an empty text.
  std::string_view Query(std::string_view name) const;
};

/// The response to an HTTP request.
struct HttpResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> headers;
};

/// Replaces control characters by spaces, since a line break would end the
/// header.
std::string SanitizeHeaderValue(std::string value);

}  // namespace fulmarrock

#endif  // SOURCE_NET_HTTP_MESSAGE_H_
