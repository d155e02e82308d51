#include "source/net/http_server.h"

#include <stdexcept>

#include <catch2/catch.hpp>

#include "source/net/request_guard.h"
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
