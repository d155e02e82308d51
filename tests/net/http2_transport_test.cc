#include "source/net/http2_transport.h"

#include <sys/socket.h>

#include <random>

#include <catch2/catch.hpp>

#include "source/base/seeded_random.h"
#include "source/message/frame_codec.h"
#include "source/net/socket_address.h"
#include "tests/net/net_fixture.h"

namespace fulmarrock::test {
namespace {

Message Numbered(uint64_t number) {
  return RequestCancel{{1, number}};
}

uint64_t NumberOf(const Message& message) {
  return std::get<RequestCancel>(message).id.sequence;
}

/// A transport on a loop of its own.
class Node {
 public:
  explicit Node(NodeId self, std::string listen_address = "127.0.0.1:0") {
    m_options.self = std::move(self);
    m_options.listen_address = std::move(listen_address);
    m_thread.RunAndWait([this] {
      m_transport.emplace(m_thread.loop(), m_options, m_random,
                          [this](const NodeId& from, const Message& message) {
                            received.Put({from, message});
                          });
      is_started = m_transport->Start().has_value();
    });
  }
  ~Node() {
    m_thread.RunAndWait([this] { m_transport.reset(); });
  }

  void Learn(const NodeId& node, const std::string& address) {
    m_thread.RunAndWait([&] { m_transport->LearnAddress(node, address); });
  }
  void Send(const NodeId& to, const Message& message) {
    m_thread.RunAndWait([&] { m_transport->Send(to, message); });
  }
  std::string Address() {
    std::string address;
    m_thread.RunAndWait([&] { address = m_transport->address(); });
    return address;
  }
  bool WaitForCounter(const std::string& name, int64_t value) {
    return WaitFor(m_thread, [this, name, value] {
      return m_transport->counters().Get(name) >= value;
    });
  }

  Mailbox<std::pair<NodeId, Message>> received;
  bool is_started = false;

 private:
  LoopThread m_thread;
  SeededRandom m_random{1};
  TransportOptions m_options;
  std::optional<Http2Transport> m_transport;
};

/// Connects a blocking socket, for peers that break the protocol.
UniqueFd ConnectRaw(const std::string& address) {
  UniqueFd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const SocketAddress parsed = ParseAddress(address).value();
  REQUIRE(::connect(fd.get(),
                    reinterpret_cast<const sockaddr*>(&parsed.storage),
                    parsed.size) == 0);
  return fd;
}

/// Sends arbitrary bodies over a real HTTP/2 connection.
class RawSender : private Http2Connection::Listener {
 public:
  explicit RawSender(const std::string& address) {
    m_thread.RunAndWait([&] {
      m_connection.emplace(m_thread.loop(), Http2Connection::Side::kClient,
                           std::move(*ConnectTcp(address)),
                           static_cast<Http2Connection::Listener&>(*this),
                           m_budget);
    });
  }
  ~RawSender() override {
    m_thread.RunAndWait([this] { m_connection.reset(); });
  }
  void Send(const std::string& body) {
    m_thread.RunAndWait([&] {
      m_connection->Send("raw", "", body);
      m_connection->Flush();
    });
  }

  Mailbox<Error> closed;

 private:
  Result<void> OnBody(const NodeId&,
                      const std::string&,
                      const std::string&) override {
    return {};
  }
  void OnAcknowledged(Http2Connection&) override {}
  void OnClosed(Http2Connection&, const Error& error) override {
    closed.Put(error);
  }

