#include <arpa/inet.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "cranberryplank/entry/job_service.h"
#include "cranberryplank/platform/http_client.h"
#include "daemon_fixture.h"
#include "fake_key_value_store.h"
#include "fleet_fixture.h"

namespace cranberryplank {

namespace {

/// A daemon whose store replies only when told to, and a caller with one connection to it.
class ShutdownFixture {
 public:
  ShutdownFixture()
      : m_base(event_base_new(), &event_base_free),
        m_http(m_base.get(), HttpClientLimits{}),
        m_random(1),
        m_settings(SettingsOf("entry-1")),
        m_service(m_base.get(), m_settings,
                  {&store, &m_workers, nullptr, &m_format, &m_http, &m_random}) {
    REQUIRE(m_service.Listen());
    m_caller = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(m_settings.caller_listen.port);
    REQUIRE(connect(m_caller, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
  }
  ~ShutdownFixture() { close(m_caller); }
  ShutdownFixture(const ShutdownFixture&) = delete;
  ShutdownFixture& operator=(const ShutdownFixture&) = delete;

  void SendRequest(const std::string& method = "POST") {
    const std::string text = method + " /job HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}";
    REQUIRE(send(m_caller, text.data(), text.size(), 0) == static_cast<ssize_t>(text.size()));
  }

  /// Handles the events that are due now, as one turn of the daemon's loop does.
  void RunOneTurn() { event_base_loop(m_base.get(), EVLOOP_ONCE | EVLOOP_NONBLOCK); }

  /// Runs turns of the loop, with ticks, until the service has read the request.
  void RunUntilRequestIsRead() {
    for (int i = 0; i < 1'000 && m_service.open_requests() == 0; ++i) {
      RunOneTurn();
      usleep(1'000);
    }
    REQUIRE(m_service.open_requests() == 1);
  }

  /// Returns what the caller has received.
  std::string Received() const {
    std::string text(4'096, '\0');
    const ssize_t size = recv(m_caller, text.data(), text.size(), MSG_DONTWAIT);
    text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
    return text;
  }

  JobService& service() { return m_service; }
  const JobSettings& settings() const { return m_settings; }

  ConfiguredStore store;

 private:
  std::unique_ptr<event_base, decltype(&event_base_free)> m_base;
  HttpClient m_http;
  SeededRandom m_random;
  KeepingLink m_workers;
  SubmissionFormat m_format;
  JobSettings m_settings;
  JobService m_service;
  int m_caller = -1;
};

/// Keeps only the watch of the workers' registrations open.
struct WorkerWatchStore : ConfiguredStore {
  void Watch(std::string_view prefix, std::uint64_t revision, Duration wait,
             ReadCallback done) override {
    if (prefix == "servers/") {
      ConfiguredStore::Watch(prefix, revision, wait, std::move(done));
    }
  }
};

/// An owner of the schedule and another daemon, which calls it. Both use one store.
class HandOverFixture {
 public:
  /// @param peer_cores processing power of the other daemon's VM; that of the owner's VM is 1
  explicit HandOverFixture(double peer_cores)
      : m_base(event_base_new(), &event_base_free),
        m_http(m_base.get(), HttpClientLimits{}),
        m_random(1) {
    m_owner = MakeService(SettingsOf("owner"), &m_link);
    RunUntil([&] { return store.Value("duty/schedule").find("owner") != std::string::npos; });
    JobSettings settings = SettingsOf("peer");
    settings.cpu_share = peer_cores;
    m_peer = MakeService(settings, &m_peer_link);
    RunFor(Duration(800));  // The peer calls the owner.
    REQUIRE(OwnerInStore() == "owner");
  }

  JobService& owner() { return *m_owner; }
  JobService& peer() { return *m_peer; }

  std::string OwnerInStore() const {
    const auto record = DecodeOwnership(store.Value("duty/schedule"));
    return record ? record->owner : std::string();
  }

  void RunFor(Duration time) {
    const TimePoint end = Clock::now() + time;
    RunUntil([&] { return Clock::now() >= end; });
  }

  /// Returns whether the owner sends orders to a worker that registers now.
  bool OwnerSendsOrders() {
    const std::size_t before = m_link.renewals.size();
    store.Put("servers/worker", "registered");
    KvReadReply reply;
    reply.status = KvStatus::kOk;
    reply.revision = store.revision();
    reply.items.push_back({"servers/worker", "registered", store.revision(), false});
    store.EndWatch(Clock::now(), reply);
    RunFor(Duration(200));
    return m_link.renewals.size() > before;
  }

  WorkerWatchStore store;

 private:
  std::unique_ptr<JobService> MakeService(const JobSettings& settings, KeepingLink* link) {
    auto service = std::make_unique<JobService>(
        m_base.get(), settings,
        JobServiceParts{&store, link, nullptr, &m_format, &m_http, &m_random});
    REQUIRE(service->Listen());
    return service;
  }

  template <typename Condition>
  void RunUntil(Condition condition) {
    const TimePoint limit = Clock::now() + Duration(5'000);
    while (!condition() && Clock::now() < limit) {
      const Now now{Clock::now(), UnixMilliseconds()};
      store.Deliver(now.time);
      m_owner->Tick(now);
      if (m_peer) {
        m_peer->Tick(now);
      }
      event_base_loop(m_base.get(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
      usleep(1'000);
    }
    REQUIRE(condition());
  }

  std::unique_ptr<event_base, decltype(&event_base_free)> m_base;
  HttpClient m_http;
  SeededRandom m_random;
  KeepingLink m_link;
  KeepingLink m_peer_link;
  WorkerFormat m_format;
  std::unique_ptr<JobService> m_owner;
  std::unique_ptr<JobService> m_peer;
};

}  // namespace

// Guards against a whole request that gets no answer: the process ended in the turn of the event
// loop in which the last response was given, before the next turn wrote it.
TEST_CASE("a stopping daemon ends only once its last response is written") {
  ShutdownFixture fixture;
  const TimePoint stopped = Clock::now();
  fixture.service().BeginShutdown(stopped);
  fixture.SendRequest();
  fixture.RunUntilRequestIsRead();  // Refused at once, because no configuration is known yet.
  const TimePoint later = stopped + Duration(3'000);
  while (!fixture.service().AdvanceShutdown(later) && Clock::now() < stopped + Duration(5'000)) {
    fixture.RunOneTurn();
  }
  CHECK(fixture.service().AdvanceShutdown(later));
  CHECK(fixture.Received().find("HTTP/1.1 503") == 0);
}

// Guards against a whole request that gets no answer: a request that arrived late in the grace
// period was still waiting for an owner of the schedule when the process had to end.
TEST_CASE("a stopping daemon answers all requests before its grace period ends") {
  ShutdownFixture fixture;
  fixture.store.Deliver(Clock::now());  // Loads the configuration. The schedule has no owner.
  const TimePoint stopped = Clock::now() - fixture.settings().shutdown_grace + Duration(1'900);
  fixture.service().BeginShutdown(stopped);
  fixture.SendRequest();
  fixture.RunUntilRequestIsRead();
  while (!fixture.service().AdvanceShutdown(Clock::now())) {
    fixture.service().Tick({Clock::now(), UnixMilliseconds()});
    fixture.RunOneTurn();
    usleep(1'000);
  }
  CHECK(fixture.service().open_requests() == 0);
  CHECK(fixture.Received().find("HTTP/1.1 503") == 0);
}

// Guards against a whole request that gets no answer: a daemon without a successor ended in the
// turn of the event loop in which its last response was given, because no more time was left.
TEST_CASE("a daemon that ends with its grace period writes its last response") {
  ShutdownFixture fixture;
  const TimePoint stopped = Clock::now();
  fixture.service().BeginShutdown(stopped);
  fixture.SendRequest();
  fixture.RunUntilRequestIsRead();
  CHECK(fixture.service().AdvanceShutdown(stopped + fixture.settings().shutdown_grace));
  const TimePoint last = stopped + fixture.settings().shutdown_grace - Duration(900);
  while (!fixture.service().AdvanceShutdown(last) && Clock::now() < stopped + Duration(5'000)) {
    fixture.RunOneTurn();
  }
  CHECK(fixture.service().AdvanceShutdown(last));
  CHECK(fixture.Received().find("HTTP/1.1 503") == 0);
}

// Guards against a whole request that gets no answer: the process ended in the turn of the event
// loop that accepted its connection, before the next turn read it.
TEST_CASE("a stopping daemon answers a request whose connection was accepted last") {
  ShutdownFixture fixture;
  const TimePoint stopped = Clock::now();
  fixture.service().BeginShutdown(stopped);
  fixture.SendRequest();
  fixture.RunOneTurn();
  REQUIRE(fixture.service().open_requests() == 0);  // The connection is accepted, but not read.
  const TimePoint later = stopped + Duration(3'000);
  while (!fixture.service().AdvanceShutdown(later) && Clock::now() < stopped + Duration(5'000)) {
    fixture.RunOneTurn();
  }
  CHECK(fixture.service().AdvanceShutdown(later));
  CHECK(fixture.Received().find("HTTP/1.1 503") == 0);
}

// Guards against a whole request that gets no answer: evhttp refuses a method itself, so the daemon
// does not count the request as open, and ended before the refusal was written.
TEST_CASE("a stopping daemon writes the response to a request that its HTTP server refuses") {
  ShutdownFixture fixture;
  const TimePoint stopped = Clock::now();
  fixture.service().BeginShutdown(stopped);
  fixture.SendRequest("PATCH");
  fixture.RunOneTurn();  // Accepts the connection.
  fixture.RunOneTurn();  // Reads the request.
  const TimePoint later = stopped + Duration(3'000);
  while (!fixture.service().AdvanceShutdown(later) && Clock::now() < stopped + Duration(5'000)) {
    fixture.RunOneTurn();
  }
  CHECK(fixture.service().AdvanceShutdown(later));
  CHECK(fixture.Received().find("HTTP/1.1 501") == 0);
}

// Guards against a schedule without an owner while all daemons are being stopped: the owner stopped
// acting seconds before its process ended, though all others had refused to take over.
TEST_CASE("a stopping owner acts until another daemon takes over") {
  HandOverFixture fixture(1);
  fixture.peer().BeginShutdown(Clock::now());
  fixture.owner().BeginShutdown(Clock::now());
  fixture.RunFor(Duration(300));
  CHECK(fixture.OwnerInStore() == "owner");
  CHECK(fixture.OwnerSendsOrders());
}

// Guards against a schedule that stays with a daemon that ends, though another could take over.
TEST_CASE("a stopping owner hands over to a daemon that runs on") {
  HandOverFixture fixture(1);
  fixture.owner().BeginShutdown(Clock::now());
  fixture.RunFor(Duration(600));
  CHECK(fixture.OwnerInStore() == "peer");
}

// Guards against a schedule whose owner reads the state for seconds: the stopping owner handed over
// to a weak VM, because all others were being stopped too.
TEST_CASE("a stopping owner does not hand over to a weak VM while it can wait") {
  HandOverFixture fixture(0.12);
  fixture.owner().BeginShutdown(Clock::now());
  fixture.RunFor(Duration(1'000));
  CHECK(fixture.OwnerInStore() == "owner");
  CHECK(fixture.OwnerSendsOrders());
}

// Guards against a schedule that stays with a daemon that ends, because only weak VMs run on.
TEST_CASE("a stopping owner hands over to a weak VM before it ends") {
  HandOverFixture fixture(0.12);
  fixture.owner().BeginShutdown(Clock::now() - Duration(3'200));
  fixture.RunFor(Duration(1'500));
  CHECK(fixture.OwnerInStore() == "peer");
}

}  // namespace cranberryplank
