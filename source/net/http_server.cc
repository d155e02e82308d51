#include "source/net/http_server.h"

#include <microhttpd.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <cstdint>
#include <cstring>
#include <optional>
#include <utility>

#include "source/net/json_response.h"
#include "source/net/request_guard.h"
#include "source/net/socket_address.h"

namespace fulmarrock {
namespace {

// Headers of one request; the body has its own limit.
constexpr size_t kConnectionMemory = 32 * 1024;

// Connections beyond the limit that the library still accepts. It closes a
// waiting one in the next round only, and with two of them it refused new ones.
constexpr unsigned kMinExcessConnections = 16;
constexpr unsigned kMaxExcessConnections = 64;

// When a client that was refused for lack of memory may return.
constexpr const char* kRetryAfterSeconds = "1";

std::string ToLower(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return lower;
}

MHD_Result CollectHeader(void* target,
                         MHD_ValueKind,
                         const char* key,
                         const char* value) {
  auto& headers =
      *static_cast<std::map<std::string, std::string, std::less<>>*>(target);
  headers[ToLower(key)] = value ? value : "";
  return MHD_YES;
}

MHD_Result CollectArgument(void* target,
                           MHD_ValueKind,
                           const char* key,
                           const char* value) {
  auto& query =
      *static_cast<std::map<std::string, std::string, std::less<>>*>(target);
  query[key] = value ? value : "";
  return MHD_YES;
}

ConnectionNumber NumberOf(MHD_Connection* connection) {
  const auto* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  return reinterpret_cast<uintptr_t>(info->socket_context);
}

}  // namespace

/// One request, from its first line to the end of its response.
class HttpServer::Call : public MemoryBudget::Holder {
 public:
  explicit Call(HttpServer& owner)
      : server(&owner), charge(owner.m_budget, *this) {}

  HttpServer* server = nullptr;
  MemoryBudget::Charge charge;
  MHD_Connection* connection = nullptr;
  HttpRequest request;
  /// Path prefix of the route that handles the request.
  std::string route;
  HttpResponse response;
  bool is_dispatched = false;
  bool is_answered = false;
  bool is_suspended = false;
  /// Whether the library has the response.
  bool is_queued = false;
  /// Whether the connection closes without a response.
  bool is_aborted = false;

  void AbortReception() override {
    is_aborted = true;
    request.body = std::string();
    // The library then reads the end of the connection and closes it.
    const auto* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    ::shutdown(info->connect_fd, SHUT_RDWR);
  }

  /// The library notices this only when the connection times out. A client may
  /// close its side and still read the response.
  bool HasClientClosed() const override {
    if (is_queued)
      return false;
    const auto* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    pollfd socket{info->connect_fd, POLLRDHUP, 0};
    return ::poll(&socket, 1, 0) == 1;
  }

  ConnectionNumber connection_number() const { return NumberOf(connection); }

