#include "tests/support/fake_network.h"

#include <stdexcept>

#include "source/message/frame_codec.h"

namespace fulmarrock::test {

class FakeNetwork::NodeTransport : public Transport {
 public:
  NodeTransport(FakeNetwork& network, NodeId node)
      : m_network(network), m_node(std::move(node)) {}

  void Send(const NodeId& to, const Message& message) override {
    m_network.Send(m_node, to, message);
  }

  void LearnAddress(const NodeId&, std::string_view) override {}

 private:
  FakeNetwork& m_network;
  NodeId m_node;
};

FakeNetwork::FakeNetwork(ManualClock& clock, RandomSource& random)
    : m_clock(clock), m_random(random) {}

FakeNetwork::~FakeNetwork() = default;

Transport& FakeNetwork::TransportOf(const NodeId& node) {
  std::unique_ptr<NodeTransport>& transport = m_transports[node];
  if (!transport)
    transport = std::make_unique<NodeTransport>(*this, node);
  return *transport;
}

void FakeNetwork::SetHandler(const NodeId& node, Handler handler) {
  m_handlers[node] = std::move(handler);
}

void FakeNetwork::SetDelay(Millis delay, Millis jitter) {
  m_delay = delay;
  m_jitter = jitter;
}

void FakeNetwork::SetLinkDelay(const NodeId& from,
                               const NodeId& to,
                               Millis delay) {
  m_link_delays[{from, to}] = delay;
}

void FakeNetwork::SetLoss(double loss, double duplication) {
  m_loss = loss;
  m_duplication = duplication;
}

void FakeNetwork::Cut(const NodeId& from, const NodeId& to) {
  m_cuts.insert({from, to});
}

void FakeNetwork::Heal(const NodeId& from, const NodeId& to) {
  m_cuts.erase({from, to});
}

void FakeNetwork::Isolate(const NodeId& node) {
  m_isolated.insert(node);
}

void FakeNetwork::Rejoin(const NodeId& node) {
  m_isolated.erase(node);
}

void FakeNetwork::HealAll() {
  m_cuts.clear();
  m_isolated.clear();
}

void FakeNetwork::DeliverDue() {
  while (!m_in_flight.empty() &&
         m_in_flight.begin()->first.first <= m_clock.Now()) {
    const InFlight item = std::move(m_in_flight.begin()->second);
    m_in_flight.erase(m_in_flight.begin());
    if (IsCut(item.from, item.to))
      continue;
    const auto it = m_handlers.find(item.to);
    if (it == m_handlers.end() || !it->second)
      continue;
    const Result<Message> message = DecodeFrame(item.frame);
    if (!message)
      throw std::logic_error(message.error().Describe());
    it->second(item.from, *message);
  }
}

Millis FakeNetwork::NextDue() const {
  return m_in_flight.empty() ? Millis::Max() : m_in_flight.begin()->first.first;
}

void FakeNetwork::Send(const NodeId& from,
                       const NodeId& to,
                       const Message& message) {
  if (m_tap)
    m_tap(from, to, message);
  const std::string frame = EncodeFrame(message);
  ++m_sent_count;
  m_sent_bytes += frame.size();
  if (IsCut(from, to) || m_random.Fraction() < m_loss)
    return;
  Enqueue(from, to, frame);
  if (m_random.Fraction() < m_duplication)
    Enqueue(from, to, frame);
}

void FakeNetwork::Enqueue(const NodeId& from,
                          const NodeId& to,
                          const std::string& frame) {
  const auto it = m_link_delays.find({from, to});
  Millis delay = it == m_link_delays.end() ? m_delay : it->second;
  if (m_jitter > Millis(0))
    delay += Millis(static_cast<int64_t>(
        m_random.Below(static_cast<uint64_t>(m_jitter.count()) + 1)));
  m_in_flight.emplace(std::make_pair(m_clock.Now() + delay, m_sequence++),
                      InFlight{from, to, frame});
}

bool FakeNetwork::IsCut(const NodeId& from, const NodeId& to) const {
  return m_isolated.contains(from) || m_isolated.contains(to) ||
         m_cuts.contains({from, to});
}

}  // namespace fulmarrock::test
