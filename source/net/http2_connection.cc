#include "source/net/http2_connection.h"

#include <nghttp2/nghttp2.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <string_view>
#include <utility>

#include "source/message/frame_codec.h"

namespace fulmarrock {
namespace {

constexpr size_t kReadBytes = 64 * 1024;
constexpr size_t kOutputBytes = 64 * 1024;
constexpr uint32_t kMaxStreams = 128;
constexpr int32_t kStreamWindow = 1 << 20;
constexpr int32_t kConnectionWindow = 8 << 20;
// Two frames of the largest size: one being received and the one after it.
constexpr size_t kMaxBufferedBytes = 2 * kMaxFrameBytes;
constexpr size_t kMaxNodeIdBytes = 128;
// Memory of a stream besides its body, with what nghttp2 keeps of it.
constexpr size_t kStreamBytes = 1024;
constexpr Millis kPingInterval{500};
// An agent keeps idle connections to the control members that are not leader.
constexpr Millis kIdlePingInterval{15'000};
// HPACK's static table has an entry for this path; another path would be sent
// in full with every message.
constexpr std::string_view kMessagePath = "/";
constexpr std::string_view kSenderHeader = "fulmarrock-sender";
constexpr std::string_view kAddressHeader = "fulmarrock-address";
constexpr const char* kProtocolRemedy =
    "check that the peer is a fulmarrock process of a compatible version";

nghttp2_nv MakeHeader(std::string_view name, std::string_view value) {
  return {const_cast<uint8_t*>(reinterpret_cast<const uint8_t*>(name.data())),
          const_cast<uint8_t*>(reinterpret_cast<const uint8_t*>(value.data())),
          name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

}  // namespace

struct Http2Connection::Stream {
  NodeId sender;
  std::string sender_address;
  std::string path;
  /// Server: received so far. Client: the frame to send.
  std::string body;
  size_t sent = 0;
  /// Server: bytes that the connection's memory charge has for this stream.
  size_t charged = 0;
};

/// Functions that nghttp2 calls with the connection as user data.
struct Http2Connection::Callbacks {
  static Http2Connection& Self(void* user) {
    return *static_cast<Http2Connection*>(user);
  }

  static int Fail(Http2Connection& self, ErrorKind kind, std::string message) {
    self.m_callback_error = {kind, std::move(message), kProtocolRemedy};
    self.m_has_callback_error = true;
    return NGHTTP2_ERR_CALLBACK_FAILURE;
  }

  static int OnBeginHeaders(nghttp2_session*,
                            const nghttp2_frame* frame,
                            void* user) {
    Http2Connection& self = Self(user);
    if (self.m_side != Side::kServer ||
        frame->headers.cat != NGHTTP2_HCAT_REQUEST) {
      return 0;
    }
    auto stream = std::make_unique<Stream>();
    if (!Charge(self, *stream, kStreamBytes))
      return FailForMemory(self);
    self.m_streams.emplace(frame->hd.stream_id, std::move(stream));
    return 0;
  }

  static bool Charge(Http2Connection& self, Stream& stream, size_t bytes) {
    if (!self.m_charge.Add(bytes, self.m_loop.clock().Now()))
      return false;
    stream.charged += bytes;
    return true;
  }

  static int FailForMemory(Http2Connection& self) {
    return Fail(self, ErrorKind::kUnavailable,
                "no memory is left for unfinished messages");
  }

  static int OnHeader(nghttp2_session*,
                      const nghttp2_frame* frame,
                      const uint8_t* name,
                      size_t name_size,
                      const uint8_t* value,
                      size_t value_size,
                      uint8_t,
                      void* user) {
    Http2Connection& self = Self(user);
    const auto it = self.m_streams.find(frame->hd.stream_id);
    if (self.m_side != Side::kServer || it == self.m_streams.end())
      return 0;
    const std::string_view key(reinterpret_cast<const char*>(name), name_size);
    const std::string_view text(reinterpret_cast<const char*>(value),
                                std::min(value_size, kMaxNodeIdBytes + 1));
    if (key == ":path")
      it->second->path = text;
    else if (key == kSenderHeader)
      it->second->sender = text;
    else if (key == kAddressHeader)
      it->second->sender_address = text;
    return 0;
  }

  static int OnData(nghttp2_session*,
                    uint8_t,
                    int32_t stream_id,
                    const uint8_t* data,
                    size_t size,
                    void* user) {
    Http2Connection& self = Self(user);
    const auto it = self.m_streams.find(stream_id);
    if (self.m_side != Side::kServer || it == self.m_streams.end())
      return 0;
    Stream& stream = *it->second;
    if (stream.body.size() + size > kMaxFrameBytes) {
      return Fail(self, ErrorKind::kResourceExhausted,
                  "a frame exceeds the limit of " +
                      std::to_string(kMaxFrameBytes) + " bytes");
    }
    if (self.m_stream_bytes + size > kMaxBufferedBytes) {
      return Fail(self, ErrorKind::kResourceExhausted,
                  "unfinished frames of one connection exceed " +
                      std::to_string(kMaxBufferedBytes) + " bytes");
    }
    const size_t new_size = stream.body.size() + size;
    if (new_size > stream.body.capacity()) {
      const size_t capacity = NextBodyCapacity(stream.body, new_size);
      if (!Charge(self, stream, kStreamBytes + capacity - stream.charged))
        return FailForMemory(self);
      stream.body.reserve(capacity);
    }
    stream.body.append(reinterpret_cast<const char*>(data), size);
    self.m_stream_bytes += size;
    return 0;
  }

  static int OnFrame(nghttp2_session*, const nghttp2_frame* frame, void* user) {
    Http2Connection& self = Self(user);
    if (frame->hd.type == NGHTTP2_SETTINGS &&
        (frame->hd.flags & NGHTTP2_FLAG_ACK) == 0) {
      self.m_is_ready = true;
    }
    const bool is_message =
        frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    if (!is_message || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0 ||
        self.m_side != Side::kServer) {
      return 0;
    }
    const auto it = self.m_streams.find(frame->hd.stream_id);
    if (it == self.m_streams.end())
      return 0;
    self.FinishBody(frame->hd.stream_id, *it->second);
    return self.m_has_callback_error ? NGHTTP2_ERR_CALLBACK_FAILURE : 0;
  }

  static int OnStreamClose(nghttp2_session*,
                           int32_t stream_id,
                           uint32_t,
                           void* user) {
    Http2Connection& self = Self(user);
    self.EraseStream(stream_id);
    if (self.m_side == Side::kClient)
      self.m_listener.OnAcknowledged(self);
    return 0;
  }

  static ssize_t ReadBody(nghttp2_session*,
                          int32_t,
                          uint8_t* buffer,
                          size_t size,
                          uint32_t* flags,
                          nghttp2_data_source* source,
                          void*) {
    auto* stream = static_cast<Stream*>(source->ptr);
    const size_t count = std::min(size, stream->body.size() - stream->sent);
    std::copy_n(stream->body.data() + stream->sent, count, buffer);
    stream->sent += count;
    if (stream->sent == stream->body.size())
      *flags |= NGHTTP2_DATA_FLAG_EOF;
    return static_cast<ssize_t>(count);
  }

  static nghttp2_session_callbacks* Create() {
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks,
                                                            &OnBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, &OnHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                              &OnData);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &OnFrame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                           &OnStreamClose);
    return callbacks;
  }
};

Http2Connection::Http2Connection(EventLoop& loop,
                                 Side side,
                                 UniqueFd fd,
                                 Listener& listener,
                                 MemoryBudget& budget)
    : m_loop(loop),
      m_side(side),
      m_fd(std::move(fd)),
      m_listener(listener),
      m_charge(budget, *this),
      m_last_receive(loop.clock().Now()),
      m_last_ping(m_last_receive),
      m_awaiting_since(m_last_receive) {
  nghttp2_session_callbacks* callbacks = Callbacks::Create();
  if (side == Side::kClient)
    nghttp2_session_client_new(&m_session, callbacks, this);
  else
    nghttp2_session_server_new(&m_session, callbacks, this);
  nghttp2_session_callbacks_del(callbacks);
  const std::array<nghttp2_settings_entry, 3> settings = {{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxStreams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindow},
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
  }};
  // A server may not send the push setting, which is why it comes last.
  nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings.data(),
                          side == Side::kClient ? 3 : 2);
  nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0,
                                        kConnectionWindow);
  // EPOLLOUT also reports that a pending connect has finished.
  m_watched_events = EPOLLIN | EPOLLOUT;
  m_loop.Watch(m_fd.get(), m_watched_events,
               [this](uint32_t events) { OnEvents(events); });
}

