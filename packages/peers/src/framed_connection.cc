#include "framed_connection.h"

#include <event2/buffer.h>
#include <event2/util.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>

#include "numeric_address.h"

namespace cranberryplank {

namespace {

// Bounds the kernel memory that a peer can occupy after it stops reading.
constexpr int kSocketBufferBytes = 256 * 1024;
// Keepalive probes detect an unreachable peer host within idle + 3 * interval seconds.
constexpr int kKeepaliveIdleSeconds = 5;
constexpr int kKeepaliveIntervalSeconds = 1;
constexpr int kKeepaliveProbes = 3;

void SetOption(evutil_socket_t socket, int level, int option, int value) {
  setsockopt(socket, level, option, &value, sizeof value);
}

void SetSocketOptions(evutil_socket_t socket, Duration stall_timeout) {
  SetOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, kKeepaliveIdleSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, kKeepaliveIntervalSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, kKeepaliveProbes);
  SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(stall_timeout.count()));
  SetOption(socket, SOL_SOCKET, SO_SNDBUF, kSocketBufferBytes);
  SetOption(socket, SOL_SOCKET, SO_RCVBUF, kSocketBufferBytes);
}

timeval ToTimeval(Duration duration) {
  timeval value{};
  value.tv_sec = duration.count() / 1'000;
  value.tv_usec = (duration.count() % 1'000) * 1'000;
  return value;
}

}  // namespace

std::shared_ptr<FramedConnection> FramedConnection::Connect(event_base* base, std::string_view host,
                                                            std::uint16_t port,
                                                            Duration stall_timeout,
                                                            std::string* last_reason) {
  const auto address = NumericAddress::Parse(host, port);
  if (!address) {
    *last_reason = fmt::format("'{}' is not a numeric address", host);
    return nullptr;
  }
  const evutil_socket_t socket =
      ::socket(address->family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (socket < 0) {
    *last_reason = evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR());
    return nullptr;
  }
  std::shared_ptr<FramedConnection> connection(new FramedConnection(base, socket, stall_timeout));
  if (bufferevent_socket_connect(connection->m_bufferevent, address->get(), address->size()) != 0) {
    *last_reason = evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR());
    return nullptr;
  }
  return connection;
}

std::shared_ptr<FramedConnection> FramedConnection::Accept(event_base* base, evutil_socket_t socket,
                                                           Duration stall_timeout) {
  return std::shared_ptr<FramedConnection>(new FramedConnection(base, socket, stall_timeout));
}

FramedConnection::FramedConnection(event_base* base, evutil_socket_t socket,
                                   Duration stall_timeout) {
  SetSocketOptions(socket, stall_timeout);
  // Deferred callbacks prevent a failed connect from emitting a signal within Connect().
  m_bufferevent =
      bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  m_failure_event = evtimer_new(base, &FramedConnection::OnFailure, this);
  bufferevent_setcb(m_bufferevent, &FramedConnection::OnRead, nullptr, &FramedConnection::OnEvent,
                    this);
  // The write timeout runs only while output is pending; it also limits the time to connect.
  const timeval stall = ToTimeval(stall_timeout);
  bufferevent_set_timeouts(m_bufferevent, nullptr, &stall);
  // Stops reading from the socket while this much input is buffered, which bounds input memory.
  bufferevent_setwatermark(m_bufferevent, EV_READ, 0, kFrameHeaderBytes + kMaxFramePayloadBytes);
  bufferevent_enable(m_bufferevent, EV_READ | EV_WRITE);
}

FramedConnection::~FramedConnection() { Close(); }

void FramedConnection::Write(std::string_view frame) {
  if (usable()) {
    bufferevent_write(m_bufferevent, frame.data(), frame.size());
  }
}

std::size_t FramedConnection::pending_output() const {
  return m_bufferevent == nullptr ? 0 : evbuffer_get_length(bufferevent_get_output(m_bufferevent));
}

void FramedConnection::set_payload_limit(std::size_t bytes) { m_payload_limit = bytes; }

void FramedConnection::Fail(std::string_view reason) {
  if (!usable()) {
    return;
  }
  m_failure = reason;
  bufferevent_disable(m_bufferevent, EV_READ | EV_WRITE);
  const timeval now{};
  evtimer_add(m_failure_event, &now);
}

void FramedConnection::Close() {
  if (m_bufferevent != nullptr) {
    bufferevent_free(m_bufferevent);
    m_bufferevent = nullptr;
    event_free(m_failure_event);
    m_failure_event = nullptr;
  }
}

void FramedConnection::OnRead(bufferevent* /*bufferevent*/, void* self) {
  static_cast<FramedConnection*>(self)->ReadFrames();
}

void FramedConnection::OnEvent(bufferevent* /*bufferevent*/, std::int16_t what, void* self) {
  const auto connection = static_cast<FramedConnection*>(self)->shared_from_this();
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    connection->m_opened.emit();
    return;
  }
  // Complete frames that arrived before the end of the stream are still processed.
  connection->ReadFrames();
  if ((what & BEV_EVENT_EOF) != 0) {
    connection->Fail("closed by the peer");
  } else if ((what & BEV_EVENT_TIMEOUT) != 0) {
    connection->Fail("peer does not accept data");
  } else {
    connection->Fail(evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
  }
}

void FramedConnection::OnFailure(evutil_socket_t /*socket*/, std::int16_t /*what*/, void* self) {
  static_cast<FramedConnection*>(self)->ReportFailure();
}

void FramedConnection::ReportFailure() {
  const auto keep = shared_from_this();
  const std::string reason = m_failure;
  Close();
  m_closed.emit(reason);
}

void FramedConnection::ReadFrames() {
  const auto keep = shared_from_this();
  while (usable()) {
    evbuffer* input = bufferevent_get_input(m_bufferevent);
    std::array<char, kFrameHeaderBytes> header;
    if (evbuffer_copyout(input, header.data(), header.size()) !=
        static_cast<ev_ssize_t>(header.size())) {
      return;
    }
    const auto length = m_codec.DecodeLength({header.data(), header.size()}, m_payload_limit);
    if (!length) {
      Fail(m_codec.last_reason());
      return;
    }
    if (evbuffer_get_length(input) < kFrameHeaderBytes + *length) {
      return;
    }
    std::string payload(*length, '\0');
    evbuffer_drain(input, kFrameHeaderBytes);
    evbuffer_remove(input, payload.data(), payload.size());
    m_payload.emit(payload);
  }
}

}  // namespace cranberryplank
