#ifndef SOURCE_NET_HTTP2_CONNECTION_H_
#define SOURCE_NET_HTTP2_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "source/base/error.h"
#include "source/base/ids.h"
#include "source/base/millis.h"
#include "source/net/event_loop.h"
#include "source/net/memory_budget.h"
#include "source/net/unique_fd.h"

struct nghttp2_session;

namespace fulmarrock {

/// One HTTP/2 connection between two processes. The client side sends frames as
/// POST bodies; the server side receives them and responds to each with 204.
class Http2Connection : private MemoryBudget::Holder {
 public:
  enum class Side { kClient, kServer };

  /// Receives the events of a connection, on the loop's thread.
  class Listener {
   public:
    virtual ~Listener() = default;

    /// Server side: a complete body arrived. Returning an error closes the
    /// connection.
    virtual Result<void> OnBody(const NodeId& sender,
                                const std::string& sender_address,
                                const std::string& body) = 0;

    /// Client side: the peer acknowledged a frame, so another may be sent.
    virtual void OnAcknowledged(Http2Connection& connection) = 0;

    /// The connection closed. The listener must not destroy it within this
    /// call.
    virtual void OnClosed(Http2Connection& connection, const Error& error) = 0;
  };

  /// `budget` is the memory for unfinished bodies; it outlives the connection.
  Http2Connection(EventLoop& loop,
                  Side side,
                  UniqueFd fd,
                  Listener& listener,
                  MemoryBudget& budget);
  ~Http2Connection() override;
  Http2Connection(const Http2Connection&) = delete;
  Http2Connection& operator=(const Http2Connection&) = delete;

  /// Sends one frame. `sender_address` may be empty.
  void Send(const NodeId& sender,
            const std::string& sender_address,
            std::string frame);

  /// Writes queued output until the socket would block.
  void Flush();

  /// Closes the socket without calling the listener.
  void CloseSilently();

  /// Sends a PING if nothing was received for an interval, which is short while
  /// a response is awaited and long while the connection is idle: idle
  /// connections between thousands of processes must stay cheap.
  void Ping();

  /// Whether the peer's SETTINGS frame arrived, which shows that it speaks
  /// HTTP/2.
  bool is_ready() const { return m_is_ready; }
  bool is_closed() const { return m_is_closed; }

  /// Time for which a response has been awaited and the peer has sent nothing;
  /// zero while no response is awaited.
  Millis UnresponsiveTime() const;

  /// Time since the peer last sent anything, or since the connection began.
  Millis IdleTime() const { return m_loop.clock().Now() - m_last_receive; }

  /// Whether the peer has sent a complete message.
  bool has_received_message() const { return m_has_received_message; }

  /// Frames sent and not acknowledged, and the sum of their sizes.
  size_t in_flight() const { return m_streams.size(); }
  size_t in_flight_bytes() const { return m_stream_bytes; }

 private:
  struct Stream;
  struct Callbacks;

  void AbortReception() override;
  void OnEvents(uint32_t events);
  void Receive();
  void UpdateWatch();
  void ExpectResponse();
  void FinishBody(int32_t stream_id, Stream& stream);
  void EraseStream(int32_t stream_id);
  void ReleaseStream(Stream& stream);
  void Close(Error error);

  EventLoop& m_loop;
  const Side m_side;
  UniqueFd m_fd;
  Listener& m_listener;
  nghttp2_session* m_session = nullptr;
  // Memory of the unfinished streams of a server.
  MemoryBudget::Charge m_charge;
  std::map<int32_t, std::unique_ptr<Stream>> m_streams;
  size_t m_stream_bytes = 0;
  bool m_has_received_message = false;
  std::string m_output;
  size_t m_output_sent = 0;
  uint32_t m_watched_events = 0;
  Millis m_last_receive;
  Millis m_last_ping;
  // Whether and since when the peer's response to the connection attempt, a
  // frame or a PING is awaited.
  bool m_is_awaiting_response = true;
  Millis m_awaiting_since;
  bool m_is_ready = false;
  bool m_is_closed = false;
  // Set inside nghttp2's callbacks, where the session must not be destroyed.
  Error m_callback_error;
  bool m_has_callback_error = false;
};

}  // namespace fulmarrock

#endif  // SOURCE_NET_HTTP2_CONNECTION_H_