Http2Connection::~Http2Connection() {
  CloseSilently();
  nghttp2_session_del(m_session);
}

void Http2Connection::CloseSilently() {
  if (m_is_closed)
    return;
  m_is_closed = true;
  m_loop.Unwatch(m_fd.get());
  m_fd.Reset();
}

void Http2Connection::Send(const NodeId& sender,
                           const std::string& sender_address,
                           std::string frame) {
  if (m_is_closed)
    return;
  auto stream = std::make_unique<Stream>();
  stream->body = std::move(frame);
  // No content-length: END_STREAM marks the end of the body, and HPACK would
  // not compress the changing value.
  const std::array<nghttp2_nv, 6> headers = {
      MakeHeader(":method", "POST"),
      MakeHeader(":scheme", "http"),
      MakeHeader(":authority", "fulmarrock"),
      MakeHeader(":path", kMessagePath),
      MakeHeader(kSenderHeader, sender),
      MakeHeader(kAddressHeader, sender_address)};
  nghttp2_data_provider provider{};
  provider.source.ptr = stream.get();
  provider.read_callback = &Callbacks::ReadBody;
  const int32_t id = nghttp2_submit_request(
      m_session, nullptr, headers.data(),
      headers.size() - (sender_address.empty() ? 1 : 0), &provider, nullptr);
  if (id < 0) {
    // Stream ids run out after a billion frames.
    Close({ErrorKind::kUnavailable, nghttp2_strerror(id), "none needed"});
    return;
  }
  m_stream_bytes += stream->body.size();
  m_streams.emplace(id, std::move(stream));
  ExpectResponse();
}