  MemoryBudget m_budget{MemoryBudgetOptions()};
  LoopThread m_thread;
  std::optional<Http2Connection> m_connection;
};

// Guards against lost, changed or reordered messages on a healthy connection,
// and against a receiver that cannot reply because it did not learn the
// sender's address from the messages.
TEST_CASE("messages travel both ways between two loops") {
  Node a("a");
  Node b("b");
  a.Learn("b", b.Address());
  GrantBatch large;
  large.grants.resize(1);
  large.grants[0].payload = std::string(3 << 20, 'x');
  for (uint64_t i = 0; i < 500; ++i)
    a.Send("b", Numbered(i));
  a.Send("b", large);
  for (uint64_t i = 0; i < 500; ++i) {
    const auto item = b.received.Take();
    REQUIRE(item.has_value());
    REQUIRE(item->first == "a");
    REQUIRE(NumberOf(item->second) == i);
  }
  const auto item = b.received.Take();
  REQUIRE(item.has_value());
  CHECK(std::get<GrantBatch>(item->second).grants[0].payload ==
        large.grants[0].payload);
  b.Send("a", Numbered(7));
  CHECK(a.received.Take()->first == "b");
}

// Guards against messages to the own process that go over the network, or that
// reach the handler within Send(), while the sending role still runs.
TEST_CASE("a message to the own process is delivered by the loop") {
  Node a("a");
  a.Send("a", Numbered(3));
  const auto item = a.received.Take();
  REQUIRE(item.has_value());
  CHECK(item->first == "a");
  CHECK(NumberOf(item->second) == 3);
}

// Guards against a peer that stays unreachable after its process restarted,
// because the broken connection is not opened again.
TEST_CASE("the connection is opened again after the peer restarts") {
  Node a("a");
  std::string address;
  {
    Node b("b");
    address = b.Address();
    a.Learn("b", address);
    a.Send("b", Numbered(1));
    REQUIRE(b.received.Take().has_value());
  }
  REQUIRE(a.WaitForCounter("transport_io_errors", 1));
  a.Send("b", Numbered(2));
  Node b("b", address);
  REQUIRE(b.is_started);
  const auto item = b.received.Take();
  REQUIRE(item.has_value());
  CHECK(NumberOf(item->second) == 2);
}

// Guards against waiting forever on a connection that the peer accepted and
// never responds on, while a new one would work.
TEST_CASE("an unresponsive connection is replaced") {
  Node a("a");
  UniqueFd listener = std::move(*ListenTcp("127.0.0.1:0"));
  const std::string address = LocalAddress(listener.get());
  a.Learn("b", address);
  a.Send("b", Numbered(1));
  REQUIRE(a.WaitForCounter("transport_connects", 1));
  UniqueFd unresponsive;
  while (!unresponsive.is_open())
    unresponsive.Reset(::accept(listener.get(), nullptr, nullptr));
  listener.Reset();
  Node b("b", address);
  REQUIRE(b.is_started);
  REQUIRE(a.WaitForCounter("transport_replaced_connections", 1));
  a.Send("b", Numbered(2));
  const auto item = b.received.Take();
  REQUIRE(item.has_value());
  CHECK(NumberOf(item->second) == 2);
}

// Guards against a faulty peer whose malformed input also breaks the
// connections of other peers.
TEST_CASE("malformed input closes only the connection it came from") {
  Node b("b");
  Node good("good");
  good.Learn("b", b.Address());
  good.Send("b", Numbered(1));
  REQUIRE(b.received.Take().has_value());
  SECTION("a foreign protocol") {
    const UniqueFd fd = ConnectRaw(b.Address());
    const std::string text = "GET / HTTP/1.0\r\nHost: somewhere\r\n\r\n";
    REQUIRE(::send(fd.get(), text.data(), text.size(), MSG_NOSIGNAL) > 0);
    CHECK(b.WaitForCounter("transport_corrupt_connections", 1));
  }
  SECTION("random bytes behind a correct preface") {
    std::mt19937 random(20261204);
    // Kept open until the end: closing one resets it, and the input that was
    // not read by then would be lost.
    std::vector<UniqueFd> connections;
    for (int i = 0; i < 50; ++i) {
      const UniqueFd& fd = connections.emplace_back(ConnectRaw(b.Address()));
      std::string text = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
      for (int j = 0; j < 500; ++j)
        text += static_cast<char>(random());
      REQUIRE(::send(fd.get(), text.data(), text.size(), MSG_NOSIGNAL) > 0);
    }
    CHECK(b.WaitForCounter("transport_corrupt_connections", 50));
  }
  SECTION("a truncated frame") {
    RawSender sender(b.Address());
    const std::string frame = EncodeFrame(Numbered(2));
    sender.Send(frame.substr(0, frame.size() - 1));
    CHECK(sender.closed.Take().has_value());
    CHECK(b.WaitForCounter("transport_corrupt_connections", 1));
  }
  SECTION("an oversized frame") {
    RawSender sender(b.Address());
    sender.Send(std::string(kMaxFrameBytes + 1, 'x'));
    CHECK(sender.closed.Take().has_value());
    CHECK(b.WaitForCounter("transport_oversized_frames", 1));
  }
  good.Send("b", Numbered(4));
  const auto item = b.received.Take();
  REQUIRE(item.has_value());
  CHECK(NumberOf(item->second) == 4);
}

// Guards against queues that grow without bound while a peer is unreachable,
// and against dropping a message that no later one replaces while a periodic
// one could be dropped.
TEST_CASE("a full queue drops the oldest periodic frame first") {
  Counters counters;
  PeerQueueLimits limits;
  limits.max_frames = 3;
  limits.max_bytes = 100;
  PeerQueue queue(limits, counters);
  queue.Push("first", false, Millis(0));
  queue.Push("periodic", true, Millis(0));
  queue.Push("third", false, Millis(0));
  queue.Push("fourth", false, Millis(0));
  CHECK(counters.Get("transport_dropped_periodic") == 1);
  queue.Push("fifth", false, Millis(0));
  CHECK(counters.Get("transport_dropped_other") == 1);
  CHECK(queue.Pop(Millis(0)) == "third");
  queue.Push(std::string(99, 'x'), false, Millis(6'000));
  CHECK(queue.size() == 1);
  CHECK(queue.bytes() == 99);
  CHECK_FALSE(queue.Pop(Millis(12'000)));
  CHECK(counters.Get("transport_dropped_expired") == 1);
}

}  // namespace
}  // namespace fulmarrock::test
