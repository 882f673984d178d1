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
#include "fake_key_value_store.h"
#include "fleet_fixture.h"

namespace cranberryplank {

namespace {

/// Returns a loopback endpoint whose port is free at the time of the call.
Endpoint FreeEndpoint() {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  REQUIRE(bind(socket, reinterpret_cast<sockaddr*>(&address), size) == 0);
  REQUIRE(getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) == 0);
  close(socket);
  return {"127.0.0.1", ntohs(address.sin_port)};
}

/// Decodes one queue that is open to all, and every request as a submission to it.
class SubmissionFormat : public WaveFormat {
 public:
  bool IsConfigKey(std::string_view key) const override { return key == "op/config"; }
  std::optional<ClusterConfig> DecodeConfig(const KvItem&) const override {
    ClusterConfig config;
    config.version = 1;
    QueueConfig queue;
    queue.name = "queue";
    queue.pool = "pool";
    queue.host = "x";
    queue.path_prefix = "/";
    queue.open_to_all = true;
    config.queues.push_back(queue);
    return config;
  }
  std::optional<CallerRequest> DecodeCall(std::string_view, std::string_view rest) const override {
    return CallerRequest{CallKind::kSubmit, std::string(rest)};
  }
};

/// A store that has a configuration.
struct ConfiguredStore : FakeKeyValueStore {
  ConfiguredStore() { Put("op/config", "version 1"); }
};

/// A daemon whose store replies only when told to, and a caller with one connection to it.
class ShutdownFixture {
 public:
  ShutdownFixture()
      : m_base(event_base_new(), &event_base_free),
        m_http(m_base.get(), HttpClientLimits{}),
        m_random(1),
        m_settings(Settings()),
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

  void SendRequest() {
    const std::string text = "POST /job HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}";
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
  static JobSettings Settings() {
    JobSettings settings;
    settings.node = "entry-1";
    settings.caller_listen = FreeEndpoint();
    settings.ready_listen = FreeEndpoint();
    settings.daemon_listen = FreeEndpoint();
    settings.metrics_listen = FreeEndpoint();
    return settings;
  }

  std::unique_ptr<event_base, decltype(&event_base_free)> m_base;
  HttpClient m_http;
  SeededRandom m_random;
  KeepingLink m_workers;
  SubmissionFormat m_format;
  JobSettings m_settings;
  JobService m_service;
  int m_caller = -1;
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
  while (!fixture.service().finished(later) && Clock::now() < stopped + Duration(5'000)) {
    fixture.RunOneTurn();
  }
  CHECK(fixture.service().finished(later));
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
  while (!fixture.service().finished(Clock::now())) {
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
  CHECK(fixture.service().finished(stopped + fixture.settings().shutdown_grace));
  const TimePoint last = stopped + fixture.settings().shutdown_grace - Duration(900);
  while (!fixture.service().finished(last) && Clock::now() < stopped + Duration(5'000)) {
    fixture.RunOneTurn();
  }
  CHECK(fixture.service().finished(last));
  CHECK(fixture.Received().find("HTTP/1.1 503") == 0);
}

}  // namespace cranberryplank
