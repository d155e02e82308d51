#ifndef SOURCE_TOOL_HTTP_SESSION_H_
#define SOURCE_TOOL_HTTP_SESSION_H_

#include <memory>
#include <string>
#include <string_view>

#include "source/base/error.h"
#include "source/base/millis.h"

namespace fulmarrock::tool {

/// Reply to an HTTP request.
struct HttpReply {
  long status = 0;
  std::string body;
};

/// Blocking HTTP client of the tool.
class HttpSession {
 public:
  explicit HttpSession(Millis timeout);
  ~HttpSession();
  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;

  /// Sends one request. Fails with kUnavailable if there is no reply.
  Result<HttpReply> Send(std::string_view method,
                         const std::string& url,
                         std::string_view body);

 private:
  struct Data;
  std::unique_ptr<Data> m_data;
};

}  // namespace fulmarrock::tool

#endif  // SOURCE_TOOL_HTTP_SESSION_H_
