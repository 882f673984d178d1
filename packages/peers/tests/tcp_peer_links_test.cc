#include "cranberryplank/peers/tcp_peer_links.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>

#include "sample_messages.h"

namespace cranberryplank {
namespace {

constexpr Duration kTestTimeout{10'000};

class Loop {
 public:
  Loop() : m_base(event_base_new()) {}
  ~Loop() { event_base_free(m_base); }
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  event_base* base() { return m_base; }

  /// Runs the loop until `done`, at most for `limit`.
  bool Until(const std::function<bool()>& done, Duration limit = kTestTimeout) {
    const TimePoint end = Clock::now() + limit;
    while (!done() && Clock::now() < end) {
      const timeval pause{0, 5'000};
      event_base_loopexit(m_base, &pause);
      event_base_dispatch(m_base);
    }
    return done();
  }

 private:
  event_base* m_base;
};

/// Links of one daemon; records their messages and events.
class Daemon {
 public:
  Daemon(Loop* loop, const std::string& id, const std::string& incarnation, std::uint16_t port = 0,
         TcpPeerSettings settings = {}) {
    settings.id = id;
    settings.incarnation = incarnation;
    m_links = std::make_unique<TcpPeerLinks>(loop->base(), settings, &m_random);
    REQUIRE(m_links->Listen("127.0.0.1", port));
    m_links->signal_message().connect(
        [this](TimePoint, const std::string& sender, const PeerMessage& message) {
          senders.push_back(sender);
          messages.push_back(message);
        });
    m_links->signal_lost().connect(
        [this](TimePoint, const std::string& peer) { lost.push_back(peer); });
    m_links->signal_up().connect(
        [this](TimePoint, const std::string& peer) { up.push_back(peer); });
    m_links->signal_closed().connect(
        [this](const std::string&, const std::string& reason) { reasons.push_back(reason); });
  }

  TcpPeerLinks& links() { return *m_links; }

  DaemonRecord Record(const std::string& incarnation) const {
    DaemonRecord record;
    record.id = incarnation;
    record.incarnation = incarnation;
    record.peer_host = "127.0.0.1";
    record.peer_port = m_links->port();
    return record;
  }

  void SetPeers(const std::vector<DaemonRecord>& records) {
    m_links->SetPeers(Clock::now(), records);
  }

  bool Closed(std::string_view reason) const {
    return std::any_of(reasons.begin(), reasons.end(),
                       [&](const auto& text) { return text.find(reason) != std::string::npos; });
  }

  std::vector<std::string> senders, lost, up, reasons;
  std::vector<PeerMessage> messages;

 private:
  SeededRandom m_random{1};
  std::unique_ptr<TcpPeerLinks> m_links;
};

/// Blocking socket that acts as a peer violating the protocol.
class RawPeer {
 public:
  explicit RawPeer(std::uint16_t port) : m_socket(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
  }
  ~RawPeer() { close(m_socket); }
  RawPeer(const RawPeer&) = delete;
  RawPeer& operator=(const RawPeer&) = delete;

  void Write(std::string_view bytes) const {
    REQUIRE(write(m_socket, bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size()));
  }

  void Introduce(const std::string& sender, const std::string& receiver) const {
    PeerCodec codec;
    Write(codec.Encode(Introduction{"raw", sender, receiver}).value());
  }

 private:
  int m_socket;
};

struct Pair {
  Loop loop;
  Daemon a{&loop, "a", "inc-a"};
  Daemon b{&loop, "b", "inc-b"};

  void Connect() {
    a.SetPeers({a.Record("inc-a"), b.Record("inc-b")});
    b.SetPeers({a.Record("inc-a"), b.Record("inc-b")});
    // Each side reports the link it dialed and the one it accepted.
    REQUIRE(loop.Until([&] { return a.up.size() == 2 && b.up.size() == 2; }));
  }
};

// Guards against messages that are lost, reordered or attributed to another sender.
TEST_CASE("messages arrive in order and are attributed to their sender") {
  Pair pair;
  pair.Connect();
  const auto messages = SampleMessages();
  Heartbeat heartbeat = SampleHeartbeat();
  heartbeat.incarnation = "inc-a";
  CHECK(pair.a.links().Send("inc-b", heartbeat) == SendOutcome::kSent);
  for (std::size_t i = 1; i < messages.size(); ++i) {
    CHECK(pair.a.links().Send("inc-b", messages[i]) == SendOutcome::kSent);
  }
  REQUIRE(pair.loop.Until([&] { return pair.b.messages.size() == messages.size(); }));
  CHECK(pair.b.messages.front() == PeerMessage(heartbeat));
  CHECK(std::equal(messages.begin() + 1, messages.end(), pair.b.messages.begin() + 1));
  CHECK(std::count(pair.b.senders.begin(), pair.b.senders.end(), "inc-a") == 5);
  CHECK(pair.a.links().counters().messages_sent == 5);
  CHECK(pair.b.links().counters().messages_received == 5);
  CHECK(pair.a.links().counters().bytes_sent > 0);
  CHECK(pair.a.links().Send("inc-c", messages[1]) == SendOutcome::kNotSent);
}

// Guards against a daemon that gets no answers because it cannot register while the store is down.
TEST_CASE("a daemon that is not a peer is answered on its own connection") {
  Pair pair;
  DaemonRecord unknown = pair.b.Record("");
  pair.a.SetPeers({unknown});
  REQUIRE(pair.loop.Until([&] { return !pair.a.up.empty() && !pair.b.up.empty(); }));
  CHECK(pair.a.up.front() == "inc-b");
  CHECK(pair.a.links().Send("inc-b", HeadRequest{1, {}}) == SendOutcome::kSent);
  REQUIRE(pair.loop.Until([&] { return !pair.b.messages.empty(); }));
  CHECK(pair.b.links().Send(pair.b.senders.front(), HeadReply{1, "{}", {}}) == SendOutcome::kSent);
  CHECK(pair.loop.Until([&] { return !pair.a.messages.empty(); }));
}

// Guards against a restarted process that is mistaken for its previous incarnation.
TEST_CASE("a wrong incarnation is refused on both sides") {
  Loop loop;
  Daemon a(&loop, "a", "inc-a");
  Daemon b(&loop, "b", "inc-b-new");
  a.SetPeers({b.Record("inc-b-old")});
  REQUIRE(loop.Until([&] { return b.links().counters().introductions_refused > 0; }));
  CHECK(b.Closed("meant for incarnation inc-b-old"));
  CHECK(a.up.empty());
  CHECK(a.links().Send("inc-b-old", HeadRequest{1, {}}) == SendOutcome::kNotSent);
  CHECK(a.links().Send("inc-b-new", HeadRequest{1, {}}) == SendOutcome::kNotSent);
}

// Guards against messages from a daemon whose removal from the head is in effect.
TEST_CASE("a removed incarnation is disconnected and stays refused") {
  Pair pair;
  pair.Connect();
  pair.a.SetPeers({pair.a.Record("inc-a")});
  CHECK(pair.a.lost == std::vector<std::string>{"inc-b"});
  REQUIRE(pair.loop.Until([&] { return pair.a.Closed("inc-b is no longer registered"); }));
  CHECK(pair.a.links().Send("inc-b", HeadRequest{1, {}}) == SendOutcome::kNotSent);
  REQUIRE(pair.loop.Until([&] { return !pair.b.lost.empty(); }));
}

// Guards against a link that stays down after the peer process was replaced or restarted.
TEST_CASE("a lost link is reported and reestablished") {
  Loop loop;
  Daemon a(&loop, "a", "inc-a");
  auto b = std::make_unique<Daemon>(&loop, "b", "inc-b");
  const DaemonRecord record = b->Record("inc-b");
  a.SetPeers({record});
  REQUIRE(loop.Until([&] { return a.up.size() == 1; }));
  b.reset();
  REQUIRE(loop.Until([&] { return a.lost == std::vector<std::string>{"inc-b"}; }));
  CHECK(a.links().Send("inc-b", HeadRequest{1, {}}) == SendOutcome::kNotSent);
  b = std::make_unique<Daemon>(&loop, "b", "inc-b", record.peer_port);
  REQUIRE(loop.Until([&] { return a.up.size() == 2; }));
  CHECK(a.links().Send("inc-b", HeadRequest{1, {}}) == SendOutcome::kSent);
  CHECK(loop.Until([&] { return b->messages.size() == 1; }));
}

// Guards against a damaged frame that affects other links than the one it arrived on.
TEST_CASE("damaged, oversized and misattributed frames close only their own link") {
  Pair pair;
  pair.Connect();
  PeerCodec codec;
  Heartbeat foreign = SampleHeartbeat();
  foreign.incarnation = "inc-b";
  const std::vector<std::string> frames = {
      std::string("\0\0\0\1\x7f", 5), std::string("\xff\xff\xff\xff", 4), std::string(4, '\0'),
      codec.Encode(PeerMessage(foreign)).value(),
      codec.Encode(Introduction{"raw", "inc-b", "inc-a"}).value()};
  for (std::size_t i = 0; i < frames.size(); ++i) {
    const std::string incarnation = fmt::format("raw-{}", i);
    RawPeer raw(pair.a.links().port());
    raw.Introduce(incarnation, "inc-a");
    raw.Write(frames[i]);
    REQUIRE(pair.loop.Until([&] { return pair.a.lost.size() == i + 1; }));
    CHECK(pair.a.lost.back() == incarnation);
  }
  CHECK(pair.a.messages.empty());
  CHECK(pair.a.links().counters().damaged_frames == 3);
  CHECK(pair.a.links().Send("inc-b", HeadRequest{1, {}}) == SendOutcome::kSent);
  CHECK(pair.loop.Until([&] { return pair.b.messages.size() == 1; }));
}

// Guards against connections that stay open indefinitely without an introduction.
TEST_CASE("a connection without an introduction is closed in time") {
  Loop loop;
  TcpPeerSettings settings;
  settings.introduction_timeout = Duration(100);
  Daemon a(&loop, "a", "inc-a", 0, settings);
  RawPeer silent(a.links().port());
  REQUIRE(loop.Until([&] { return a.Closed("no introduction in time"); }));
  RawPeer early(a.links().port());
  PeerCodec codec;
  early.Write(codec.Encode(PeerMessage(HeadRequest{1, {}})).value());
  REQUIRE(loop.Until([&] { return a.Closed("message before introduction"); }));
  CHECK(a.messages.empty());
}

// Guards against unbounded memory use by a peer that stops reading.
TEST_CASE("a slow reader loses heartbeats first and then its link") {
  Loop loop;
  TcpPeerSettings settings;
  settings.max_output_bytes = 2'000'000;
  Daemon a(&loop, "a", "inc-a", 0, settings);
  RawPeer slow(a.links().port());
  slow.Introduce("slow", "inc-a");
  REQUIRE(loop.Until([&] { return a.up.size() == 1; }));
  Heartbeat heartbeat = SampleHeartbeat();
  heartbeat.incarnation = "inc-a";
  HeadReply large;
  large.head = std::string(300'000, 'x');
  while (a.links().counters().heartbeats_dropped == 0) {
    REQUIRE(a.links().Send("slow", large) == SendOutcome::kSent);
    loop.Until([] { return false; }, Duration(20));
    a.links().Send("slow", heartbeat);
  }
  CHECK(a.lost.empty());
  std::size_t sent = 0;
  while (a.links().Send("slow", large) == SendOutcome::kSent) {
    ++sent;
    REQUIRE(sent * large.head.size() < 2 * settings.max_output_bytes);
  }
  CHECK(a.links().Send("slow", large) == SendOutcome::kNotSent);
  REQUIRE(loop.Until([&] { return a.lost == std::vector<std::string>{"slow"}; }));
}

// Guards against a stalled link that stays up because its output never reaches the limit.
TEST_CASE("a peer that accepts no data for too long loses its link") {
  Loop loop;
  TcpPeerSettings settings;
  settings.stall_timeout = Duration(300);
  Daemon a(&loop, "a", "inc-a", 0, settings);
  RawPeer slow(a.links().port());
  slow.Introduce("slow", "inc-a");
  REQUIRE(loop.Until([&] { return a.up.size() == 1; }));
  HeadReply large;
  large.head = std::string(1'000'000, 'x');
  for (int i = 0; i < 4; ++i) {
    a.links().Send("slow", large);
  }
  REQUIRE(loop.Until([&] { return a.lost == std::vector<std::string>{"slow"}; }));
}

}  // namespace
}  // namespace cranberryplank
