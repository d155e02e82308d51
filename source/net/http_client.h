#ifndef SOURCE_NET_HTTP_CLIENT_H_
#define SOURCE_NET_HTTP_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "source/base/counters.h"
#include "source/net/event_loop.h"

namespace fulmarrock {

/// A request to another program.
struct HttpClientRequest {
  std::string method = "GET";
  std::string url;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /// Time for the whole exchange.
  Millis timeout{5'000};
  size_t max_response_bytes = size_t{3} << 20;
};

/// How an exchange ended.
struct HttpClientResponse {
  enum class Kind {
    kAnswered,  ///< The complete response arrived.
    kNotSent,   ///< No byte of the request was sent.
    kLost,  ///< It may have been processed, but no complete response arrived.
  };
  Kind kind = Kind::kLost;
  /// Whether it failed because the time was up.
  bool is_timeout = false;
  /// Whether the request was sent over a connection that had carried a complete
  /// response before.
  bool used_open_connection = false;
  int status = 0;
  std::string body;
  /// Describes the failure, unless `kind` is kAnswered.
  std::string error;
};

/// HTTP/1.1 client driven by an event loop. A request is written at most once:
/// libcurl's own retry after a reused connection broke is suppressed, since the
/// first attempt may have been processed.
class HttpClient {
 public:
  using Done = std::function<void(HttpClientResponse)>;

  HttpClient(EventLoop& loop, unsigned max_connections);

  /// Aborts open exchanges without calling their `done` functions.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Starts an exchange; `done` is called once, later, on the loop's thread.
  void Send(HttpClientRequest request, Done done);

  size_t open_requests() const { return m_transfers.size(); }

 private:
  struct Transfer;
  struct Callbacks;

  void OnSocket(int fd, int what);
  void SetTimer(int64_t timeout_ms);
  void Perform(int fd, int events);
  void CompleteTransfers();
  static HttpClientResponse Finish(Transfer& transfer, int code);

  EventLoop& m_loop;
  // CURLM and CURL handles; libcurl's header declares both as void.
  void* m_multi = nullptr;
  std::map<void*, std::unique_ptr<Transfer>> m_transfers;
  EventLoop::TimerId m_timer = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_NET_HTTP_CLIENT_H_
