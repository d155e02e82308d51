#include "source/net/http_server.h"

#include <poll.h>
#include <sys/socket.h>

#include <stdexcept>

#include <catch2/catch.hpp>

#include "source/net/request_guard.h"
#include "source/net/socket_address.h"
#include "tests/net/net_fixture.h"

namespace fulmarrock::test {
namespace {

/// Passes the names of the decisions to the test's thread.
class MailboxDecisionLog : public DecisionLog {
 public:
  void Write(const DecisionLine& line) override {
    decisions.Put(std::string(line.decision()));
  }

  Mailbox<std::string> decisions;
};

/// A server that responds to each POST with the size of its body.
class CountingServer {
 public:
  explicit CountingServer(MemoryBudget& budget,
                          unsigned max_connections = 4096) {
    m_thread.RunAndWait([&] {
      HttpServerOptions options;
      options.address = "127.0.0.1:0";
      options.budget = &budget;
      options.max_connections = max_connections;
      m_server.emplace(m_thread.loop(), options);
      m_server->Route("POST", "/",
                      [](const HttpRequest& request,
                         const HttpServer::Responder& responder) {
                        HttpResponse response;
                        response.body = std::to_string(request.body.size());
                        responder.Respond(std::move(response));
                      });
      REQUIRE(m_server->Start());
    });
  }
  ~CountingServer() {
    m_thread.RunAndWait([this] { m_server.reset(); });
  }

  HttpClientResponse Post(size_t size) {
    HttpClientRequest request;
    request.method = "POST";
    request.url = "http://" + m_server->address() + "/";
    request.body = std::string(size, 'x');
    return Fetch(request);
  }