void Http2Connection::Ping() {
  const Millis now = m_loop.clock().Now();
  const Millis interval =
      m_is_awaiting_response ? kPingInterval : kIdlePingInterval;
  if (m_is_closed || now - std::max(m_last_ping, m_last_receive) < interval)
    return;
  m_last_ping = now;
  nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
  ExpectResponse();
  Flush();
}

void Http2Connection::ExpectResponse() {
  if (m_is_awaiting_response)
    return;
  m_is_awaiting_response = true;
  m_awaiting_since = m_loop.clock().Now();
}

Millis Http2Connection::UnresponsiveTime() const {
  return m_is_awaiting_response ? m_loop.clock().Now() - m_awaiting_since
                                : Millis();
}

void Http2Connection::Flush() {
  while (!m_is_closed) {
    while (m_output.size() < kOutputBytes) {
      const uint8_t* data = nullptr;
      const ssize_t size = nghttp2_session_mem_send(m_session, &data);
      if (size <= 0)
        break;
      m_output.append(reinterpret_cast<const char*>(data),
                      static_cast<size_t>(size));
    }
    if (m_output.empty())
      break;
    const ssize_t sent =
        ::send(m_fd.get(), m_output.data() + m_output_sent,
               m_output.size() - m_output_sent, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0) {
      if (errno == EAGAIN || errno == ENOTCONN || errno == EINTR)
        break;
      Close({ErrorKind::kIo, std::string("send: ") + std::strerror(errno),
             "none needed, the connection is opened again"});
      return;
    }
    m_output_sent += static_cast<size_t>(sent);
    if (m_output_sent < m_output.size())
      break;
    m_output.clear();
    m_output_sent = 0;
  }
  UpdateWatch();
}

