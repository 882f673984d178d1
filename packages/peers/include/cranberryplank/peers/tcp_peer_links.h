#ifndef CRANBERRYPLANK_PEERS_TCP_PEER_LINKS_H_
#define CRANBERRYPLANK_PEERS_TCP_PEER_LINKS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/model/random.h"
#include "cranberryplank/peers/peer_codec.h"
#include "cranberryplank/peers/peer_links.h"

struct event;
struct event_base;
struct evconnlistener;
struct sockaddr;

namespace cranberryplank {

class FramedConnection;

/// Totals over all links since the start of the process.
struct LinkCounters {
  std::uint64_t messages_sent = 0;
  std::uint64_t bytes_sent = 0;  ///< Frames including the length prefix.
  std::uint64_t messages_received = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t heartbeats_dropped = 0;  ///< Not sent because the peer reads too slowly.
  std::uint64_t links_lost = 0;
  std::uint64_t damaged_frames = 0;  ///< Includes valid frames that violate the protocol.
  std::uint64_t introductions_refused = 0;
};

/// Settings of the links; the defaults suit one region with under 1 ms between zones.
struct TcpPeerSettings {
  std::string id;           ///< Id of this daemon.
  std::string incarnation;  ///< Incarnation of this process.

  /// Above this much unsent output on a link, heartbeats are dropped.
  std::size_t heartbeat_output_bytes = std::size_t{256} * 1024;
  /// Above this much unsent output, the link is dropped. Large enough for several frames of
  /// maximum size.
  std::size_t max_output_bytes = std::size_t{4} * 1024 * 1024;
  /// A link whose peer accepts no data for this long is dropped.
  Duration stall_timeout{5'000};
  /// Time for a new connection to exchange introductions.
  Duration introduction_timeout{2'000};
  /// Initial and longest delay before reconnecting; each delay is reduced at random by up to half.
  Duration initial_backoff{100};
  Duration max_backoff{2'000};
};

/// Links over TCP. Each daemon connects to each of its peers, so a pair of daemons has two
/// connections. Both ends can send on either, so that a registered daemon can answer one that it
/// does not know yet. Messages to an incarnation stay on one connection while it is up.
/// `signal_lost()` is emitted for each introduced connection that breaks.
class TcpPeerLinks : public PeerLinks {
 public:
  /// Reports for logging why a connection ended or was refused. Handlers must not call this object.
  using ClosedSignal = sigc::signal<void, const std::string& /*peer*/, const std::string&>;

  /// `base` and `random` must outlive this object.
  TcpPeerLinks(event_base* base, TcpPeerSettings settings, RandomSource* random);
  ~TcpPeerLinks() override;
  TcpPeerLinks(const TcpPeerLinks&) = delete;
  TcpPeerLinks& operator=(const TcpPeerLinks&) = delete;

  /// Accepts connections on a numeric IP address; port 0 selects any free port.
  /// @return false, with `last_reason()` set, if the address cannot be used.
  bool Listen(std::string_view host, std::uint16_t port);

  /// Listening port, or 0 before Listen().
  std::uint16_t port() const { return m_port; }

  /// A record with an empty incarnation matches any daemon that answers at its address;
  /// `signal_up()` reports the incarnation of that daemon. A removed incarnation is refused from
  /// then on, and `signal_lost()` is emitted for it.
  void SetPeers(TimePoint now, std::span<const DaemonRecord> daemons) override;

  SendOutcome Send(std::string_view incarnation, const PeerMessage& message) override;

  const LinkCounters& counters() const { return m_counters; }
  const std::string& last_reason() const { return m_last_reason; }
  ClosedSignal& signal_closed() { return m_closed; }

 private:
  struct Link;
  using ConnectionPointer = std::shared_ptr<FramedConnection>;

  static void OnAccept(evconnlistener* listener, int socket, sockaddr* address, int size,
                       void* self);
  static void OnTick(int socket, std::int16_t what, void* self);

  void Tick(TimePoint now);
  void Dial(Link* link, TimePoint now);
  void Attach(Link* link);
  void HandlePayload(Link* link, std::string_view payload);
  void HandleIntroduction(Link* link, const Introduction& introduction);
  void HandleMessage(Link* link, const PeerMessage& message);
  void HandleClosed(Link* link, const std::string& reason);
  bool CheckIntroduction(const Link& link, const Introduction& introduction);
  void ReplaceOlderLink(const Link& link);
  void ScheduleDial(Link* link, TimePoint now);
  void Introduce(Link* link, std::string_view receiver_incarnation);
  void Retire(const std::string& incarnation);
  void Remove(const Link* link);
  ConnectionPointer Route(std::string_view incarnation);

  event_base* m_base;
  TcpPeerSettings m_settings;
  RandomSource* m_random;
  evconnlistener* m_listener = nullptr;
  event* m_tick = nullptr;
  std::uint16_t m_port = 0;
  std::vector<std::unique_ptr<Link>> m_links;
  std::map<std::string, std::weak_ptr<FramedConnection>, std::less<>> m_routes;
  std::deque<std::string> m_retired;  ///< Incarnations of former peers, newest last.
  PeerCodec m_codec;
  LinkCounters m_counters;
  std::string m_last_reason;
  ClosedSignal m_closed;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_PEERS_TCP_PEER_LINKS_H_
