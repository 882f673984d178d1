#include "cranberryplank/support/memory_peer_links.h"

#include <catch2/catch.hpp>
#include <map>
#include <memory>

namespace cranberryplank {
namespace {

/// Two linked daemons on an event queue with simulated time.
class Fixture {
 public:
  Fixture() {
    Wire(a.get(), &received_a, &lost_a);
    Wire(b.get(), &received_b, &lost_b);
    SetPeers();
    Advance(Duration(0));
    REQUIRE(ups == 2);  // Once on each side.
  }

  void Advance(Duration duration) {
    const TimePoint end = m_now + duration;
    while (!m_actions.empty() && m_actions.begin()->first <= end) {
      const auto entry = m_actions.extract(m_actions.begin());
      m_now = std::max(m_now, entry.key());
      entry.mapped()(m_now);
    }
    m_now = end;
  }

  void SetPeers() {
    std::vector<DaemonRecord> records(2);
    records[0].incarnation = "a";
    records[1].incarnation = "b";
    a->SetPeers(m_now, records);
    b->SetPeers(m_now, records);
  }

  void SendNumbers(MemoryPeerLinks* from, const std::string& to, std::uint64_t count) {
    for (std::uint64_t i = 1; i <= count; ++i) {
      CHECK(from->Send(to, HeadRequest{i, {}}) == SendOutcome::kSent);
    }
  }

  TimePoint now() const { return m_now; }

  struct Received {
    TimePoint at;
    std::uint64_t id;
  };
  std::vector<Received> received_a, received_b;
  std::vector<std::string> lost_a, lost_b;
  int ups = 0;

 private:
  void Wire(MemoryPeerLinks* links, std::vector<Received>* received,
            std::vector<std::string>* lost) {
    links->signal_message().connect(
        [received](TimePoint at, const std::string&, const PeerMessage& message) {
          received->push_back({at, std::get<HeadRequest>(message).request_id});
        });
    links->signal_lost().connect(
        [lost](TimePoint, const std::string& peer) { lost->push_back(peer); });
    links->signal_up().connect([this](TimePoint, const std::string&) { ++ups; });
  }

  TimePoint m_now{};
  std::multimap<TimePoint, MemoryPeerNetwork::Action> m_actions;
  SeededRandom m_random{1};

 public:
  MemoryPeerNetwork network{[this](TimePoint at, MemoryPeerNetwork::Action action) {
                              m_actions.emplace(at, std::move(action));
                            },
                            [this] { return m_now; }, &m_random};
  std::unique_ptr<MemoryPeerLinks> a = std::make_unique<MemoryPeerLinks>(&network, "a");
  std::unique_ptr<MemoryPeerLinks> b = std::make_unique<MemoryPeerLinks>(&network, "b");
};

// Guards against delays that reorder messages, which TCP never does.
TEST_CASE("delayed messages arrive in order and within the delay") {
  Fixture f;
  f.network.SetDelay("a", "b", Duration(10), Duration(500));
  f.SendNumbers(f.a.get(), "b", 50);
  f.Advance(Duration(9));
  CHECK(f.received_b.empty());
  f.Advance(Duration(491));
  REQUIRE(f.received_b.size() == 50);
  for (std::uint64_t i = 0; i < 50; ++i) {
    CHECK(f.received_b[i].id == i + 1);
  }
}

// Guards against a one-way partition that also drops the other direction, or that never breaks the
// link.
TEST_CASE("a one-way partition drops one direction and breaks the link in the end") {
  Fixture f;
  f.network.Partition("a", "b");
  f.SendNumbers(f.a.get(), "b", 1);
  f.SendNumbers(f.b.get(), "a", 1);
  f.Advance(Duration(4'999));
  CHECK(f.received_b.empty());
  CHECK(f.received_a.size() == 1);
  CHECK(f.lost_a.empty());
  f.Advance(Duration(1));
  CHECK(f.lost_a == std::vector<std::string>{"b"});
  CHECK(f.lost_b == std::vector<std::string>{"a"});
  CHECK(f.a->Send("b", HeadRequest{2, {}}) == SendOutcome::kNotSent);
  f.network.Heal("a", "b");
  f.Advance(Duration(1'000));
  f.SendNumbers(f.a.get(), "b", 1);
  f.Advance(Duration(0));
  CHECK(f.received_b.size() == 1);
}

TEST_CASE("loss drops the configured fraction of messages") {
  Fixture f;
  f.network.SetLoss("a", "b", 0.5);
  f.SendNumbers(f.a.get(), "b", 1'000);
  f.Advance(Duration(0));
  CHECK(f.received_b.size() > 400);
  CHECK(f.received_b.size() < 600);
}

// Guards against a pause that loses messages or stamps them with the time of their arrival.
TEST_CASE("a paused daemon reads its messages late and in order") {
  Fixture f;
  f.network.Pause("b");
  f.SendNumbers(f.a.get(), "b", 3);
  f.Advance(Duration(3'000));
  CHECK(f.received_b.empty());
  f.network.Resume("b");
  f.a->Send("b", HeadRequest{4, {}});
  f.Advance(Duration(0));
  REQUIRE(f.received_b.size() == 4);
  for (std::uint64_t i = 0; i < 4; ++i) {
    CHECK(f.received_b[i].id == i + 1);
    CHECK(f.received_b[i].at == f.now());
  }
}

// Guards against delivering messages of a terminated or removed process.
TEST_CASE("termination and removal break the link and drop messages in transit") {
  Fixture f;
  f.network.SetDelay("a", "b", Duration(10), Duration(10));
  f.network.SetDelay("b", "a", Duration(10), Duration(10));
  f.SendNumbers(f.b.get(), "a", 1);
  SECTION("termination") { f.b.reset(); }
  SECTION("removal") { f.a->SetPeers(f.now(), {}); }
  f.Advance(Duration(2'000));
  CHECK(f.lost_a == std::vector<std::string>{"b"});
  CHECK(f.received_a.empty());
  CHECK(f.a->Send("b", HeadRequest{1, {}}) == SendOutcome::kNotSent);
}

}  // namespace
}  // namespace cranberryplank
