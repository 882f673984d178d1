#include "cranberryplank/daemon/client_connections.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

#include <tuple>

#include "cranberryplank/model/log.h"

namespace cranberryplank {

namespace {

/// A connection with buffered bytes makes no progress if none of its requests or responses was
/// completed for this long.
constexpr Duration kStalled{1'000};

constexpr timeval kSweepInterval{0, 100'000};

/// libevent removes the callbacks of a stream when the stream is freed.
bool HasEnded(bufferevent* stream) {
  bufferevent_event_cb on_event = nullptr;
  bufferevent_getcb(stream, nullptr, nullptr, &on_event, nullptr);
  return on_event == nullptr;
}

}  // namespace

ClientConnections::ClientConnections(event_base* base, const ConnectionLimits& limits)
    : m_base(base),
      m_sweep(evtimer_new(base, &ClientConnections::OnSweep, this)),
      m_limits(limits) {}

ClientConnections::~ClientConnections() {
  event_free(m_sweep);
  for (auto& [stream, connection] : m_connections) {
    evbuffer_remove_cb(bufferevent_get_input(stream), &OnBufferChanged, &connection);
    evbuffer_remove_cb(bufferevent_get_output(stream), &OnBufferChanged, &connection);
    bufferevent_decref(stream);
  }
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
    Close(victim);
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
  evbuffer_add_cb(bufferevent_get_input(stream), &OnBufferChanged, &connection);
  evbuffer_add_cb(bufferevent_get_output(stream), &OnBufferChanged, &connection);
  return stream;
}

void ClientConnections::OnSweep(int, short, void* self) {  // NOLINT(google-runtime-int)
  auto* connections = static_cast<ClientConnections*>(self);
  connections->RemoveEnded();
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
      m_buffered -= connection.buffered;
      --m_open;
    }
    evbuffer_remove_cb(bufferevent_get_input(stream), &OnBufferChanged, &connection);
    evbuffer_remove_cb(bufferevent_get_output(stream), &OnBufferChanged, &connection);
    bufferevent_decref(stream);
    it = m_connections.erase(it);
  }
}

void ClientConnections::OnBufferChanged(evbuffer* /*buffer*/, const evbuffer_cb_info* info,
                                        void* connection) {
  auto* changed = static_cast<Connection*>(connection);
  changed->buffered += info->n_added;
  changed->buffered -= info->n_deleted;
  if (!changed->closing) {
    changed->owner->m_buffered += info->n_added;
    changed->owner->m_buffered -= info->n_deleted;
    changed->owner->EnforceByteLimit();
  }
}

void ClientConnections::EnforceByteLimit() {
  while (m_buffered > m_limits.buffered_bytes) {
    const auto victim = MostBuffered();
    if (victim == m_connections.end()) {
      return;
    }
    Close(victim);
  }
}

ClientConnections::Table::iterator ClientConnections::LeastProgress(TimePoint now) {
  const auto preference = [now](const Connection& connection) {
    const bool stalled = connection.buffered > 0 && now - connection.last_progress > kStalled;
    const bool idle = connection.buffered == 0;
    return std::tuple(!stalled, !idle, connection.last_progress);
  };
  auto chosen = m_connections.end();
  for (auto it = m_connections.begin(); it != m_connections.end(); ++it) {
    if (it->second.closing || it->second.handling) {
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
    const bool may_close = !it->second.closing && !it->second.handling && it->second.buffered > 0;
    if (may_close &&
        (chosen == m_connections.end() || it->second.buffered > chosen->second.buffered)) {
      chosen = it;
    }
  }
  return chosen;
}

void ClientConnections::Close(Table::iterator closed) {
  auto& [stream, connection] = *closed;
  connection.closing = true;
  m_buffered -= connection.buffered;
  --m_open;
  ++m_closed;
  LogLine(LogLevel::kWarning, "connection_closed")
      .Field("reason", "limit")
      .Field("buffered_bytes", connection.buffered)
      .Field("open", m_open);
  // evhttp notices the end of the connection and frees it.
  shutdown(bufferevent_getfd(stream), SHUT_RDWR);
}

}  // namespace cranberryplank
