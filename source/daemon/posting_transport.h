#ifndef SOURCE_DAEMON_POSTING_TRANSPORT_H_
#define SOURCE_DAEMON_POSTING_TRANSPORT_H_

#include <string>

#include "source/message/transport.h"
#include "source/net/event_loop.h"

namespace fulmarrock {

/// Forwards messages of a role on another thread to the transport's loop.
class PostingTransport : public Transport {
 public:
  /// Both references outlive this object and keep working until the other
  /// thread has ended.
  PostingTransport(EventLoop& loop, Transport& transport)
      : m_loop(loop), m_transport(transport) {}

  void Send(const NodeId& to, const Message& message) override {
    m_loop.Post([this, to, message] { m_transport.Send(to, message); });
  }

  void LearnAddress(const NodeId& node, std::string_view address) override {
    m_loop.Post([this, node, text = std::string(address)] {
      m_transport.LearnAddress(node, text);
    });
  }

 private:
  EventLoop& m_loop;
  Transport& m_transport;
};

}  // namespace fulmarrock

#endif  // SOURCE_DAEMON_POSTING_TRANSPORT_H_
