#include "cranberryplank/peers/tcp_peer_links.h"

#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "framed_connection.h"
#include "numeric_address.h"

namespace cranberryplank {

namespace {

// Granularity of the reconnect delay and of the introduction timeout.
constexpr timeval kTickInterval{0, 50'000};
// There are 7 to 9 registered daemons. The limit leaves room for replaced ones and bounds the
// connections that unregistered hosts can hold open.
constexpr std::ptrdiff_t kMaxAcceptedLinks = 64;
constexpr std::size_t kMaxIntroductionBytes = 4'096;
// Far above the number of daemons replaced during the lifetime of a connection.
constexpr std::size_t kMaxRetired = 1'024;
// The loss of a link that was up for less than this counts as a further failure in a row, which
// lengthens the next delay.
constexpr Duration kStableAfter{1'000};
constexpr int kMaxBackoffDoublings = 16;

}  // namespace

/// Accepted or dialed connection, or a peer that is to be dialed.
struct TcpPeerLinks::Link {
  bool dialed = false;
  DaemonRecord record;      ///< Record of the peer, if dialed.
  std::string incarnation;  ///< Of the other side; empty before its introduction.
  ConnectionPointer connection;
  TimePoint introduce_by;
  TimePoint up_since;
  TimePoint dial_at;  ///< Time of the next attempt while there is no connection.
  int failures = 0;   ///< Consecutive failures.

  bool IsUp() const { return !incarnation.empty() && connection && connection->usable(); }
};

TcpPeerLinks::TcpPeerLinks(event_base* base, TcpPeerSettings settings, RandomSource* random)
    : m_base(base), m_settings(std::move(settings)), m_random(random) {
  m_tick = event_new(base, -1, EV_PERSIST, &TcpPeerLinks::OnTick, this);
  event_add(m_tick, &kTickInterval);
}

TcpPeerLinks::~TcpPeerLinks() {
  event_free(m_tick);
  if (m_listener != nullptr) {
    evconnlistener_free(m_listener);
  }
  for (const auto& link : m_links) {
    if (link->connection) {
      link->connection->Close();
    }
  }
}

bool TcpPeerLinks::Listen(std::string_view host, std::uint16_t port) {
  const auto address = NumericAddress::Parse(host, port);
  if (!address) {
    m_last_reason = fmt::format("'{}' is not a numeric address", host);
    return false;
  }
  m_listener =
      evconnlistener_new_bind(m_base, &TcpPeerLinks::OnAccept, this,
                              LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, -1,
                              address->get(), address->size());
  if (m_listener == nullptr) {
    m_last_reason = fmt::format("cannot listen on {} port {}: {}", host, port,
                                evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
    return false;
  }
  m_port = NumericAddress::BoundPort(evconnlistener_get_fd(m_listener));
  return true;
}

void TcpPeerLinks::SetPeers(TimePoint now, std::span<const DaemonRecord> daemons) {
  const auto wanted = [&](const DaemonRecord& record) {
    return std::find(daemons.begin(), daemons.end(), record) != daemons.end();
  };
  std::vector<const Link*> dropped;
  std::vector<std::string> retired;
  std::vector<std::string> lost;
  for (const auto& link : m_links) {
    if (link->dialed && !wanted(link->record)) {
      dropped.push_back(link.get());
      retired.push_back(link->record.incarnation);
      if (link->IsUp()) {
        lost.push_back(link->incarnation);
      }
    }
  }
  for (const Link* link : dropped) {
    Remove(link);
  }
  for (const std::string& incarnation : retired) {
    const bool still_wanted = std::any_of(daemons.begin(), daemons.end(), [&](const auto& record) {
      return record.incarnation == incarnation;
    });
    if (!still_wanted && !incarnation.empty()) {
      Retire(incarnation);
    }
  }
  for (const DaemonRecord& record : daemons) {
    if (record.incarnation == m_settings.incarnation) {
      continue;
    }
    std::erase(m_retired, record.incarnation);
    const bool known = std::any_of(m_links.begin(), m_links.end(), [&](const auto& link) {
      return link->dialed && link->record == record;
    });
    if (!known) {
      auto& link = m_links.emplace_back(std::make_unique<Link>());
      link->dialed = true;
      link->record = record;
      Dial(link.get(), now);
    }
  }
  for (const std::string& incarnation : lost) {
    ++m_counters.links_lost;
    m_lost.emit(now, incarnation);
  }
}

SendOutcome TcpPeerLinks::Send(std::string_view incarnation, const PeerMessage& message) {
  const ConnectionPointer connection = Route(incarnation);
  if (!connection) {
    m_last_reason = "no link";
    return SendOutcome::kNotSent;
  }
  const auto frame = m_codec.Encode(message);
  if (!frame) {
    m_last_reason = m_codec.last_reason();
    return SendOutcome::kNotSent;
  }
  const std::size_t pending = connection->pending_output();
  if (std::holds_alternative<Heartbeat>(message) && pending > m_settings.heartbeat_output_bytes) {
    ++m_counters.heartbeats_dropped;
    m_last_reason = "peer reads too slowly: heartbeat dropped";
    return SendOutcome::kNotSent;
  }
  if (pending + frame->size() > m_settings.max_output_bytes) {
    m_last_reason = "peer reads too slowly: link dropped";
    connection->Fail(m_last_reason);
    return SendOutcome::kNotSent;
  }
  connection->Write(*frame);
  ++m_counters.messages_sent;
  m_counters.bytes_sent += frame->size();
  return SendOutcome::kSent;
}

TcpPeerLinks::ConnectionPointer TcpPeerLinks::Route(std::string_view incarnation) {
  const auto known = m_routes.find(incarnation);
  if (known != m_routes.end()) {
    ConnectionPointer connection = known->second.lock();
    if (connection && connection->usable()) {
      return connection;
    }
  }
  const Link* best = nullptr;
  for (const auto& link : m_links) {
    if (link->IsUp() && link->incarnation == incarnation && (best == nullptr || link->dialed)) {
      best = link.get();
    }
  }
  if (best == nullptr) {
    return nullptr;
  }
  m_routes[best->incarnation] = best->connection;
  return best->connection;
}

void TcpPeerLinks::OnAccept(evconnlistener* /*listener*/, int socket, sockaddr* /*address*/,
                            int /*size*/, void* self) {
  auto* links = static_cast<TcpPeerLinks*>(self);
  const auto accepted = std::count_if(links->m_links.begin(), links->m_links.end(),
                                      [](const auto& link) { return !link->dialed; });
  if (accepted >= kMaxAcceptedLinks) {
    ++links->m_counters.introductions_refused;
    evutil_closesocket(socket);
    return;
  }
  auto& link = links->m_links.emplace_back(std::make_unique<Link>());
  link->connection =
      FramedConnection::Accept(links->m_base, socket, links->m_settings.stall_timeout);
  link->introduce_by = Clock::now() + links->m_settings.introduction_timeout;
  links->Attach(link.get());
}

void TcpPeerLinks::OnTick(int /*socket*/, std::int16_t /*what*/, void* self) {
  static_cast<TcpPeerLinks*>(self)->Tick(Clock::now());
}

void TcpPeerLinks::Tick(TimePoint now) {
  for (const auto& link : m_links) {
    if (!link->connection && now >= link->dial_at) {
      Dial(link.get(), now);
    } else if (link->connection && link->incarnation.empty() && now >= link->introduce_by) {
      link->connection->Fail("no introduction in time");
    }
  }
}

void TcpPeerLinks::Dial(Link* link, TimePoint now) {
  std::string reason;
  link->connection = FramedConnection::Connect(
      m_base, link->record.peer_host, link->record.peer_port, m_settings.stall_timeout, &reason);
  if (!link->connection) {
    m_closed.emit(link->record.id, reason);
    ScheduleDial(link, now);
    return;
  }
  link->introduce_by = now + m_settings.introduction_timeout;
  link->connection->signal_opened().connect(
      [this, link] { Introduce(link, link->record.incarnation); });
  Attach(link);
}

void TcpPeerLinks::Attach(Link* link) {
  link->connection->set_payload_limit(kMaxIntroductionBytes);
  link->connection->signal_payload().connect(
      [this, link](std::string_view payload) { HandlePayload(link, payload); });
  link->connection->signal_closed().connect(
      [this, link](const std::string& reason) { HandleClosed(link, reason); });
}

void TcpPeerLinks::Introduce(Link* link, std::string_view receiver_incarnation) {
  const auto frame = m_codec.Encode(
      Introduction{m_settings.id, m_settings.incarnation, std::string(receiver_incarnation)});
  if (frame) {
    link->connection->Write(*frame);
  }
}

void TcpPeerLinks::HandlePayload(Link* link, std::string_view payload) {
  m_counters.bytes_received += kFrameHeaderBytes + payload.size();
  const auto content = m_codec.Decode(payload);
  if (!content) {
    ++m_counters.damaged_frames;
    link->connection->Fail(m_codec.last_reason());
    return;
  }
  const bool introduced = !link->incarnation.empty();
  if (introduced != std::holds_alternative<PeerMessage>(*content)) {
    ++m_counters.damaged_frames;
    link->connection->Fail(introduced ? "second introduction" : "message before introduction");
    return;
  }
  if (introduced) {
    HandleMessage(link, std::get<PeerMessage>(*content));
  } else {
    HandleIntroduction(link, std::get<Introduction>(*content));
  }
}

bool TcpPeerLinks::CheckIntroduction(const Link& link, const Introduction& introduction) {
  const std::string& sender = introduction.sender_incarnation;
  const std::string& receiver = introduction.receiver_incarnation;
  if (sender == m_settings.incarnation) {
    m_last_reason = "connected to itself";
    return false;
  }
  // The receiver incarnation may be empty only on accepted connections, as the caller may know just
  // the address.
  const bool receiver_open = receiver.empty() && !link.dialed;
  if (receiver != m_settings.incarnation && !receiver_open) {
    m_last_reason = fmt::format("meant for incarnation {}", receiver);
    return false;
  }
  if (link.dialed && !link.record.incarnation.empty() && link.record.incarnation != sender) {
    m_last_reason =
        fmt::format("received incarnation {}, expected {}", sender, link.record.incarnation);
    return false;
  }
  if (std::find(m_retired.begin(), m_retired.end(), sender) != m_retired.end()) {
    m_last_reason = fmt::format("incarnation {} is no longer registered", sender);
    return false;
  }
  return true;
}

void TcpPeerLinks::HandleIntroduction(Link* link, const Introduction& introduction) {
  if (!CheckIntroduction(*link, introduction)) {
    ++m_counters.introductions_refused;
    link->connection->Fail(m_last_reason);
    return;
  }
  const TimePoint now = Clock::now();
  link->incarnation = introduction.sender_incarnation;
  link->up_since = now;
  link->connection->set_payload_limit(kMaxFramePayloadBytes);
  if (!link->dialed) {
    Introduce(link, link->incarnation);
    ReplaceOlderLink(*link);
  }
  m_up.emit(now, introduction.sender_incarnation);
}

void TcpPeerLinks::ReplaceOlderLink(const Link& link) {
  // The other side connects again only after it has lost the older connection.
  for (const auto& other : m_links) {
    if (other.get() != &link && !other->dialed && other->IsUp() &&
        other->incarnation == link.incarnation) {
      other->connection->Fail("replaced by a newer connection");
    }
  }
}

void TcpPeerLinks::HandleMessage(Link* link, const PeerMessage& message) {
  const Heartbeat* heartbeat = std::get_if<Heartbeat>(&message);
  if (heartbeat != nullptr && heartbeat->incarnation != link->incarnation) {
    ++m_counters.damaged_frames;
    link->connection->Fail("heartbeat of another incarnation");
    return;
  }
  ++m_counters.messages_received;
  // A handler may change the peers and so delete the link.
  const std::string sender = link->incarnation;
  m_message.emit(Clock::now(), sender, message);
}

void TcpPeerLinks::HandleClosed(Link* link, const std::string& reason) {
  const TimePoint now = Clock::now();
  const std::string incarnation = std::exchange(link->incarnation, "");
  const std::string peer = link->dialed ? link->record.id : incarnation;
  link->connection.reset();
  if (link->dialed) {
    const bool worked = !incarnation.empty() && now - link->up_since >= kStableAfter;
    link->failures = worked ? 0 : link->failures;
    ScheduleDial(link, now);
  } else {
    Remove(link);
  }
  m_closed.emit(peer, reason);
  if (!incarnation.empty()) {
    const auto route = m_routes.find(incarnation);
    if (route != m_routes.end()) {
      const ConnectionPointer connection = route->second.lock();
      if (!connection || !connection->usable()) {
        m_routes.erase(route);
      }
    }
    ++m_counters.links_lost;
    m_lost.emit(now, incarnation);
  }
}

void TcpPeerLinks::ScheduleDial(Link* link, TimePoint now) {
  const int doublings = std::min(link->failures++, kMaxBackoffDoublings);
  const Duration pause =
      std::min(m_settings.max_backoff, m_settings.initial_backoff * (std::int64_t{1} << doublings));
  // Jitter prevents all daemons from reconnecting to a restarted peer at the same time.
  const double share = 1.0 - m_random->Fraction() / 2;
  link->dial_at =
      now + Duration(static_cast<Duration::rep>(static_cast<double>(pause.count()) * share));
}

void TcpPeerLinks::Retire(const std::string& incarnation) {
  m_retired.push_back(incarnation);
  if (m_retired.size() > kMaxRetired) {
    m_retired.pop_front();
  }
  for (const auto& link : m_links) {
    if (!link->dialed && link->IsUp() && link->incarnation == incarnation) {
      link->connection->Fail("no longer registered");
    }
  }
  m_routes.erase(incarnation);
}

void TcpPeerLinks::Remove(const Link* link) {
  if (link->connection) {
    link->connection->Close();
  }
  std::erase_if(m_links, [&](const auto& entry) { return entry.get() == link; });
}

}  // namespace cranberryplank
