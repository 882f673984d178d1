// Crowds of clients that ignore all limits, against a daemon as a separate process whose settings
// give it little memory. The checks do not depend on the machine's speed: the process lives, its
// memory together with what the kernel holds for its connections stays below the memory of its
// settings, its descriptors stay under their limit, and one ordinary request is answered.

#include "client_crowd.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "daemon_under_test.h"

namespace cranberryplank {

namespace {

constexpr std::size_t kKilobyte = std::size_t{1} << 10U;
constexpr std::size_t kMegabyte = std::size_t{1} << 20U;
constexpr std::size_t kMemoryMb = 64;
constexpr std::size_t kDescriptors = 4'100;
constexpr int kClients = 1'500;
/// Memory and descriptors of the smallest VM.
constexpr std::size_t kSmallestVmMemoryMb = 160;
constexpr std::size_t kSmallestVmDescriptors = 4'100;

/// Returns whether an ordinary client gets an answer. It tries again while it gets none, as clients
/// do; a daemon that never answers fails the test by its time limit.
void RequireAnswer(std::uint16_t port, const std::string& path) {
  const std::string request = "GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  while (!Call(port, request).starts_with("HTTP/1.1 ")) {
  }
}

/// A daemon and the most that it and the kernel held for it.
class MeasuredDaemon {
 public:
  MeasuredDaemon(std::size_t memory_mb, std::size_t max_descriptors)
      : m_memory_mb(memory_mb),
        m_max_descriptors(max_descriptors),
        m_daemon(DaemonOptions{max_descriptors, memory_mb}) {
    RequireAnswer(port(Listener::kCallers), "/");
  }

  DaemonUnderTest& daemon() { return m_daemon; }
  std::uint16_t port(Listener listener) const { return m_daemon.port(listener); }

  void Measure() {
    const std::size_t queues_kb = m_daemon.kernel_queue_bytes() / kKilobyte;
    const std::size_t process_kb = m_daemon.memory_kb();
    m_peak_kb = std::max(m_peak_kb, process_kb + queues_kb);
    m_peak_queues_kb = std::max(m_peak_queues_kb, queues_kb);
    m_descriptors = std::max(m_descriptors, m_daemon.open_descriptors());
  }

  std::function<void()> Observer() {
    return [this] { Measure(); };
  }

  /// Checks that ordinary requests are answered and that all limits were kept.
  void CheckServesWithinLimits() {
    for (const auto& [listener, path] :
         {std::pair{Listener::kCallers, "/"}, std::pair{Listener::kReady, "/ready"},
          std::pair{Listener::kMetrics, "/metrics"}}) {
      RequireAnswer(port(listener), path);
      Measure();
    }
    REQUIRE(m_daemon.alive());
    const std::size_t bound_kb = m_memory_mb * kKilobyte;
    CAPTURE(m_daemon.peak_memory_kb(), m_peak_queues_kb);
    CHECK(m_daemon.peak_memory_kb() < bound_kb);
    CHECK(m_peak_kb < bound_kb);
    CHECK(m_descriptors < m_max_descriptors);
  }