  /// Opens a connection and sends a part of a request.
  UniqueFd Send(std::string_view text) {
    Result<UniqueFd> fd = ConnectTcp(m_server->address());
    REQUIRE(fd);
    pollfd connected{fd->get(), POLLOUT, 0};
    REQUIRE(poll(&connected, 1, 60'000) == 1);
    REQUIRE(::send(fd->get(), text.data(), text.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(text.size()));
    return std::move(*fd);
  }

  LoopThread& thread() { return m_thread; }
  HttpServer& server() { return *m_server; }

 private:
  LoopThread m_thread;
  std::optional<HttpServer> m_server;
};

constexpr MemoryBudgetOptions kSmallBudget = {.limit = 100'000,
                                              .free_bytes = 1'000,
                                              .min_age = Millis(0)};

/// A server with one route that throws, one that throws on another loop, and
/// one that works.
class ThrowingServer {
 public:
  ThrowingServer() {
    m_thread.RunAndWait([this] {
      HttpServerOptions options;
      options.address = "127.0.0.1:0";
      options.decisions = &log;
      m_server.emplace(m_thread.loop(), options);
      m_server->Route("GET", "/throws",
                      [](const HttpRequest&, const HttpServer::Responder&) {
                        throw std::out_of_range("unexpected");
                      });
      m_server->Route(
          "GET", "/posts",
          [this](const HttpRequest&, const HttpServer::Responder& responder) {
            m_other_thread.loop().Post([responder] {
              GuardRequest(responder,
                           [] { throw std::out_of_range("unexpected"); });
            });
          });
      m_server->Route(
          "GET", "/works",
          [](const HttpRequest&, const HttpServer::Responder& responder) {
            responder.Respond(HttpResponse());
          });
      REQUIRE(m_server->Start());
    });
  }
  ~ThrowingServer() {
    m_thread.RunAndWait([this] { m_server.reset(); });
  }

  int Get(const std::string& path) {
    HttpClientRequest request;
    request.url = "http://" + m_server->address() + path;
    return Fetch(request).status;
  }

  MailboxDecisionLog log;

 private:
  LoopThread m_thread;
  LoopThread m_other_thread;
  std::optional<HttpServer> m_server;
};

}  // namespace

// Guards against requests that stop at any byte and leave memory or a
// connection behind.
TEST_CASE("a request may be cut at every byte") {
  MemoryBudget budget(kSmallBudget);
  CountingServer server(budget);
  for (const std::string& request :
       {std::string("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 20\r\n\r\n"
                    "01234567890123456789"),
        std::string("POST / HTTP/1.1\r\nHost: a\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n"
                    "5\r\n01234\r\n3\r\n567\r\n0\r\n\r\n")}) {
    for (size_t size = 0; size < request.size(); ++size)
      server.Send(std::string_view(request).substr(0, size));
  }
  CHECK(server.Post(5'000).body == "5000");
  CHECK(WaitFor(server.thread(), [&] {
    budget.AbortClosed(server.thread().loop().clock().Now());
    return budget.used() == 0 && budget.reception_count() == 0;
  }));
}

// Guards against unfinished bodies that keep a complete one from being
// received.
TEST_CASE("a body is received while unfinished ones use up the memory") {
  MemoryBudget budget(kSmallBudget);
  CountingServer server(budget);
  const std::string unfinished =
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 50001\r\n\r\n" +
      std::string(50'000, 'x');
  std::vector<UniqueFd> connections;
  for (int i = 0; i < 10; ++i)
    connections.push_back(server.Send(unfinished));
  CHECK(server.Post(500).body == "500");
  CHECK(server.Post(40'000).body == "40000");
  server.thread().RunAndWait([&] {
    CHECK(budget.used() <= kSmallBudget.limit);
    CHECK(budget.counters().Get("requests_aborted_for_memory") > 0);
  });
}

// Guards against a large body that is read although there is no memory for it:
// its sender learns at once that the request was not handled.
TEST_CASE("a body that cannot fit is refused before it is read") {
  MemoryBudget budget(kSmallBudget);
  CountingServer server(budget);
  const HttpClientResponse response = server.Post(200'000);
  CHECK(response.status == 503);
}

// Guards against idle connections that keep ordinary clients out.
TEST_CASE("the longest waiting connection gives way to a new one") {
  MemoryBudget budget(kSmallBudget);
  CountingServer server(budget, 8);
  std::vector<UniqueFd> connections;
  for (int i = 0; i < 30; ++i)
    connections.push_back(server.Send("POST / HTTP/1.1\r\n"));
  CHECK(server.Post(10).body == "10");
  CHECK(WaitFor(server.thread(),
                [&] { return server.server().open_connections() <= 8; }));
}

// Guards against a process that ends because the handling of one request threw
// an exception that nobody expected.
TEST_CASE("an exception fails only the request that caused it") {
  ThrowingServer server;
  for (const char* path : {"/throws", "/posts"}) {
    INFO(path);
    CHECK(server.Get(path) == 500);
    CHECK(server.log.decisions.Take() == "request_failed");
  }
  CHECK(server.Get("/works") == 200);
}

// Guards against a client that is told that its request was refused although
// the handler has passed it on: the server stopped before the response.
TEST_CASE("a request whose handler was called is not refused by a stop") {
  LoopThread thread;
  std::optional<HttpServer> server;
  Mailbox<HttpServer::Responder> handled;
  thread.RunAndWait([&] {
    HttpServerOptions options;
    options.address = "127.0.0.1:0";
    server.emplace(thread.loop(), options);
    server->Route(
        "POST", "/",
        [&](const HttpRequest&, const HttpServer::Responder& responder) {
          handled.Put(responder);
        });
    REQUIRE(server->Start());
  });
  HttpClientRequest request;
  request.method = "POST";
  request.url = "http://" + server->address() + "/";
  LoopThread client_thread;
  Mailbox<HttpClientResponse> received;
  std::optional<HttpClient> client;
  client_thread.RunAndWait([&] {
    client.emplace(client_thread.loop(), 4);
    client->Send(request, [&](HttpClientResponse response) {
      received.Put(std::move(response));
    });
  });
  REQUIRE(handled.Take());
  thread.RunAndWait([&] { server.reset(); });
  const std::optional<HttpClientResponse> response = received.Take();
  client_thread.RunAndWait([&] { client.reset(); });
  REQUIRE(response);
  const bool is_refused =
      response->kind == HttpClientResponse::Kind::kAnswered &&
      response->status != 504;
  CHECK_FALSE(is_refused);
}

// Guards against a process that is aborted because requests arrive on open
// connections while its server stops.
TEST_CASE("a server stops while requests keep arriving") {
  for (int round = 0; round < 20; ++round) {
    LoopThread thread;
    std::optional<HttpServer> server;
    Mailbox<bool> handled;
    thread.RunAndWait([&] {
      HttpServerOptions options;
      options.address = "127.0.0.1:0";
      server.emplace(thread.loop(), options);
      // The handler never responds.
      server->Route("GET", "/",
                    [&](const HttpRequest&, const HttpServer::Responder&) {
                      handled.Put(true);
                    });
      REQUIRE(server->Start());
    });
    HttpClientRequest request;
    request.url = "http://" + server->address() + "/";
    LoopThread client_thread;
    Mailbox<HttpClientResponse> received;
    std::optional<HttpClient> client;
    constexpr int kRequests = 60;
    client_thread.RunAndWait([&] {
      client.emplace(client_thread.loop(), 16);
      for (int i = 0; i < kRequests; ++i) {
        client->Send(request, [&](HttpClientResponse response) {
          received.Put(std::move(response));
        });
      }
    });
    REQUIRE(handled.Take());
    thread.RunAndWait([&] { server.reset(); });
    for (int i = 0; i < kRequests; ++i)
      REQUIRE(received.Take());
    client_thread.RunAndWait([&] { client.reset(); });
  }
}

}  // namespace fulmarrock::test