  /// Passes the response to the library. Its bytes are charged until the client
  /// has read them; without memory for them the connection closes.
  MHD_Result Queue() {
    is_queued = true;
    charge.Release();
    if (!charge.Add(response.body.size(), server->m_loop.clock().Now()))
      return MHD_NO;
    MHD_Response* reply = MHD_create_response_from_buffer(
        response.body.size(), response.body.data(), MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(reply, MHD_HTTP_HEADER_CONTENT_TYPE,
                            response.content_type.c_str());
    for (const auto& [name, value] : response.headers) {
      MHD_add_response_header(reply, name.c_str(),
                              SanitizeHeaderValue(value).c_str());
    }
    if (server->m_closes_after_responses) {
      MHD_add_response_header(reply, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    const MHD_Result result = MHD_queue_response(
        connection, static_cast<unsigned>(response.status), reply);
    MHD_destroy_response(reply);
    response.body = std::string();
    return result;
  }
};

/// Functions that libmicrohttpd calls with the server as user data.
struct HttpServer::Callbacks {
  static MHD_Result OnAccess(void* user,
                             MHD_Connection* connection,
                             const char* url,
                             const char* method,
                             const char*,
                             const char* data,
                             size_t* data_size,
                             void** state) {
    auto& server = *static_cast<HttpServer*>(user);
    Call& call = *static_cast<Call*>(*state);
    if (!call.connection)
      return Begin(server, connection, url, method, call);
    if (*data_size > 0) {
      AddBody(server, call, {data, *data_size});
      *data_size = 0;
      return call.is_aborted ? MHD_NO : MHD_YES;
    }
    if (call.is_aborted ||
        server.m_connections.IsClosing(call.connection_number())) {
      return MHD_NO;
    }
    if (call.is_answered)
      return call.Queue();
    if (!call.is_dispatched && server.m_is_stopping) {
      call.is_answered = true;
      call.response = MakeStoppedResponse(call);
    } else if (!call.is_dispatched) {
      call.is_dispatched = true;
      call.charge.OnComplete();
      server.m_connections.SetBusy(call.connection_number());
      server.Dispatch(*Find(server, &call));
    }
    if (call.is_answered)
      return call.Queue();
    call.is_suspended = true;
    MHD_suspend_connection(connection);
    return MHD_YES;
  }

  static void OnCompleted(void* user,
                          MHD_Connection*,
                          void** state,
                          MHD_RequestTerminationCode code) {
    auto& server = *static_cast<HttpServer*>(user);
    if (!*state)
      return;
    if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK)
      server.m_counters.Add("http_aborted_requests");
    const auto it = Find(server, static_cast<Call*>(*state));
    if (it != server.m_calls.end()) {
      if ((*it)->connection) {
        server.m_connections.SetWaiting((*it)->connection_number(),
                                        server.m_loop.clock().Now());
      }
      server.m_calls.erase(it);
    }
    *state = nullptr;
  }

  /// Called when a connection begins and when it ends.
  static void OnConnection(void* user,
                           MHD_Connection* connection,
                           void** state,
                           MHD_ConnectionNotificationCode code) {
    auto& server = *static_cast<HttpServer*>(user);
    if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
      server.m_connections.Remove(reinterpret_cast<uintptr_t>(*state));
      return;
    }
    const auto* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    const ConnectionNumber number =
        server.m_connections.Add(info->connect_fd, server.m_loop.clock().Now());
    *state = reinterpret_cast<void*>(static_cast<uintptr_t>(number));
    server.CloseExcessConnections();
  }

  static std::unordered_set<std::shared_ptr<Call>>::iterator Find(
      HttpServer& server,
      Call* call) {
    // A non-owning shared_ptr compares and hashes like the owning one.
    return server.m_calls.find(
        std::shared_ptr<Call>(std::shared_ptr<Call>(), call));
  }

  /// Called for the first line of a request; returns its state.
  static void* OnTarget(void* user,
                        const char* target,
                        MHD_Connection* connection) {
    auto& server = *static_cast<HttpServer*>(user);
    server.m_connections.SetWaiting(NumberOf(connection),
                                    server.m_loop.clock().Now());
    server.m_counters.Add("http_requests");
    auto call = std::make_shared<Call>(server);
    call->request.target = target;
    server.m_calls.insert(call);
    return call.get();
  }

  static MHD_Result Begin(HttpServer& server,
                          MHD_Connection* connection,
                          const char* url,
                          const char* method,
                          Call& call) {
    call.connection = connection;
    call.request.method = method;
    call.request.path = url;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &CollectHeader,
                              &call.request.headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND,
                              &CollectArgument, &call.request.query);
    const std::string length(call.request.Header("content-length"));
    const uint64_t announced = std::strtoull(length.c_str(), nullptr, 10);
    const bool is_oversized = announced > server.m_options.max_body_bytes;
    if (!is_oversized &&
        server.m_budget.CanFit(announced, server.m_loop.clock().Now())) {
      return MHD_YES;
    }
    // Responds before the body is read; the connection closes afterwards.
    if (is_oversized)
      RefuseBody(server, call);
    else
      RefuseForMemory(call);
    return call.Queue();
  }

  static void AddBody(HttpServer& server, Call& call, std::string_view data) {
    if (call.is_answered || call.is_aborted)
      return;
    std::string& body = call.request.body;
    const size_t size = body.size() + data.size();
    if (size > server.m_options.max_body_bytes) {
      // The rest of the body is discarded; it still has to end in time.
      body = std::string();
      call.charge.Release();
      call.charge.Add(1, server.m_loop.clock().Now());
      RefuseBody(server, call);
      return;
    }
    if (size > body.capacity() && !Grow(server, call, size)) {
      call.AbortReception();
      call.charge.Release();
      return;
    }
    body.append(data);
  }

