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

}  // namespace fulmarrock::test
