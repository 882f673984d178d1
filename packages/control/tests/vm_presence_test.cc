#include "vm_presence.h"

#include <catch2/catch.hpp>

namespace cranberryplank {
namespace {

constexpr TimePoint kStart{Duration(10'000)};

class ListStub : public VmDirectory {
 public:
  void List(std::string_view, ListCallback done) override { m_done = std::move(done); }
  void WatchIndex(std::string_view, std::uint64_t, Duration, IndexCallback) override {}
  void Answer(TimePoint now, std::initializer_list<const char*> vms) {
    std::vector<VmListing> listings;
    for (const char* vm : vms) {
      listings.push_back(VmListing{vm, false});
    }
    m_done(now, VmList{listings, 0}, "");
  }

 private:
  ListCallback m_done;
};

class VmPresenceTest {
 public:
  VmPresenceTest() {
    for (const char* name : {"a", "b", "c", "d"}) {
      m_head.daemons.push_back(DaemonRecord{name, name, "", "", 0, "", 0});
    }
    Read({"a", "b", "c", "d"});
  }
  void Read(std::initializer_list<const char*> vms) {
    m_presence.Tick(m_now, m_head);
    m_directory.Answer(m_now + Duration(5), vms);
    m_now += Duration(1'000);
  }

 protected:
  TimePoint m_now = kStart;
  Head m_head;
  ListStub m_directory;
  FreshnessTracker m_freshness{"a"};
  VmPresence m_presence{"a", m_directory, m_freshness};
};

TEST_CASE_METHOD(VmPresenceTest, "a VM is missing after two consecutive reads without it") {
  Read({"a", "b", "c"});
  CHECK(m_presence.MissingDaemons().empty());
  Read({"a", "b", "c", "d"});
  Read({"a", "b", "c"});
  CHECK(m_presence.MissingDaemons().empty());
  Read({"a", "b", "c"});
  CHECK(m_presence.MissingDaemons() == std::set<std::string>{"d"});
}

// Guards against removing live daemons on a truncated list, and against never removing any after
// the loss of most VMs.
TEST_CASE_METHOD(
    VmPresenceTest,
    "a list without over a third of the previously listed VMs counts only after 30 s") {
  Read({"a"});
  Read({"a"});
  Read({"a"});
  CHECK(m_presence.MissingDaemons().empty());
  for (int i = 0; i < 30; ++i) {
    Read({"a"});
  }
  CHECK(m_presence.MissingDaemons() == std::set<std::string>{"b", "c", "d"});
}

TEST_CASE_METHOD(VmPresenceTest, "a list without the reader's own VM is always rejected") {
  for (int i = 0; i < 60; ++i) {
    Read({});
  }
  CHECK(m_presence.MissingDaemons().empty());
}

// Guards against a wrong list removing a daemon that answers, and against counting reads from
// before its last answer once it stops answering.
TEST_CASE_METHOD(VmPresenceTest, "a daemon that answers is not missing") {
  Read({"a", "b", "c"});
  Read({"a", "b", "c"});
  m_freshness.HeartbeatSent(m_now, "d", 1);
  Heartbeat heartbeat;
  heartbeat.echo_incarnation = std::string("a");
  heartbeat.echo_sequence = 1;
  m_freshness.HeartbeatReceived("d", heartbeat);
  CHECK(m_presence.MissingDaemons().empty());
  m_now += Duration(1'000);
  Read({"a", "b", "c"});
  CHECK(m_presence.MissingDaemons().empty());
  Read({"a", "b", "c"});
  CHECK(m_presence.MissingDaemons() == std::set<std::string>{"d"});
}

}  // namespace
}  // namespace cranberryplank