void Http2Connection::AbortReception() {
  for (const auto& [id, stream] : m_streams) {
    stream->body = std::string();
    stream->charged = 0;
  }
  m_stream_bytes = 0;
  m_charge.Release();
  Close({ErrorKind::kUnavailable,
         "an unfinished message was aborted for lack of memory or time",
         "none needed, the connection is opened again"});
}

void Http2Connection::OnEvents(uint32_t events) {
  if ((events & (EPOLLIN | EPOLLERR | EPOLLHUP)) != 0)
    Receive();
  if (!m_is_closed)
    Flush();
  // After a protocol error nghttp2 sends a GOAWAY frame and then wants neither
  // to read nor to write.
  if (!m_is_closed && m_output.empty() &&
      nghttp2_session_want_read(m_session) == 0 &&
      nghttp2_session_want_write(m_session) == 0) {
    Close({ErrorKind::kCorruption, "the session ended with a protocol error",
           kProtocolRemedy});
  }
}

void Http2Connection::Receive() {
  std::array<uint8_t, kReadBytes> buffer;
  // One read per event: a busy peer must not starve the other connections.
  const ssize_t size =
      ::recv(m_fd.get(), buffer.data(), buffer.size(), MSG_DONTWAIT);
  if (size < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (size <= 0) {
    Close({ErrorKind::kIo,
           size == 0 ? std::string("the peer closed the connection")
                     : std::string("receive: ") + std::strerror(errno),
           "none needed, the connection is opened again"});
    return;
  }
  m_last_receive = m_loop.clock().Now();
  const ssize_t used = nghttp2_session_mem_recv(m_session, buffer.data(),
                                                static_cast<size_t>(size));
  if (m_has_callback_error) {
    Close(std::move(m_callback_error));
  } else if (used < 0) {
    Close({ErrorKind::kCorruption,
           std::string("the peer does not speak the protocol: ") +
               nghttp2_strerror(static_cast<int>(used)),
           kProtocolRemedy});
  }
  // Any input counts as progress: the wait for the frames in flight starts
  // again.
  m_is_awaiting_response = !m_streams.empty();
  m_awaiting_since = m_last_receive;
}

void Http2Connection::UpdateWatch() {
  if (m_is_closed)
    return;
  const uint32_t events = EPOLLIN | (m_output.empty() ? 0u : EPOLLOUT);
  if (events == m_watched_events)
    return;
  m_watched_events = events;
  m_loop.Watch(m_fd.get(), events, [this](uint32_t ready) { OnEvents(ready); });
}

void Http2Connection::FinishBody(int32_t stream_id, Stream& stream) {
  Result<void> result;
  if (stream.path != kMessagePath || stream.sender.empty() ||
      stream.sender.size() > kMaxNodeIdBytes) {
    result = MakeError(ErrorKind::kCorruption,
                       "the request is not a message of a fulmarrock process",
                       kProtocolRemedy);
  } else {
    result =
        m_listener.OnBody(stream.sender, stream.sender_address, stream.body);
  }
  if (!result) {
    m_callback_error = std::move(result.error());
    m_has_callback_error = true;
    return;
  }
  m_has_received_message = true;
  ReleaseStream(stream);
  const nghttp2_nv status = MakeHeader(":status", "204");
  nghttp2_submit_response(m_session, stream_id, &status, 1, nullptr);
}

void Http2Connection::EraseStream(int32_t stream_id) {
  const auto it = m_streams.find(stream_id);
  if (it == m_streams.end())
    return;
  ReleaseStream(*it->second);
  m_streams.erase(it);
}

void Http2Connection::ReleaseStream(Stream& stream) {
  m_stream_bytes -= stream.body.size();
  stream.body = std::string();
  if (stream.charged > 0)
    m_charge.Subtract(stream.charged, m_loop.clock().Now());
  stream.charged = 0;
}

void Http2Connection::Close(Error error) {
  if (m_is_closed)
    return;
  CloseSilently();
  m_listener.OnClosed(*this, error);
}

}  // namespace fulmarrock
