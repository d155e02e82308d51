#include "source/net/http_target_client.h"

#include <poll.h>
#include <sys/socket.h>

#include <atomic>
#include <set>
#include <thread>

#include <catch2/catch.hpp>

#include "source/net/socket_address.h"
#include "source/standin/standin_target.h"
#include "tests/net/net_fixture.h"

namespace fulmarrock::test {
namespace {

using Kind = TargetResponse::Kind;

/// A target client on a loop of its own.
class Client {
 public:
  explicit Client(const std::string& address) {
    m_thread.RunAndWait([&] {
      HttpTargetOptions options;
      options.address = address;
      m_client.emplace(m_thread.loop(), options);
    });
  }
  ~Client() {
    m_thread.RunAndWait([this] { m_client.reset(); });
  }

  void Submit(const std::string& body) {
    m_thread.RunAndWait([&] {
      TargetRequest request;
      request.id = {1, ++m_sequence};
      request.customer = "north\r\nInjected: yes";
      request.path = "/work";
      request.body = body;
      request.remaining = Millis::FromSeconds(60);
      m_client->Submit(request, [this](TargetResponse response) {
        responses.Put(std::move(response));
      });
    });
  }
  TargetResponse Run(const std::string& body) {
    Submit(body);
    return responses.Take().value_or(TargetResponse{});
  }
  bool WaitUntilHealthy() {
    return WaitFor(m_thread, [this] { return m_client->IsHealthy(); });
  }

  Mailbox<TargetResponse> responses;

 private:
  LoopThread m_thread;
  uint64_t m_sequence = 0;
  std::optional<HttpTargetClient> m_client;
};

/// A server that runs a function for each connection, to violate the protocol
/// at a chosen point.
class RawTarget {
 public:
  using Script = std::function<void(int fd)>;

  explicit RawTarget(Script script)
      : m_listener(std::move(*ListenTcp("127.0.0.1:0"))),
        m_address(LocalAddress(m_listener.get())),
        m_thread([this, script = std::move(script)] {
          while (true) {
            pollfd wait{m_listener.get(), POLLIN, 0};
            ::poll(&wait, 1, -1);
            const UniqueFd fd(::accept(m_listener.get(), nullptr, nullptr));
            if (!fd.is_open() || m_is_stopping)
              return;
            script(fd.get());
          }
        }) {}
  ~RawTarget() {
    m_is_stopping = true;
    ::shutdown(m_listener.get(), SHUT_RDWR);
    m_thread.join();
  }

  const std::string& address() const { return m_address; }

 private:
  UniqueFd m_listener;
  std::string m_address;
  std::atomic<bool> m_is_stopping{false};
  std::thread m_thread;
};

/// Reads one request with a body of one byte; returns its head.
std::string ReadRequest(int fd) {
  std::string text;
  char byte = 0;
  while (text.find("\r\n\r\n") == std::string::npos) {
    if (::recv(fd, &byte, 1, 0) != 1)
      return "";
    text += byte;
  }
  if (text.starts_with("POST"))
    ::recv(fd, &byte, 1, MSG_WAITALL);
  return text;
}

void WriteText(int fd, std::string_view text) {
  ::send(fd, text.data(), text.size(), MSG_NOSIGNAL);
}

// Guards against lost or mixed-up responses when there are more requests than
// connections.
TEST_CASE("the responses of a target reach their requests") {
  LoopThread thread;
  std::optional<HttpServer> server;
  std::optional<StandinTarget> target;
  thread.RunAndWait([&] {
    HttpServerOptions options;
    options.address = "127.0.0.1:0";
    server.emplace(thread.loop(), options);
    target.emplace(thread.loop(), *server, TargetBehaviour{Millis(1)}, 1);
    REQUIRE(server->Start());
  });
  {
    Client client(server->address());
    CHECK(client.WaitUntilHealthy());
    constexpr int kCount = 200;
    for (int i = 0; i < kCount; ++i)
      client.Submit(std::to_string(i));
    std::set<std::string> bodies;
    for (int i = 0; i < kCount; ++i) {
      const auto response = client.responses.Take();
      REQUIRE(response.has_value());
      CHECK(response->kind == Kind::kAnswered);
      bodies.insert(response->body);
    }
    CHECK(bodies.size() == kCount);
  }
  thread.RunAndWait([&] { server.reset(); });
}

// Guards against reporting that a request may have run although no target
// received it.
TEST_CASE("a refused connection means that the request did not start") {
  UniqueFd listener = std::move(*ListenTcp("127.0.0.1:0"));
  const std::string address = LocalAddress(listener.get());
  listener.Reset();
  Client client(address);
  CHECK(client.Run("x").kind == Kind::kNotStarted);
}

// Guards against a request that libcurl writes a second time when a reused
// connection breaks, so that it could run twice, and against header values
// whose line breaks add headers.
TEST_CASE("a request on a reused connection that breaks is written once") {
  Mailbox<std::string> seen;
  RawTarget target([&](int fd) {
    const std::string first = ReadRequest(fd);
    if (!first.starts_with("POST")) {
      WriteText(fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    seen.Put(first);
    WriteText(fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    const std::string second = ReadRequest(fd);
    if (!second.empty())
      seen.Put(second);
  });
  Client client(target.address());
  REQUIRE(client.Run("1").kind == Kind::kAnswered);
  CHECK(client.Run("2").kind == Kind::kLost);
  const std::string head = seen.Take().value_or("");
  CHECK(head.find("\r\nInjected") == std::string::npos);
  CHECK(seen.Take().has_value());
  // A second attempt of request 2 would be on a new connection, ahead of this
  // request.
  CHECK(client.Run("3").kind == Kind::kAnswered);
  CHECK(seen.Take().has_value());
}

// Guards against returning a truncated body as a complete response.
TEST_CASE("a truncated body means that the response is lost") {
  RawTarget target([](int fd) {
    ReadRequest(fd);
    WriteText(fd, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort");
  });
  Client client(target.address());
  const TargetResponse response = client.Run("x");
  CHECK(response.kind == Kind::kLost);
  CHECK(response.body.empty());
}

}  // namespace
}  // namespace fulmarrock::test
