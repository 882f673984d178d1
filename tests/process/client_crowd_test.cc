// Crowds of clients that ignore all limits, against a daemon as a separate process whose settings
// give it little memory. The checks do not depend on the machine's speed: the process lives, its
// memory together with what the kernel holds for its connections stays below the memory of its
// settings, its descriptors stay under their limit, and one ordinary request is answered.

#include "client_crowd.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "measured_daemon.h"

namespace cranberryplank {

namespace {

constexpr std::size_t kMegabyte = std::size_t{1} << 20U;
constexpr std::size_t kMemoryMb = 64;
constexpr std::size_t kDescriptors = 4'100;
constexpr int kClients = 1'500;
/// Memory and descriptors of the smallest VM.
constexpr std::size_t kSmallestVmMemoryMb = 160;
constexpr std::size_t kSmallestVmDescriptors = 4'100;

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

Traffic TrafficNamed(std::string_view name) {
  const std::vector<Traffic> all = AllTraffic();
  const auto found =
      std::find_if(all.begin(), all.end(), [&](const Traffic& each) { return each.name == name; });
  REQUIRE(found != all.end());
  return *found;
}

}  // namespace

TEST_CASE("a crowd of clients stays within the memory of the settings") {
  const std::vector<Traffic> all = AllTraffic();
  const Traffic traffic = all.at(GENERATE_COPY(range(std::size_t{0}, all.size())));
  DYNAMIC_SECTION(traffic.name) {
    MeasuredDaemon measured({kDescriptors, kMemoryMb});
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
  const Traffic traffic =
      TrafficNamed(GENERATE("last byte missing", "unknown method", "header lines"));
  MeasuredDaemon measured({kDescriptors, kMemoryMb});
  ClientCrowd crowd(measured.port(traffic.listener), kClients, ClientCrowd::WhenClosed::kReconnect);
  crowd.Send(traffic.text, traffic.bytes_each, measured.Observer());
  measured.CheckServesWithinLimits();
}

// Guards against a daemon that takes the slowest reading for progress and closes none of them.
TEST_CASE("clients that read a byte at a time stay within the memory") {
  const Traffic traffic = TrafficNamed(GENERATE("ready, callers' address", "no route", "options"));
  MeasuredDaemon measured({kDescriptors, kMemoryMb});
  ClientCrowd crowd(measured.port(traffic.listener), kClients);
  crowd.Send(traffic.text, traffic.bytes_each, [&] {
    crowd.ReadFromEach(1);
    measured.Measure();
  });
  measured.CheckServesWithinLimits();
}

// Guards against limits of which each is kept and whose sum exceeds the memory.
TEST_CASE("all crowds together stay within the memory of the smallest VM") {
  constexpr int kClientsOfEach = 400;
  MeasuredDaemon measured({kSmallestVmDescriptors, kSmallestVmMemoryMb});
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
  const Traffic traffic =
      TrafficNamed(GENERATE("last byte missing", "large bodies", "long paths", "header lines"));
  MeasuredDaemon measured({kSmallestVmDescriptors, kSmallestVmMemoryMb});
  ClientCrowd crowd(measured.port(traffic.listener), kManyClients);
  crowd.Send(traffic.text, std::min(traffic.bytes_each, kMegabyte), measured.Observer());
  measured.CheckServesWithinLimits();
}

}  // namespace cranberryplank
