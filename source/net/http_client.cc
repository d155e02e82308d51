#include "source/net/http_client.h"

#include <curl/curl.h>
#include <sys/epoll.h>

#include <mutex>

#include "source/net/http_message.h"

namespace fulmarrock {
namespace {

// Idle connections are closed here before a peer would close them.
constexpr long kMaxIdleSeconds = 30;

void InitializeCurl() {
  static std::once_flag once;
  std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

}  // namespace

struct HttpClient::Transfer {
  CURL* handle = nullptr;
  HttpClientRequest request;
  Done done;
  HttpClientResponse response;
  curl_slist* headers = nullptr;
  bool was_sent = false;
  bool is_too_large = false;

  ~Transfer() { curl_slist_free_all(headers); }
};

/// Functions that libcurl calls.
struct HttpClient::Callbacks {
  static int OnSocket(CURL*, curl_socket_t fd, int what, void* user, void*) {
    static_cast<HttpClient*>(user)->OnSocket(fd, what);
    return 0;
  }

  static int OnTimer(CURLM*, long timeout_ms, void* user) {
    static_cast<HttpClient*>(user)->SetTimer(timeout_ms);
    return 0;
  }

  /// Called just before a request is written, also before a retry of it.
  static int BeforeRequest(void* user, char*, char*, int, int) {
    auto* transfer = static_cast<Transfer*>(user);
    if (transfer->was_sent)
      return CURL_PREREQFUNC_ABORT;
    transfer->was_sent = true;
    long new_connections = 1;
    curl_easy_getinfo(transfer->handle, CURLINFO_NUM_CONNECTS,
                      &new_connections);
    transfer->response.used_open_connection = new_connections == 0;
    return CURL_PREREQFUNC_OK;
  }

  static size_t OnBody(char* data, size_t, size_t size, void* user) {
    auto* transfer = static_cast<Transfer*>(user);
    std::string& body = transfer->response.body;
    if (body.size() + size > transfer->request.max_response_bytes) {
      transfer->is_too_large = true;
      return 0;
    }
    body.append(data, size);
    return size;
  }
};

HttpClient::HttpClient(EventLoop& loop, unsigned max_connections)
    : m_loop(loop) {
  InitializeCurl();
  m_multi = curl_multi_init();
  curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &Callbacks::OnSocket);
  curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &Callbacks::OnTimer);
  curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(m_multi, CURLMOPT_MAX_TOTAL_CONNECTIONS,
                    static_cast<long>(max_connections));
  curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS,
                    static_cast<long>(max_connections));
  curl_multi_setopt(m_multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
}

HttpClient::~HttpClient() {
  for (const auto& [handle, transfer] : m_transfers) {
    curl_multi_remove_handle(m_multi, handle);
    curl_easy_cleanup(handle);
  }
  curl_multi_cleanup(m_multi);
  m_loop.CancelTimer(m_timer);
}

void HttpClient::Send(HttpClientRequest request, Done done) {
  CURL* handle = curl_easy_init();
  auto transfer = std::make_unique<Transfer>();
  transfer->handle = handle;
  transfer->request = std::move(request);
  transfer->done = std::move(done);
  const HttpClientRequest& stored_request = transfer->request;
  for (const auto& [name, value] : stored_request.headers) {
    transfer->headers = curl_slist_append(
        transfer->headers, (name + ": " + SanitizeHeaderValue(value)).c_str());
  }
  // Waiting for "100 Continue" would cost a round trip.
  transfer->headers = curl_slist_append(transfer->headers, "Expect:");
  curl_easy_setopt(handle, CURLOPT_URL, stored_request.url.c_str());
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, transfer->headers);
  curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(stored_request.timeout.count()));
  curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN, kMaxIdleSeconds);
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &Callbacks::OnBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, transfer.get());
  curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &Callbacks::BeforeRequest);
  curl_easy_setopt(handle, CURLOPT_PREREQDATA, transfer.get());
  if (stored_request.method != "GET") {
    curl_easy_setopt(handle, CURLOPT_POST, 1L);
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST,
                     stored_request.method.c_str());
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(stored_request.body.size()));
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, stored_request.body.data());
  }
  m_transfers.emplace(handle, std::move(transfer));
  curl_multi_add_handle(m_multi, handle);
}

void HttpClient::OnSocket(int fd, int what) {
  if (what == CURL_POLL_REMOVE) {
    m_loop.Unwatch(fd);
    return;
  }
  uint32_t events = 0;
  if (what == CURL_POLL_IN || what == CURL_POLL_INOUT)
    events |= EPOLLIN;
  if (what == CURL_POLL_OUT || what == CURL_POLL_INOUT)
    events |= EPOLLOUT;
  m_loop.Watch(fd, events, [this, fd](uint32_t ready) {
    int flags = 0;
    if ((ready & EPOLLIN) != 0)
      flags |= CURL_CSELECT_IN;
    if ((ready & EPOLLOUT) != 0)
      flags |= CURL_CSELECT_OUT;
    if ((ready & (EPOLLERR | EPOLLHUP)) != 0)
      flags |= CURL_CSELECT_ERR;
    Perform(fd, flags);
  });
}

void HttpClient::SetTimer(int64_t timeout_ms) {
  m_loop.CancelTimer(m_timer);
  if (timeout_ms < 0)
    return;
  m_timer = m_loop.AddTimer(Millis(timeout_ms),
                            [this] { Perform(CURL_SOCKET_TIMEOUT, 0); });
}

void HttpClient::Perform(int fd, int events) {
  int running = 0;
  curl_multi_socket_action(m_multi, fd, events, &running);
  CompleteTransfers();
}

void HttpClient::CompleteTransfers() {
  // The `done` functions run last, since they may start requests or destroy the
  // client.
  std::vector<std::pair<Done, HttpClientResponse>> finished;
  int left = 0;
  while (const CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
    if (message->msg != CURLMSG_DONE)
      continue;
    CURL* handle = message->easy_handle;
    const CURLcode code = message->data.result;
    auto node = m_transfers.extract(handle);
    Transfer& transfer = *node.mapped();
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    transfer.response.status = static_cast<int>(status);
    finished.emplace_back(std::move(transfer.done), Finish(transfer, code));
    curl_multi_remove_handle(m_multi, handle);
    curl_easy_cleanup(handle);
  }
  for (auto& [done, response] : finished)
    done(std::move(response));
}

HttpClientResponse HttpClient::Finish(Transfer& transfer, int code) {
  HttpClientResponse response = std::move(transfer.response);
  if (code == CURLE_OK) {
    response.kind = HttpClientResponse::Kind::kAnswered;
    return response;
  }
  response.kind = transfer.was_sent ? HttpClientResponse::Kind::kLost
                                    : HttpClientResponse::Kind::kNotSent;
  response.is_timeout = code == CURLE_OPERATION_TIMEDOUT;
  response.status = 0;
  response.body.clear();
  response.error = transfer.is_too_large
                       ? "the response body exceeds the size limit"
                       : curl_easy_strerror(static_cast<CURLcode>(code));
  return response;
}

}  // namespace fulmarrock
