#include "cranberryplank/daemon/client_connections.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

#include <algorithm>
#include <tuple>
#include <utility>

#include "cranberryplank/model/log.h"

namespace cranberryplank {

namespace {

/// A connection with buffered bytes makes no progress if none of its requests or responses was
/// completed for this long.
constexpr Duration kStalled{1'000};

/// Time until the sockets and buffers of ended connections are released, in seconds and
/// microseconds.
constexpr timeval kSweepInterval{0, 100'000};
/// Part of the limit by which connections that wait to be closed may exceed it.
constexpr std::size_t kClosingDivisor = 8;
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

}  // namespace

ClientConnections::ClientConnections(event_base* base, const ConnectionLimits& limits,
                                     SetAccepting set_accepting)
    : m_base(base),
      m_sweep(evtimer_new(base, &ClientConnections::OnSweep, this)),
      m_limits(limits),
      m_set_accepting(std::move(set_accepting)) {}

ClientConnections::~ClientConnections() {
  event_free(m_sweep);
  for (auto& [stream, connection] : m_connections) {
    Forget(stream, &connection);
  }
}

void ClientConnections::Forget(bufferevent* stream, Connection* connection) {
  evbuffer_remove_cb(bufferevent_get_input(stream), &OnInputChanged, connection);
  evbuffer_remove_cb(bufferevent_get_output(stream), &OnOutputChanged, connection);
  bufferevent_decref(stream);
}

bufferevent* ClientConnections::Add(TimePoint now) {
  if (m_open >= m_limits.connections) {
    RemoveEnded();
  }
  while (m_open >= m_limits.connections) {
    const auto victim = LeastProgress(now);
    if (victim == m_connections.end()) {
      break;
    }
    Close(victim, "connections");
  }
  // The socket must stay open as long as the stream has events for it, or a new connection could
  // get its number.
  bufferevent* stream = bufferevent_socket_new(m_base, -1, BEV_OPT_CLOSE_ON_FREE);
  if (stream == nullptr) {
    return nullptr;
  }
  // The reference keeps the stream's address and buffers valid until `RemoveEnded`.
  bufferevent_incref(stream);
  Connection& connection = m_connections[stream];
  connection.owner = this;
  connection.last_progress = now;
  ++m_open;
  if (evtimer_pending(m_sweep, nullptr) == 0) {
    evtimer_add(m_sweep, &kSweepInterval);
  }
  evbuffer_add_cb(bufferevent_get_input(stream), &OnInputChanged, &connection);
  evbuffer_add_cb(bufferevent_get_output(stream), &OnOutputChanged, &connection);
  // Closed connections keep their descriptors until they are removed.
  if (m_connections.size() > m_limits.connections + m_limits.connections / kClosingDivisor) {
    m_accepting = false;
    m_set_accepting(false);
  }
  return stream;
}

void ClientConnections::OnSweep(int, short, void* self) {  // NOLINT(google-runtime-int)
  auto* connections = static_cast<ClientConnections*>(self);
  connections->RemoveEnded();
  if (!connections->m_accepting &&
      connections->m_connections.size() <= connections->m_limits.connections) {
    connections->m_accepting = true;
    connections->m_set_accepting(true);
  }
  if (!connections->m_connections.empty()) {
    evtimer_add(connections->m_sweep, &kSweepInterval);
  }
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
  }
  bufferevent_setwatermark(stream, EV_READ, 0, 1);
}

void ClientConnections::BeginResponse(TimePoint now, bufferevent* stream) {
  SetState(now, stream, false);
}

void ClientConnections::EndResponse(TimePoint now, bufferevent* stream) {
  SetState(now, stream, false);
  bufferevent_setwatermark(stream, EV_READ, 0, 0);
}

void ClientConnections::RemoveEnded() {
  for (auto it = m_connections.begin(); it != m_connections.end();) {
    auto& [stream, connection] = *it;
    if (!HasEnded(stream)) {
      ++it;
      continue;
    }
    if (!connection.closing) {
      m_buffered -= connection.counted;
      --m_open;
    }
    Forget(stream, &connection);
    it = m_connections.erase(it);
  }
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
}

void ClientConnections::Count(Connection* connection) {
  if (connection->closing) {
    return;
  }
  const std::size_t header = std::min(connection->received, kMaxHeaderBytes);
  const std::size_t memory =
      connection->received + header * (kMemoryPerHeaderByte - 1) + connection->unsent;
  m_buffered += memory;
  m_buffered -= connection->counted;
  connection->counted = memory;
  EnforceByteLimit();
}

void ClientConnections::EnforceByteLimit() {
  while (m_buffered > m_limits.buffered_bytes) {
    const auto victim = MostBuffered();
    if (victim == m_connections.end()) {
      return;
    }
    Close(victim, "buffered bytes");
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
    if (it->second.closing || it->second.handling || HasEnded(it->first)) {
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
    const bool may_close = !it->second.closing && !it->second.handling && it->second.counted > 0 &&
                           !HasEnded(it->first);
    if (may_close &&
        (chosen == m_connections.end() || it->second.counted > chosen->second.counted)) {
      chosen = it;
    }
  }
  return chosen;
}

void ClientConnections::Close(Table::iterator closed, std::string_view limit) {
  auto& [stream, connection] = *closed;
  connection.closing = true;
  m_buffered -= connection.counted;
  --m_open;
  ++m_closed;
  LogLine(LogLevel::kWarning, "connection_closed")
      .Field("limit", limit)
      .Field("buffered_bytes", connection.counted)
      .Field("open", m_open);
  // evhttp notices the end of the connection and frees it.
  shutdown(bufferevent_getfd(stream), SHUT_RDWR);
}

}  // namespace cranberryplank