  /// Makes room for a body of this size, within the memory budget.
  static bool Grow(HttpServer& server, Call& call, size_t size) {
    std::string& body = call.request.body;
    const size_t capacity = NextBodyCapacity(body, size);
    if (!call.charge.Add(capacity - call.charge.bytes(),
                         server.m_loop.clock().Now())) {
      return false;
    }
    body.reserve(capacity);
    return true;
  }

  /// Returns the response to a request that the process does not finish. The
  /// handler of a request that was dispatched may have had an effect.
  static HttpResponse MakeStoppedResponse(const Call& call) {
    if (call.is_dispatched) {
      return MakeErrorResponse(
          504, {ErrorKind::kUnavailable,
                "the process stopped before the result was known",
                "send the same request to another process"});
    }
    return MakeErrorResponse(
        503, {ErrorKind::kUnavailable,
              "the process stopped before it handled the request",
              "send the request to another process"});
  }

  static void RefuseForMemory(Call& call) {
    call.is_answered = true;
    call.response = MakeErrorResponse(
        503, {ErrorKind::kResourceExhausted,
              "the process has no memory for another large request",
              "send the request again later, or to another process"});
    call.response.headers.emplace_back("Retry-After", kRetryAfterSeconds);
  }

  static void RefuseBody(HttpServer& server, Call& call) {
    server.m_counters.Add("http_oversized_bodies");
    call.is_answered = true;
    call.response = MakeErrorResponse(
        413, {ErrorKind::kResourceExhausted,
              "the body exceeds the limit of " +
                  std::to_string(server.m_options.max_body_bytes) + " bytes",
              "send a smaller body"});
  }
};

void HttpServer::Responder::Respond(HttpResponse response) const {
  if (!m_loop->IsOnLoopThread()) {
    m_loop->Post([self = *this, response = std::move(response)]() mutable {
      self.Respond(std::move(response));
    });
    return;
  }
  const std::shared_ptr<Call> call = m_call.lock();
  if (!call || call->is_answered)
    return;
  call->is_answered = true;
  call->response = std::move(response);
  if (!call->is_suspended)
    return;
  call->is_suspended = false;
  MHD_resume_connection(call->connection);
  call->server->ScheduleRun();
}

bool HttpServer::Responder::HasClientClosed() const {
  const std::shared_ptr<Call> call = m_call.lock();
  return !call || call->HasClientClosed();
}

void HttpServer::Responder::Fail(std::string reason) const {
  if (!m_loop->IsOnLoopThread()) {
    m_loop->Post(
        [self = *this, reason = std::move(reason)] { self.Fail(reason); });
    return;
  }
  const std::shared_ptr<Call> call = m_call.lock();
  if (!call)
    return;
  call->server->OnHandlerFailure(*call, reason);
  Respond(MakeErrorResponse(
      500, {ErrorKind::kIo, "the request could not be processed",
            "check its body; the log of the process has the reason"}));
}

void HttpServer::OnHandlerFailure(const Call& call, const std::string& reason) {
  m_counters.Add("http_handler_failures");
  if (!m_options.decisions)
    return;
  m_options.decisions->Write(DecisionLine("request_failed")
                                 .With("route", call.route)
                                 .With("reason", reason));
}

HttpServer::HttpServer(EventLoop& loop, HttpServerOptions options)
    : m_loop(loop),
      m_options(std::move(options)),
      m_budget(m_options.budget ? *m_options.budget : m_own_budget) {}

HttpServer::~HttpServer() {
  Stop();
}

void HttpServer::Route(std::string method,
                       std::string path_prefix,
                       Handler handler) {
  m_routes.push_back(
      {std::move(method), std::move(path_prefix), std::move(handler)});
  std::stable_sort(m_routes.begin(), m_routes.end(),
                   [](const RouteEntry& left, const RouteEntry& right) {
                     return left.prefix.size() > right.prefix.size();
                   });
}

Result<void> HttpServer::Start() {
  Result<UniqueFd> fd = ListenTcp(m_options.address);
  if (!fd)
    return tl::make_unexpected(fd.error());
  m_listener = std::move(*fd);
  m_address = LocalAddress(m_listener.get());
  m_daemon = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr, nullptr,
      &Callbacks::OnAccess, this, MHD_OPTION_LISTEN_SOCKET, m_listener.get(),
      MHD_OPTION_NOTIFY_COMPLETED, &Callbacks::OnCompleted, this,
      MHD_OPTION_URI_LOG_CALLBACK, &Callbacks::OnTarget, this,
      MHD_OPTION_NOTIFY_CONNECTION, &Callbacks::OnConnection, this,
      MHD_OPTION_CONNECTION_LIMIT,
      m_options.max_connections + std::clamp(m_options.max_connections / 8,
                                             kMinExcessConnections,
                                             kMaxExcessConnections),
      MHD_OPTION_CONNECTION_TIMEOUT,
      static_cast<unsigned>(m_options.idle_timeout.count() / 1'000),
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, kConnectionMemory, MHD_OPTION_END);
  if (!m_daemon) {
    m_listener.Reset();
    return MakeError(ErrorKind::kIo, "cannot start the HTTP server",
                     "raise the limit of open files");
  }
  m_epoll_fd =
      MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
  m_loop.Watch(m_epoll_fd, EPOLLIN, [this](uint32_t) { RunDaemon(); });
  return {};
}

void HttpServer::StopAccepting() {
  if (m_daemon && m_listener.is_open()) {
    MHD_quiesce_daemon(m_daemon);
    m_listener.Reset();
  }
}

void HttpServer::Stop() {
  if (!m_daemon)
    return;
  m_is_stopping = true;
  StopAccepting();
  // Suspended connections have to be resumed before the daemon stops.
  const std::vector<std::shared_ptr<Call>> calls(m_calls.begin(),
                                                 m_calls.end());
  for (const std::shared_ptr<Call>& call : calls) {
    Responder(m_loop, call).Respond(Callbacks::MakeStoppedResponse(*call));
  }
  MHD_run(m_daemon);
  m_loop.CancelTimer(m_timer);
  m_loop.Unwatch(m_epoll_fd);
  MHD_stop_daemon(m_daemon);
  m_daemon = nullptr;
  m_calls.clear();
}

void HttpServer::CloseExcessConnections() {
  if (m_connections.size() <= m_options.max_connections)
    return;
  if (const std::optional<int> fd = m_connections.TakeLongestWaiting()) {
    m_counters.Add("http_excess_connections");
    ::shutdown(*fd, SHUT_RDWR);
  }
}

void HttpServer::Dispatch(const std::shared_ptr<Call>& call) {
  bool is_path_known = false;
  for (const RouteEntry& route : m_routes) {
    if (!call->request.path.starts_with(route.prefix))
      continue;
    is_path_known = true;
    if (route.method != call->request.method)
      continue;
    const Responder responder(m_loop, call);
    call->route = route.prefix;
    GuardRequest(responder,
                 [&] { route.handler(std::move(call->request), responder); });
    return;
  }
  m_counters.Add("http_unknown_paths");
  Responder(m_loop, call)
      .Respond(MakeErrorResponse(
          is_path_known ? 405 : 404,
          {ErrorKind::kNotFound, "no such path or method",
           "see the interface pages for the paths of each role"}));
}

void HttpServer::ScheduleRun() {
  if (m_is_run_scheduled)
    return;
  m_is_run_scheduled = true;
  m_loop.Post([this, lifetime = std::weak_ptr<int>(m_lifetime_token)] {
    if (lifetime.expired())
      return;
    m_is_run_scheduled = false;
    RunDaemon();
  });
}

void HttpServer::RunDaemon() {
  if (!m_daemon)
    return;
  MHD_run(m_daemon);
  m_loop.CancelTimer(m_timer);
  MHD_UNSIGNED_LONG_LONG timeout = 0;
  if (MHD_get_timeout(m_daemon, &timeout) != MHD_YES)
    return;
  if (timeout == 0) {
    ScheduleRun();
    return;
  }
  m_timer = m_loop.AddTimer(Millis(static_cast<int64_t>(timeout)),
                            [this] { RunDaemon(); });
}

}  // namespace fulmarrock
