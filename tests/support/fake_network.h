#ifndef TESTS_SUPPORT_FAKE_NETWORK_H_
#define TESTS_SUPPORT_FAKE_NETWORK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "source/base/random_source.h"
#include "source/message/transport.h"
#include "tests/support/manual_clock.h"

namespace fulmarrock::test {

/// Connects roles in one process and delivers messages in the order of their
/// due times, with configurable delay, loss, duplication and partitions. Every
/// message is encoded and decoded, so that each test covers the codec.
class FakeNetwork {
 public:
  using Handler = std::function<void(const NodeId& from, const Message&)>;
  using Tap =
      std::function<void(const NodeId& from, const NodeId& to, const Message&)>;

  FakeNetwork(ManualClock& clock, RandomSource& random);
  ~FakeNetwork();

  /// Returns the transport of a node; valid as long as the network.
  Transport& TransportOf(const NodeId& node);

  /// Delivers messages for a node to the handler; an empty handler drops them.
  void SetHandler(const NodeId& node, Handler handler);

  /// Sets the one-way delay of all links without a delay of their own, and a
  /// uniformly random addition of up to `jitter` for all links. Jitter reorders
  /// messages.
  void SetDelay(Millis delay, Millis jitter = Millis(0));

  /// Sets the delay of one direction of a link.
  void SetLinkDelay(const NodeId& from, const NodeId& to, Millis delay);

  /// Loses and duplicates messages with these probabilities on every link.
  void SetLoss(double loss, double duplication = 0);

  /// Drops everything in one direction until healed.
  void Cut(const NodeId& from, const NodeId& to);
  void Heal(const NodeId& from, const NodeId& to);

  /// Cuts or heals both directions between a node and all others.
  void Isolate(const NodeId& node);
  void Rejoin(const NodeId& node);
  void HealAll();

  /// Calls `tap` for every message when it is sent, also for those that are
  /// lost.
  void SetTap(Tap tap) { m_tap = std::move(tap); }

  /// Delivers all messages that are due at the current time.
  void DeliverDue();

  /// Due time of the next message, or Millis::Max() without one.
  Millis NextDue() const;

  /// Number and bytes of messages sent so far.
  uint64_t sent_count() const { return m_sent_count; }
  uint64_t sent_bytes() const { return m_sent_bytes; }

 private:
  class NodeTransport;
  struct InFlight {
    NodeId from;
    NodeId to;
    std::string frame;
  };
  using Link = std::pair<NodeId, NodeId>;

  void Send(const NodeId& from, const NodeId& to, const Message& message);
  void Enqueue(const NodeId& from, const NodeId& to, const std::string& frame);
  bool IsCut(const NodeId& from, const NodeId& to) const;

  ManualClock& m_clock;
  RandomSource& m_random;
  std::map<NodeId, std::unique_ptr<NodeTransport>> m_transports;
  std::map<NodeId, Handler> m_handlers;
  // Ordered by due time, then by a sequence number that keeps sending order.
  std::map<std::pair<Millis, uint64_t>, InFlight> m_in_flight;
  std::set<Link> m_cuts;
  std::set<NodeId> m_isolated;
  std::map<Link, Millis> m_link_delays;
  Tap m_tap;
  Millis m_delay{1};
  Millis m_jitter{0};
  double m_loss = 0;
  double m_duplication = 0;
  uint64_t m_sequence = 0;
  uint64_t m_sent_count = 0;
  uint64_t m_sent_bytes = 0;
};

}  // namespace fulmarrock::test

#endif  // TESTS_SUPPORT_FAKE_NETWORK_H_