 private:
  std::size_t m_memory_mb;
  std::size_t m_max_descriptors;
  DaemonUnderTest m_daemon;
  std::size_t m_peak_kb = 0;
  std::size_t m_peak_queues_kb = 0;
  std::size_t m_descriptors = 0;
};

std::string Request(std::string_view method, std::string_view path) {
  std::string request(method);
  request += ' ';
  request += path;
  return request + " HTTP/1.1\r\nHost: nowhere\r\nContent-Length: 0\r\n\r\n";
}

std::string RequestWithBody(std::size_t body_bytes, std::size_t sent_bytes) {
  return "POST /no/such/queue HTTP/1.1\r\nHost: nowhere\r\nContent-Length: " +
         std::to_string(body_bytes) + "\r\n\r\n" + std::string(sent_bytes, 'x');
}

/// An incomplete request of many short header lines.
std::string ShortHeaderLines(int lines) {
  std::string request = "GET / HTTP/1.1\r\nHost: nowhere\r\n";
  for (int i = 0; i < lines; ++i) {
    request += "a:b\r\n";
  }
  return request;
}

/// What each client of a crowd sends.
struct Traffic {
  std::string name;
  Listener listener;
  std::string text;  ///< Repeated until `bytes_each` bytes are sent.
  std::size_t bytes_each;
};

Traffic SentAhead(std::string name, Listener listener, std::string_view request) {
  constexpr std::size_t kPatternBytes = 64 << 10;
  return {std::move(name), listener, Repeated(request, kPatternBytes), 8 * kMegabyte};
}

Traffic Once(std::string name, Listener listener, std::string text) {
  const std::size_t bytes = text.size();
  return {std::move(name), listener, std::move(text), bytes};
}

std::vector<Traffic> AllTraffic() {
  constexpr std::size_t kLargeBody = 200 << 10;
  constexpr std::size_t kLongPath = 15'000;
  constexpr std::size_t kIncompleteBody = 250'000;
  return {
      SentAhead("ready, callers' address", Listener::kCallers, Request("GET", "/ready")),
      SentAhead("ready", Listener::kReady, Request("GET", "/ready")),
      SentAhead("metrics", Listener::kMetrics, Request("GET", "/metrics")),
      SentAhead("no route", Listener::kCallers, Request("POST", "/no/such/queue")),
      SentAhead("no route, to daemons", Listener::kDaemons, Request("POST", "/owner")),
      SentAhead("unknown method", Listener::kCallers, Request("BREW", "/no/such/queue")),
      SentAhead("options", Listener::kCallers, Request("OPTIONS", "/no/such/queue")),
      SentAhead("head", Listener::kCallers, Request("HEAD", "/no/such/queue")),
      SentAhead("empty lines", Listener::kCallers, "\r\n"),
      SentAhead("not HTTP", Listener::kCallers, "\x16\x03\x01 this is not HTTP\r\n\r\n"),
      SentAhead("large bodies", Listener::kCallers, RequestWithBody(kLargeBody, kLargeBody)),
      SentAhead("long paths", Listener::kCallers,
                Request("GET", "/" + std::string(kLongPath, 'p'))),
      Once("last byte missing", Listener::kCallers,
           RequestWithBody(kIncompleteBody, kIncompleteBody - 1)),
      Once("last byte missing, to daemons", Listener::kDaemons,
           RequestWithBody(kIncompleteBody, kIncompleteBody - 1)),
      Once("header lines", Listener::kCallers, ShortHeaderLines(500)),
  };
}

}  // namespace

TEST_CASE("a crowd of clients stays within the memory of the settings") {
  const std::vector<Traffic> all = AllTraffic();
  const Traffic traffic = all.at(GENERATE_COPY(range(std::size_t{0}, all.size())));
  DYNAMIC_SECTION(traffic.name) {
    MeasuredDaemon measured(kMemoryMb, kDescriptors);
    {
      ClientCrowd crowd(measured.port(traffic.listener), kClients);
      crowd.Send(traffic.text, traffic.bytes_each, measured.Observer());
      measured.CheckServesWithinLimits();
    }
    measured.CheckServesWithinLimits();
  }
}

// Guards against connections that a daemon has closed and still holds.
TEST_CASE("clients that connect again at once after each closing stay within the memory") {
  const std::vector<Traffic> all = AllTraffic();
  const std::string name = GENERATE("last byte missing", "unknown method", "header lines");
  const auto traffic =
      std::find_if(all.begin(), all.end(), [&](const Traffic& each) { return each.name == name; });
  REQUIRE(traffic != all.end());
  MeasuredDaemon measured(kMemoryMb, kDescriptors);
  ClientCrowd crowd(measured.port(traffic->listener), kClients,
                    ClientCrowd::WhenClosed::kReconnect);
  crowd.Send(traffic->text, traffic->bytes_each, measured.Observer());
  measured.CheckServesWithinLimits();
}

// Guards against limits of which each is kept and whose sum exceeds the memory.
TEST_CASE("all crowds together stay within the memory of the smallest VM") {
  constexpr int kClientsOfEach = 400;
  MeasuredDaemon measured(kSmallestVmMemoryMb, kSmallestVmDescriptors);
  std::vector<std::unique_ptr<ClientCrowd>> crowds;
  for (const Traffic& traffic : AllTraffic()) {
    crowds.push_back(
        std::make_unique<ClientCrowd>(measured.port(traffic.listener), kClientsOfEach));
    crowds.back()->Send(traffic.text, traffic.bytes_each, measured.Observer());
  }
  measured.CheckServesWithinLimits();
}

TEST_CASE("a crowd of thousands stays within the memory of the smallest VM") {
  constexpr int kManyClients = 3'000;
  const std::vector<Traffic> all = AllTraffic();
  const std::string name =
      GENERATE("last byte missing", "large bodies", "long paths", "header lines");
  const auto traffic =
      std::find_if(all.begin(), all.end(), [&](const Traffic& each) { return each.name == name; });
  REQUIRE(traffic != all.end());
  MeasuredDaemon measured(kSmallestVmMemoryMb, kSmallestVmDescriptors);
  ClientCrowd crowd(measured.port(traffic->listener), kManyClients);
  crowd.Send(traffic->text, std::min(traffic->bytes_each, kMegabyte), measured.Observer());
  measured.CheckServesWithinLimits();
}

}  // namespace cranberryplank
