#ifndef SOURCE_NET_HTTP2_TRANSPORT_H_
#define SOURCE_NET_HTTP2_TRANSPORT_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "source/base/counters.h"
#include "source/base/random_source.h"
#include "source/message/transport.h"
#include "source/net/event_loop.h"
#include "source/net/http2_connection.h"
#include "source/net/peer_queue.h"
#include "source/net/unique_fd.h"

namespace fulmarrock {

/// Settings of the transport.
struct TransportOptions {
  NodeId self;
  /// Where messages are accepted, as "ip:port"; port 0 lets the system choose.
  std::string listen_address;
  /// Address announced to peers; the listening address when empty.
  std::string announced_address;
  /// Addresses from the settings; addresses learned from messages never replace
  /// them.
  std::map<NodeId, std::string> peers;
  /// Port for nodes whose id is an IP address and whose address was never
  /// learned; zero disables this.
  int default_port = 0;
  PeerQueueLimits queue_limits;
  /// When there are more, one that has not sent a message yet is closed.
  size_t max_incoming_connections = 8192;
  /// Memory for unfinished messages.
  MemoryBudgetOptions budget;
  /// Longest time to receive a message.
  Millis message_timeout{60'000};
};

/// Transport over one persistent HTTP/2 connection per peer and direction. May
/// be used only on the thread of its loop.
///
/// A connection on which nothing arrived for one second while a response is
/// awaited is suspect: a second one is opened beside it, and replaces it when
/// the first stays unresponsive for two seconds in total. Frames that were in
/// flight are counted as lost and not sent again, since a duplicate could run a
/// request twice; roles retry what is safe to retry.
class Http2Transport : public Transport, private Http2Connection::Listener {
 public:
  using Handler = std::function<void(const NodeId& from, const Message&)>;

  Http2Transport(EventLoop& loop,
                 TransportOptions options,
                 RandomSource& random,
                 Handler handler);
  ~Http2Transport() override;

  /// Opens the listening socket. Connections to peers open on demand.
  Result<void> Start();

  /// Closes the listening socket and all connections. Start() may follow.
  void Stop();

  void Send(const NodeId& to, const Message& message) override;
  void LearnAddress(const NodeId& node, std::string_view address) override;

  /// Address announced to peers.
  const std::string& address() const { return m_address; }

  /// Returns connections and queues as JSON.
  std::string DumpState() const;

  const Counters& counters() const { return m_counters; }
  const MemoryBudget& budget() const { return m_budget; }

 private:
  struct Peer;

  Result<void> OnBody(const NodeId& sender,
                      const std::string& sender_address,
                      const std::string& body) override;
  void OnAcknowledged(Http2Connection& connection) override;
  void OnClosed(Http2Connection& connection, const Error& error) override;

  void WatchListener();
  void Accept();
  void PauseAccepting();
  /// Closes the incoming connection that has been idle longest among those that
  /// have not sent a message. Returns false if there is none.
  bool CloseConnectionWithoutMessages();
  void ScheduleTick();
  void OnTick();
  void CheckPeer(Peer& peer);
  void Connect(Peer& peer);
  void SetBackoff(Peer& peer);
  void SendQueued(Peer& peer);
  void ScheduleSend(Peer& peer);
  void RunScheduledSends();
  void DestroyLater(std::unique_ptr<Http2Connection> connection);
  void CountError(const Error& error);

  EventLoop& m_loop;
  const TransportOptions m_options;
  RandomSource& m_random;
  Handler m_handler;
  Counters m_counters;
  MemoryBudget m_budget;
  std::string m_address;
  UniqueFd m_listener;
  std::map<NodeId, std::unique_ptr<Peer>> m_peers;
  std::map<Http2Connection*, std::unique_ptr<Http2Connection>> m_incoming;
  std::unordered_map<Http2Connection*, Peer*> m_owners;
  std::vector<Peer*> m_scheduled_peers;
  // Closed connections; destroyed by a posted function.
  std::vector<std::unique_ptr<Http2Connection>> m_retired;
  EventLoop::TimerId m_tick_timer = 0;
  EventLoop::TimerId m_accept_timer = 0;
  Error m_last_error;
  // Posted functions may run after the transport was destroyed; they check a
  // weak reference to this token.
  std::shared_ptr<int> m_lifetime_token = std::make_shared<int>(0);
};

}  // namespace fulmarrock

#endif  // SOURCE_NET_HTTP2_TRANSPORT_H_
