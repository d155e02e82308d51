#include "source/net/http2_transport.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include <nlohmann/json.hpp>

#include "source/base/json_text.h"
#include "source/message/frame_codec.h"
#include "source/net/socket_address.h"

namespace fulmarrock {
namespace {

constexpr Millis kCheckInterval{100};
constexpr Millis kSuspectTimeout{1'000};
constexpr Millis kReplaceTimeout{2'000};
// A peer pings an idle connection every 15 seconds (kIdlePingInterval of the
// connection), so one that sends nothing for longer than that is gone.
constexpr Millis kIncomingIdleTimeout{20'000};
constexpr Millis kFirstBackoff{50};
constexpr Millis kMaxBackoff{2'000};
constexpr size_t kMaxInFlight = 100;
// The receiver buffers at most two frames of the largest size.
constexpr size_t kMaxInFlightBytes = kMaxFrameBytes;

// Bounds the memory that a peer which keeps changing its node id can use.
constexpr size_t kMaxPeers = 20'000;

/// Whether a newer message of the same kind makes this one obsolete.
bool IsPeriodic(const Message& message) {
  if (const auto* append = std::get_if<AppendRequest>(&message))
    return append->entries.empty();
  return std::holds_alternative<TargetAnnounce>(message) ||
         std::holds_alternative<WorkerAnnounce>(message) ||
         std::holds_alternative<LeaseRenew>(message) ||
         std::holds_alternative<UsageReport>(message) ||
         std::holds_alternative<ConfigPoll>(message);
}

}  // namespace

struct Http2Transport::Peer {
  Peer(const PeerQueueLimits& limits, Counters& counters)
      : queue(limits, counters) {}

  std::string address;
  bool is_address_fixed = false;
  PeerQueue queue;
  std::unique_ptr<Http2Connection> active;
  /// Second connection, opened while the active one is suspect.
  std::unique_ptr<Http2Connection> candidate;
  Millis backoff;
  Millis next_attempt;
  bool is_send_scheduled = false;
};

Http2Transport::Http2Transport(EventLoop& loop,
                               TransportOptions options,
                               RandomSource& random,
                               Handler handler)
    : m_loop(loop),
      m_options(std::move(options)),
      m_random(random),
      m_handler(std::move(handler)),
      m_budget(m_options.budget) {
  for (const auto& [node, address] : m_options.peers) {
    auto peer = std::make_unique<Peer>(m_options.queue_limits, m_counters);
    peer->address = address;
    peer->is_address_fixed = true;
    m_peers.emplace(node, std::move(peer));
  }
}

Http2Transport::~Http2Transport() {
  Stop();
}

Result<void> Http2Transport::Start() {
  Result<UniqueFd> fd = ListenTcp(m_options.listen_address);
  if (!fd)
    return tl::make_unexpected(fd.error());
  m_listener = std::move(*fd);
  m_address = m_options.announced_address.empty()
                  ? LocalAddress(m_listener.get())
                  : m_options.announced_address;
  WatchListener();
  ScheduleTick();
  return {};
}

void Http2Transport::Stop() {
  m_loop.CancelTimer(m_tick_timer);
  m_loop.CancelTimer(m_accept_timer);
  if (m_listener.is_open()) {
    m_loop.Unwatch(m_listener.get());
    m_listener.Reset();
  }
  m_incoming.clear();
  for (const auto& [node, peer] : m_peers) {
    peer->active.reset();
    peer->candidate.reset();
  }
}

void Http2Transport::Send(const NodeId& to, const Message& message) {
  if (to == m_options.self) {
    m_counters.Add("transport_loopback_messages");
    m_loop.Post(
        [this, message, lifetime = std::weak_ptr<int>(m_lifetime_token)] {
          if (!lifetime.expired())
            m_handler(m_options.self, message);
        });
    return;
  }
  auto it = m_peers.find(to);
  if (it == m_peers.end() && m_options.default_port != 0) {
    LearnAddress(to, to + ":" + std::to_string(m_options.default_port));
    it = m_peers.find(to);
  }
  if (it == m_peers.end()) {
    m_counters.Add("transport_unknown_peer");
    return;
  }
  std::string frame = EncodeFrame(message);
  if (frame.size() > kMaxFrameBytes) {
    m_counters.Add("transport_oversized_sends");
    return;
  }
  Peer& peer = *it->second;
  peer.queue.Push(std::move(frame), IsPeriodic(message), m_loop.clock().Now());
  ScheduleSend(peer);
}

void Http2Transport::LearnAddress(const NodeId& node,
                                  std::string_view address) {
  if (node == m_options.self || address.empty() || !ParseAddress(address))
    return;
  if (!m_peers.contains(node) && m_peers.size() >= kMaxPeers) {
    m_counters.Add("transport_refused_peers");
    return;
  }
  std::unique_ptr<Peer>& peer = m_peers[node];
  if (!peer)
    peer = std::make_unique<Peer>(m_options.queue_limits, m_counters);
  if (peer->is_address_fixed || peer->address == address)
    return;
  peer->address = address;
  peer->next_attempt = Millis();
  DestroyLater(std::move(peer->active));
  DestroyLater(std::move(peer->candidate));
}

std::string Http2Transport::DumpState() const {
  nlohmann::json json;
  json["self"] = m_options.self;
  json["address"] = m_address;
  json["incoming_connections"] = m_incoming.size();
  json["last_error"] = m_last_error.Describe();
  json["peers"] = nlohmann::json::object();
  for (const auto& [node, peer] : m_peers) {
    json["peers"][node] = {
        {"address", peer->address},
        {"is_connected", peer->active && peer->active->is_ready()},
        {"has_candidate", peer->candidate != nullptr},
        {"in_flight", peer->active ? peer->active->in_flight() : 0},
        {"queued", peer->queue.size()},
        {"queued_bytes", peer->queue.bytes()}};
  }
  return ToJsonText(json);
}

Result<void> Http2Transport::OnBody(const NodeId& sender,
                                    const std::string& sender_address,
                                    const std::string& body) {
  Result<Message> message = DecodeFrame(body);
  if (!message) {
    // Message types of newer versions are skipped: processes of different
    // versions may run together.
    if (message.error().kind == ErrorKind::kInvalidArgument) {
      m_counters.Add("transport_unknown_messages");
      return {};
    }
    return tl::make_unexpected(std::move(message.error()));
  }
  LearnAddress(sender, sender_address);
  m_counters.Add("transport_received_messages");
  m_counters.Add("transport_received_bytes", static_cast<int64_t>(body.size()));
  m_handler(sender, *message);
  return {};
}

void Http2Transport::OnAcknowledged(Http2Connection& connection) {
  const auto owner = m_owners.find(&connection);
  if (owner != m_owners.end() && !owner->second->queue.is_empty())
    ScheduleSend(*owner->second);
}

void Http2Transport::OnClosed(Http2Connection& connection, const Error& error) {
  CountError(error);
  const auto incoming = m_incoming.find(&connection);
  if (incoming != m_incoming.end()) {
    DestroyLater(std::move(incoming->second));
    m_incoming.erase(incoming);
    return;
  }
  const auto owner = m_owners.find(&connection);
  if (owner == m_owners.end())
    return;
  Peer& peer = *owner->second;
  if (peer.candidate.get() == &connection) {
    DestroyLater(std::move(peer.candidate));
    return;
  }
  m_counters.Add("transport_lost_in_flight",
                 static_cast<int64_t>(connection.in_flight()));
  DestroyLater(std::move(peer.active));
  peer.active = std::move(peer.candidate);
  SetBackoff(peer);
}

void Http2Transport::Accept() {
  while (true) {
    UniqueFd fd(::accept4(m_listener.get(), nullptr, nullptr,
                          SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd.is_open()) {
      if (errno == EMFILE || errno == ENFILE)
        PauseAccepting();
      return;
    }
    if (m_incoming.size() >= m_options.max_incoming_connections &&
        !CloseConnectionWithoutMessages()) {
      m_counters.Add("transport_refused_connections");
      continue;
    }
    const int on = 1;
    ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    m_counters.Add("transport_accepted_connections");
    auto connection = std::make_unique<Http2Connection>(
        m_loop, Http2Connection::Side::kServer, std::move(fd),
        static_cast<Http2Connection::Listener&>(*this), m_budget);
    Http2Connection* key = connection.get();
    m_incoming.emplace(key, std::move(connection));
  }
}

bool Http2Transport::CloseConnectionWithoutMessages() {
  auto chosen = m_incoming.end();
  for (auto it = m_incoming.begin(); it != m_incoming.end(); ++it) {
    const bool is_better =
        !it->second->has_received_message() &&
        (chosen == m_incoming.end() ||
         it->second->IdleTime() > chosen->second->IdleTime());
    if (is_better)
      chosen = it;
  }
  if (chosen == m_incoming.end())
    return false;
  m_counters.Add("transport_excess_connections");
  DestroyLater(std::move(chosen->second));
  m_incoming.erase(chosen);
  return true;
}

void Http2Transport::PauseAccepting() {
  m_counters.Add("transport_out_of_descriptors");
  m_loop.Unwatch(m_listener.get());
  // The connection waiting in the backlog would wake the loop again at once.
  m_accept_timer = m_loop.AddTimer(kCheckInterval, [this] { WatchListener(); });
}

void Http2Transport::WatchListener() {
  m_loop.Watch(m_listener.get(), EPOLLIN, [this](uint32_t) { Accept(); });
}

void Http2Transport::ScheduleTick() {
  m_tick_timer = m_loop.AddTimer(kCheckInterval, [this] {
    OnTick();
    ScheduleTick();
  });
}

void Http2Transport::OnTick() {
  for (const auto& [node, peer] : m_peers)
    CheckPeer(*peer);
  m_budget.AbortOlderThan(m_options.message_timeout, m_loop.clock().Now());
  for (auto it = m_incoming.begin(); it != m_incoming.end();) {
    if (it->second->IdleTime() < kIncomingIdleTimeout) {
      ++it;
      continue;
    }
    m_counters.Add("transport_silent_incoming");
    DestroyLater(std::move(it->second));
    it = m_incoming.erase(it);
  }
}

void Http2Transport::CheckPeer(Peer& peer) {
  peer.queue.DropExpired(m_loop.clock().Now());
  if (!peer.active) {
    if (!peer.queue.is_empty())
      ScheduleSend(peer);
    return;
  }
  if (peer.active->is_ready())
    peer.backoff = Millis();
  peer.active->Ping();
  // Ping() may have found the connection broken and closed it.
  if (!peer.active)
    return;
  const Millis unresponsive_time = peer.active->UnresponsiveTime();
  if (unresponsive_time < kSuspectTimeout) {
    DestroyLater(std::move(peer.candidate));
    return;
  }
  if (unresponsive_time < kReplaceTimeout) {
    if (!peer.candidate)
      Connect(peer);
    return;
  }
  m_counters.Add("transport_replaced_connections");
  m_counters.Add("transport_lost_in_flight",
                 static_cast<int64_t>(peer.active->in_flight()));
  DestroyLater(std::move(peer.active));
  peer.active = std::move(peer.candidate);
  if (!peer.active)
    SetBackoff(peer);
  ScheduleSend(peer);
}

void Http2Transport::Connect(Peer& peer) {
  m_counters.Add("transport_connects");
  Result<UniqueFd> fd = ConnectTcp(peer.address);
  if (!fd) {
    CountError(fd.error());
    SetBackoff(peer);
    return;
  }
  auto connection = std::make_unique<Http2Connection>(
      m_loop, Http2Connection::Side::kClient, std::move(*fd),
      static_cast<Http2Connection::Listener&>(*this), m_budget);
  m_owners.emplace(connection.get(), &peer);
  (peer.active ? peer.candidate : peer.active) = std::move(connection);
}

void Http2Transport::SetBackoff(Peer& peer) {
  peer.backoff = std::clamp(peer.backoff * 2, kFirstBackoff, kMaxBackoff);
  // Between half of the backoff and all of it, so that the peers of a restarted
  // process do not all reconnect at the same instant.
  const Millis half = peer.backoff / 2;
  const Millis jitter(static_cast<int64_t>(
      m_random.Below(static_cast<uint64_t>(half.count()) + 1)));
  peer.next_attempt = m_loop.clock().Now() + half + jitter;
}

void Http2Transport::SendQueued(Peer& peer) {
  const Millis now = m_loop.clock().Now();
  if (!peer.active)
    return;
  Http2Connection& connection = *peer.active;
  while (!connection.is_closed() && connection.in_flight() < kMaxInFlight &&
         (connection.in_flight() == 0 ||
          connection.in_flight_bytes() < kMaxInFlightBytes)) {
    std::optional<std::string> frame = peer.queue.Pop(now);
    if (!frame)
      break;
    m_counters.Add("transport_sent_messages");
    m_counters.Add("transport_sent_bytes", static_cast<int64_t>(frame->size()));
    connection.Send(m_options.self, m_address, std::move(*frame));
  }
  connection.Flush();
}

void Http2Transport::ScheduleSend(Peer& peer) {
  if (peer.is_send_scheduled)
    return;
  peer.is_send_scheduled = true;
  m_scheduled_peers.push_back(&peer);
  if (m_scheduled_peers.size() > 1)
    return;
  m_loop.Post([this, lifetime = std::weak_ptr<int>(m_lifetime_token)] {
    if (!lifetime.expired())
      RunScheduledSends();
  });
}

void Http2Transport::RunScheduledSends() {
  const std::vector<Peer*> scheduled_peers =
      std::exchange(m_scheduled_peers, {});
  for (Peer* peer : scheduled_peers) {
    peer->is_send_scheduled = false;
    if (!peer->active && m_listener.is_open() &&
        m_loop.clock().Now() >= peer->next_attempt) {
      Connect(*peer);
    }
    SendQueued(*peer);
  }
}

void Http2Transport::DestroyLater(std::unique_ptr<Http2Connection> connection) {
  if (!connection)
    return;
  m_owners.erase(connection.get());
  connection->CloseSilently();
  // This may be called from within the connection's own functions, so the
  // connection is destroyed later.
  m_retired.push_back(std::move(connection));
  if (m_retired.size() > 1)
    return;
  m_loop.Post([this, lifetime = std::weak_ptr<int>(m_lifetime_token)] {
    if (!lifetime.expired())
      m_retired.clear();
  });
}

void Http2Transport::CountError(const Error& error) {
  m_last_error = error;
  switch (error.kind) {
    case ErrorKind::kCorruption:
      m_counters.Add("transport_corrupt_connections");
      break;
    case ErrorKind::kResourceExhausted:
      m_counters.Add("transport_oversized_frames");
      break;
    case ErrorKind::kUnavailable:
      m_counters.Add("transport_aborted_receptions");
      break;
    default:
      m_counters.Add("transport_io_errors");
  }
}

}  // namespace fulmarrock
