#include "source/tool/http_session.h"

#include <curl/curl.h>

namespace fulmarrock::tool {
namespace {

/// A larger reply fails the request.
constexpr size_t kMaxReplyBytes = size_t{64} << 20;

size_t AppendToBody(char* bytes, size_t size, size_t count, void* user) {
  auto* body = static_cast<std::string*>(user);
  const size_t length = size * count;
  if (body->size() + length > kMaxReplyBytes)
    return 0;
  body->append(bytes, length);
  return length;
}

struct CurlDeleter {
  void operator()(CURL* curl) const { curl_easy_cleanup(curl); }
};

struct HeaderDeleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

}  // namespace

struct HttpSession::Data {
  std::unique_ptr<CURL, CurlDeleter> curl{curl_easy_init()};
  std::unique_ptr<curl_slist, HeaderDeleter> headers{
      curl_slist_append(nullptr, "Content-Type: application/json")};
  long timeout_ms = 0;
};

HttpSession::HttpSession(Millis timeout) : m_data(std::make_unique<Data>()) {
  m_data->timeout_ms = static_cast<long>(timeout.count());
}

HttpSession::~HttpSession() = default;

Result<HttpReply> HttpSession::Send(std::string_view method,
                                    const std::string& url,
                                    std::string_view body) {
  CURL* curl = m_data->curl.get();
  HttpReply reply;
  curl_easy_reset(curl);
  curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, m_data->timeout_ms);
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, m_data->headers.get());
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &AppendToBody);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &reply.body);
  if (method != "GET") {
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, std::string(method).c_str());
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(body.size()));
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body.data());
  }
  const CURLcode code = curl_easy_perform(curl);
  if (code != CURLE_OK) {
    return MakeError(ErrorKind::kUnavailable,
                     url + ": " + curl_easy_strerror(code),
                     "check the address and that the daemon runs");
  }
  curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &reply.status);
  return reply;
}

}  // namespace fulmarrock::tool
