#include "source/net/http_client.h"

#include <memory>
#include <optional>
#include <string>

#include <catch2/catch.hpp>

#include "source/net/http_server.h"
#include "tests/net/net_fixture.h"

namespace fulmarrock::test {
namespace {

/// A server whose responses have a given body.
class NamedServer {
 public:
  NamedServer(const std::string& name, const std::string& address) {
    m_thread.RunAndWait([&] {
      HttpServerOptions options;
      options.address = address;
      m_server.emplace(m_thread.loop(), options);
      m_server->Route(
          "GET", "/",
          [name](const HttpRequest&, const HttpServer::Responder& responder) {
            HttpResponse response;
            response.body = name;
            responder.Respond(std::move(response));
          });
      REQUIRE(m_server->Start());
    });
  }
  ~NamedServer() {
    m_thread.RunAndWait([this] { m_server.reset(); });
  }
  std::string address() const { return m_server->address(); }

 private:
  LoopThread m_thread;
  std::optional<HttpServer> m_server;
};

/// A client on a loop of its own that keeps its connections.
class Client {
 public:
  Client() {
    m_thread.RunAndWait([this] { m_client.emplace(m_thread.loop(), 4); });
  }
  ~Client() {
    m_thread.RunAndWait([this] { m_client.reset(); });
  }

  HttpClientResponse Get(const std::string& address) {
    HttpClientRequest request;
    request.url = "http://" + address + "/";
    m_thread.RunAndWait([&] {
      m_client->Send(std::move(request), [this](HttpClientResponse response) {
        m_received.Put(std::move(response));
      });
    });
    return m_received.Take().value_or(HttpClientResponse());
  }

 private:
  LoopThread m_thread;
  Mailbox<HttpClientResponse> m_received;
  std::optional<HttpClient> m_client;
};

}  // namespace

// Guards against a request over a new connection whose recipient is taken for
// the process that responded before.
TEST_CASE("A client tells whether a connection has carried a response before") {
  NamedServer server("first", "127.0.0.1:0");
  Client client;
  const HttpClientResponse first = client.Get(server.address());
  CHECK(first.kind == HttpClientResponse::Kind::kAnswered);
  CHECK_FALSE(first.used_open_connection);
  const HttpClientResponse second = client.Get(server.address());
  CHECK(second.kind == HttpClientResponse::Kind::kAnswered);
  CHECK(second.used_open_connection);
}

// Guards against the same after the server was replaced at its address.
TEST_CASE("A request that another server answers used a new connection") {
  auto server = std::make_unique<NamedServer>("first", "127.0.0.1:0");
  const std::string address = server->address();
  Client client;
  REQUIRE(client.Get(address).body == "first");
  server.reset();
  server = std::make_unique<NamedServer>("second", address);
  // The first request may be lost with the earlier server's connection.
  HttpClientResponse response = client.Get(address);
  if (response.kind != HttpClientResponse::Kind::kAnswered) {
    CHECK(response.used_open_connection);
    response = client.Get(address);
  }
  CHECK(response.body == "second");
  CHECK_FALSE(response.used_open_connection);
}

// Guards against a request that is taken for sent although nothing listens.
TEST_CASE("A request to a closed port was not sent") {
  auto server = std::make_unique<NamedServer>("first", "127.0.0.1:0");
  const std::string address = server->address();
  server.reset();
  Client client;
  CHECK(client.Get(address).kind == HttpClientResponse::Kind::kNotSent);
}

}  // namespace fulmarrock::test
