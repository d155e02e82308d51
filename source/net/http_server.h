#ifndef SOURCE_NET_HTTP_SERVER_H_
#define SOURCE_NET_HTTP_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "source/base/counters.h"
#include "source/base/decision_log.h"
#include "source/base/error.h"
#include "source/net/connection_table.h"
#include "source/net/event_loop.h"
#include "source/net/http_message.h"
#include "source/net/memory_budget.h"
#include "source/net/unique_fd.h"

struct MHD_Daemon;

namespace fulmarrock {

/// Limits and address of an HTTP server.
struct HttpServerOptions {
  /// "ip:port"; port 0 lets the system choose.
  std::string address;
  /// Requests with larger bodies get the response 413.
  size_t max_body_bytes = size_t{3} << 20;
  /// When there are more, the one that has waited longest for a complete
  /// request is closed.
  unsigned max_connections = 4096;
  Millis idle_timeout{120'000};
  /// Memory for requests, shared with other servers; if null, the server has a
  /// budget of its own. Outlives the server.
  MemoryBudget* budget = nullptr;
  /// Log of requests that fail unexpectedly. If set, it outlives the server.
  DecisionLog* decisions = nullptr;
};

/// HTTP/1.1 server driven by an event loop; all its functions and handlers run
/// on the loop's thread.
class HttpServer {
 public:
  class Call;

  /// Sends the response to one request, now or later, from any thread. Copies
  /// share the request; only the first response counts. Must not outlive the
  /// loop.
  class Responder {
   public:
    Responder(EventLoop& loop, std::weak_ptr<Call> call)
        : m_loop(&loop), m_call(std::move(call)) {}
    void Respond(HttpResponse response) const;

    /// Whether the client has closed its side of the connection. Only on the
    /// loop's thread.
    bool HasClientClosed() const;

    /// Logs that the handling of the request failed unexpectedly, and responds
    /// with status 500, which leaves open whether the request took effect.
    void Fail(std::string reason) const;

   private:
    EventLoop* m_loop;
    std::weak_ptr<Call> m_call;
  };

  using Handler = std::function<void(HttpRequest request, Responder responder)>;

  HttpServer(EventLoop& loop, HttpServerOptions options);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Sets the handler of a method and all paths that start with the prefix. The
  /// longest prefix wins.
  void Route(std::string method, std::string path_prefix, Handler handler);

  Result<void> Start();

  /// Makes every further response the last one of its connection.
  void CloseAfterResponses() { m_closes_after_responses = true; }

  /// Accepts no more connections; open ones keep working.
  void StopAccepting();

  /// Closes all connections. Requests without a response get 504 if their
  /// handler was called, since it may have had an effect, and 503 if not.
  void Stop();

  /// Address in use, as "ip:port".
  const std::string& address() const { return m_address; }

  /// Number of requests that are not completed yet.
  size_t open_calls() const { return m_calls.size(); }
  size_t open_connections() const { return m_connections.size(); }

  Counters& counters() { return m_counters; }

 private:
  struct Callbacks;
  struct RouteEntry {
    std::string method;
    std::string prefix;
    Handler handler;
  };

  /// Closes waiting connections beyond the limit.
  void CloseExcessConnections();
  void OnHandlerFailure(const Call& call, const std::string& reason);
  void Dispatch(const std::shared_ptr<Call>& call);
  void ScheduleRun();
  void RunDaemon();

  EventLoop& m_loop;
  const HttpServerOptions m_options;
  std::vector<RouteEntry> m_routes;
  MHD_Daemon* m_daemon = nullptr;
  int m_epoll_fd = -1;
  UniqueFd m_listener;
  std::string m_address;
  MemoryBudget m_own_budget{MemoryBudgetOptions()};
  MemoryBudget& m_budget;
  ConnectionTable m_connections;
  std::unordered_set<std::shared_ptr<Call>> m_calls;
  Counters m_counters;
  bool m_is_run_scheduled = false;
  bool m_closes_after_responses = false;
  bool m_is_stopping = false;
  EventLoop::TimerId m_timer = 0;
  std::shared_ptr<int> m_lifetime_token = std::make_shared<int>(0);
};

}  // namespace fulmarrock

#endif  // SOURCE_NET_HTTP_SERVER_H_
