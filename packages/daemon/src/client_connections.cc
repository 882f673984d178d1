#include "cranberryplank/daemon/client_connections.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <sys/socket.h>

#include <algorithm>
#include <tuple>
#include <utility>

#include "cranberryplank/model/log.h"
#include "cranberryplank/platform/event_priority.h"

namespace cranberryplank {

namespace {

/// A connection with buffered bytes makes no progress if none of its requests or responses was
/// completed for this long.
constexpr Duration kStalled{1'000};

/// Time until the sockets and buffers of ended connections are released, in seconds and
/// microseconds. Until then a client can still read the last response.
constexpr timeval kSweepInterval{0, 100'000};
/// evhttp keeps each header line in allocations of its own. The shortest lines take this many times
/// their size.
constexpr std::size_t kMemoryPerHeaderByte = 24;
/// Longest header of a request, in bytes.
constexpr std::size_t kMaxHeaderBytes = 16 << 10;

/// libevent removes the callbacks of a stream when the stream is freed.
bool HasEnded(bufferevent* stream) {
  bufferevent_event_cb on_event = nullptr;
  bufferevent_getcb(stream, nullptr, nullptr, &on_event, nullptr);
  return on_event == nullptr;
}

/// Lets the HTTP library end a connection as if its client had closed it.
void End(bufferevent* stream) {
  bufferevent_trigger_event(stream, BEV_EVENT_READING | BEV_EVENT_EOF, 0);
}

/// Makes the kernel drop what the socket's queues hold when the socket is closed. Otherwise it
/// would keep a response that its client does not read.
void DropQueuesAtClose(evutil_socket_t socket) {
  const linger at_once{1, 0};
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

/// Closes the socket of an ended stream and frees its buffers. libevent frees the stream itself in
/// a later turn of the event loop.
void ReleaseStream(bufferevent* stream) {
  const evutil_socket_t socket = bufferevent_getfd(stream);
  evbuffer* unsent = bufferevent_get_output(stream);
  // The stream must have no events for the socket, or a new connection could get its number.
  bufferevent_disable(stream, EV_READ | EV_WRITE);
  bufferevent_setfd(stream, -1);
  if (evbuffer_get_length(unsent) > 0) {
    DropQueuesAtClose(socket);
  }
  evutil_closesocket(socket);
  for (evbuffer* buffer : {bufferevent_get_input(stream), unsent}) {
    evbuffer_drain(buffer, evbuffer_get_length(buffer));
  }
  bufferevent_decref(stream);
}

}  // namespace

ClientConnections::ClientConnections(event_base* base, const ConnectionLimits& limits,
                                     SetAccepting set_accepting)
    : m_base(base),
      m_sweep(evtimer_new(base, &ClientConnections::OnSweep, this)),
      m_byte_limit(evtimer_new(base, &ClientConnections::OnByteLimit, this)),
      m_limits(limits),
      m_set_accepting(std::move(set_accepting)) {
  // Before the callbacks of other connections, each of which may add to what is held.
  event_priority_set(m_byte_limit, kUrgentEvents);
}

ClientConnections::~ClientConnections() {
  event_free(m_sweep);
  event_free(m_byte_limit);
  while (!m_connections.empty()) {
    Release(m_connections.begin());
  }
}

bufferevent* ClientConnections::Add(TimePoint now) {
  if (m_connections.size() >= m_limits.connections) {
    RemoveEnded();
  }
  while (m_connections.size() >= m_limits.connections) {
    const auto victim = LeastProgress(now);
    if (victim == m_connections.end()) {
      break;
    }
    ++m_closed_for_number;
    Close(victim);
  }
  bufferevent* stream = bufferevent_socket_new(m_base, -1, BEV_OPT_CLOSE_ON_FREE);
  if (stream == nullptr) {
    return nullptr;
  }
  // The reference keeps the stream's address and buffers valid until `Release`.
  bufferevent_incref(stream);
  Connection& connection = m_connections[stream];
  connection.owner = this;
  connection.stream = stream;
  connection.last_progress = now;
  if (evtimer_pending(m_sweep, nullptr) == 0) {
    evtimer_add(m_sweep, &kSweepInterval);
  }
  evbuffer_add_cb(bufferevent_get_input(stream), &OnInputChanged, &connection);
  evbuffer_add_cb(bufferevent_get_output(stream), &OnOutputChanged, &connection);
  UpdateAccepting();
  return stream;
}

void ClientConnections::UpdateAccepting() {
  // Beyond the limit there are only connections whose requests are being handled.
  const bool accepting = m_connections.size() <= m_limits.connections;
  if (accepting != m_accepting) {
    m_accepting = accepting;
    m_set_accepting(accepting);
  }
}

void ClientConnections::OnSweep(int, short, void* self) {  // NOLINT(google-runtime-int)
  auto* connections = static_cast<ClientConnections*>(self);
  connections->RemoveEnded();
  connections->UpdateAccepting();
  connections->LogClosings();
  if (!connections->m_connections.empty()) {
    evtimer_add(connections->m_sweep, &kSweepInterval);
  }
}

void ClientConnections::OnByteLimit(int, short, void* self) {  // NOLINT(google-runtime-int)
  static_cast<ClientConnections*>(self)->EnforceByteLimit();
}

void ClientConnections::SetState(TimePoint now, bufferevent* stream, bool handling) {
  if (const auto found = m_connections.find(stream); found != m_connections.end()) {
    found->second.handling = handling;
    found->second.last_progress = now;
  }
}

void ClientConnections::BeginRequest(TimePoint now, bufferevent* stream) {
  SetState(now, stream, true);
  if (const auto found = m_connections.find(stream); found != m_connections.end()) {
    found->second.received = evbuffer_get_length(bufferevent_get_input(stream));
    Count(&found->second);
    UpdateReading(&found->second);
  }
}

void ClientConnections::BeginResponse(TimePoint now, bufferevent* stream) {
  SetState(now, stream, false);
}

void ClientConnections::EndResponse(TimePoint now, bufferevent* stream) {
  SetState(now, stream, false);
  if (const auto found = m_connections.find(stream); found != m_connections.end()) {
    UpdateReading(&found->second);
  }
}

void ClientConnections::UpdateReading(Connection* connection) {
  const bool pause = connection->handling || connection->unsent > 0;
  if (pause != connection->paused) {
    connection->paused = pause;
    bufferevent_setwatermark(connection->stream, EV_READ, 0, pause ? 1 : 0);
  }
}

void ClientConnections::RemoveEnded() {
  for (auto it = m_connections.begin(); it != m_connections.end();) {
    it = HasEnded(it->first) ? Release(it) : std::next(it);
  }
}

ClientConnections::Table::iterator ClientConnections::Release(Table::iterator released) {
  auto& [stream, connection] = *released;
  m_buffered -= connection.counted;
  evbuffer_remove_cb(bufferevent_get_input(stream), &OnInputChanged, &connection);
  evbuffer_remove_cb(bufferevent_get_output(stream), &OnOutputChanged, &connection);
  ReleaseStream(stream);
  return m_connections.erase(released);
}

void ClientConnections::OnInputChanged(evbuffer* /*buffer*/, const evbuffer_cb_info* info,
                                       void* connection) {
  // evhttp takes header lines and chunks from the buffer before the request is complete, and they
  // still take memory then.
  auto* changed = static_cast<Connection*>(connection);
  changed->received += info->n_added;
  changed->owner->Count(changed);
}

void ClientConnections::OnOutputChanged(evbuffer* /*buffer*/, const evbuffer_cb_info* info,
                                        void* connection) {
  auto* changed = static_cast<Connection*>(connection);
  changed->unsent += info->n_added;
  changed->unsent -= info->n_deleted;
  changed->owner->Count(changed);
  UpdateReading(changed);
}

void ClientConnections::Count(Connection* connection) {
  const std::size_t header = std::min(connection->received, kMaxHeaderBytes);
  const std::size_t memory =
      connection->received + header * (kMemoryPerHeaderByte - 1) + connection->unsent;
  m_buffered += memory;
  m_buffered -= connection->counted;
  connection->counted = memory;
  if (m_buffered > m_limits.buffered_bytes) {
    // A connection must not be closed inside a callback of its buffer.
    event_active(m_byte_limit, EV_TIMEOUT, 1);
  }
}

void ClientConnections::EnforceByteLimit() {
  if (m_buffered > m_limits.buffered_bytes) {
    RemoveEnded();
  }
  while (m_buffered > m_limits.buffered_bytes) {
    const auto victim = MostBuffered();
    if (victim == m_connections.end()) {
      return;
    }
    ++m_closed_for_bytes;
    Close(victim);
  }
}

ClientConnections::Table::iterator ClientConnections::LeastProgress(TimePoint now) {
  const auto preference = [now](const Connection& connection) {
    const bool stalled = connection.counted > 0 && now - connection.last_progress > kStalled;
    const bool idle = connection.counted == 0;
    return std::tuple(!stalled, !idle, connection.last_progress);
  };
  auto chosen = m_connections.end();
  for (auto it = m_connections.begin(); it != m_connections.end(); ++it) {
    if (it->second.handling || HasEnded(it->first)) {
      continue;
    }
    if (chosen == m_connections.end() || preference(it->second) < preference(chosen->second)) {
      chosen = it;
    }
  }
  return chosen;
}

ClientConnections::Table::iterator ClientConnections::MostBuffered() {
  auto chosen = m_connections.end();
  for (auto it = m_connections.begin(); it != m_connections.end(); ++it) {
    const bool may_close = !it->second.handling && it->second.counted > 0 && !HasEnded(it->first);
    if (may_close &&
        (chosen == m_connections.end() || it->second.counted > chosen->second.counted)) {
      chosen = it;
    }
  }
  return chosen;
}

void ClientConnections::Close(Table::iterator closed) {
  bufferevent* stream = closed->first;
  DropQueuesAtClose(bufferevent_getfd(stream));
  End(stream);
  Release(closed);
}

void ClientConnections::LogClosings() {
  if (closed() == m_logged_closings) {
    return;
  }
  LogLine(LogLevel::kWarning, "connections_closed")
      .Field("closed", closed() - m_logged_closings)
      .Field("total_for_number", m_closed_for_number)
      .Field("total_for_bytes", m_closed_for_bytes)
      .Field("open", m_connections.size())
      .Field("buffered_bytes", m_buffered);
  m_logged_closings = closed();
}

}  // namespace cranberryplank
