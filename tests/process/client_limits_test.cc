// Clients that ignore all limits, against a daemon as a separate process. The checks do not depend
// on the machine's speed: the process lives, its memory and descriptors stay under a bound, and one
// ordinary request is answered afterwards.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cerrno>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "daemon_under_test.h"

namespace cranberryplank {

namespace {

/// A third of the memory of the smallest machine, which has 160 MB.
constexpr std::size_t kMemoryBoundKb = std::size_t{160} * 1'024 / 3;
/// Limit of the daemon's open descriptors, far below that of the smallest machine.
constexpr std::size_t kDescriptors = 256;
constexpr std::size_t kMegabyte = std::size_t{1} << 20U;
/// A client stops sending after this many polls in which the daemon took nothing.
constexpr int kIdlePolls = 10;
constexpr int kPollMs = 50;
constexpr int kTurns = 100;

/// A connection to the daemon that sends without reading.
class Client {
 public:
  explicit Client(std::uint16_t port) : m_socket(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    m_connected = connect(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    fcntl(m_socket, F_SETFL, fcntl(m_socket, F_GETFL) | O_NONBLOCK);
  }
  ~Client() { close(m_socket); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  bool connected() const { return m_connected; }

  /// Sends until `bytes` are sent, the connection breaks or the daemon takes nothing for a while.
  /// @param text repeated as often as needed
  void Send(std::string_view text, std::size_t bytes) {
    std::size_t offset = 0;
    for (int idle = 0; bytes > 0 && idle < kIdlePolls;) {
      const std::string_view piece = text.substr(offset, bytes);
      const ssize_t sent = send(m_socket, piece.data(), piece.size(), MSG_NOSIGNAL);
      if (sent < 0 && errno != EAGAIN) {
        return;
      }
      if (sent <= 0) {
        pollfd writable{m_socket, POLLOUT, 0};
        idle += poll(&writable, 1, kPollMs) > 0 ? 0 : 1;
        continue;
      }
      bytes -= static_cast<std::size_t>(sent);
      offset = (offset + static_cast<std::size_t>(sent)) % text.size();
    }
  }

  /// Returns the first bytes of what the daemon sends; empty if the connection is closed first.
  std::string Read() const {
    pollfd readable{m_socket, POLLIN, 0};
    poll(&readable, 1, -1);
    std::string text(64, '\0');
    const ssize_t size = recv(m_socket, text.data(), text.size(), 0);
    text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
    return text;
  }

 private:
  int m_socket;
  bool m_connected = false;
};

using ClientList = std::vector<std::unique_ptr<Client>>;

ClientList Connect(std::uint16_t port, int count) {
  ClientList clients;
  for (int i = 0; i < count; ++i) {
    clients.push_back(std::make_unique<Client>(port));
  }
  return clients;
}

/// Lets all clients send at the same time.
void SendAll(const ClientList& clients, std::string_view text, std::size_t bytes_each) {
  std::vector<std::thread> threads;
  for (const auto& client : clients) {
    threads.emplace_back([&client, text, bytes_each] { client->Send(text, bytes_each); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

std::string PipelinedRequests(const std::string& method, const std::string& path) {
  constexpr int kRequests = 200;
  const std::string request =
      method + " " + path + " HTTP/1.1\r\nHost: nowhere\r\nContent-Length: 0\r\n\r\n";
  std::string text;
  for (int i = 0; i < kRequests; ++i) {
    text += request;
  }
  return text;
}

/// Returns whether an ordinary client gets an answer. It tries again while it gets none, as clients
/// do; a daemon that never answers fails the test by its time limit.
void RequireAnswer(std::uint16_t port, const std::string& path) {
  const std::string request = "GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  std::string answer;
  while (!answer.starts_with("HTTP/1.1 ")) {
    Client client(port);
    client.Send(request, request.size());
    answer = client.Read();
  }
}

/// Starts a daemon that answers.
std::unique_ptr<DaemonUnderTest> StartDaemon(std::size_t max_descriptors = kDescriptors) {
  auto daemon = std::make_unique<DaemonUnderTest>(DaemonOptions{max_descriptors});
  RequireAnswer(daemon->port(Listener::kCallers), "/");
  return daemon;
}

/// @param max_descriptors limit of the process's open descriptors
void CheckBounds(const DaemonUnderTest& daemon, std::size_t max_descriptors) {
  REQUIRE(daemon.alive());
  CHECK(daemon.peak_memory_kb() < kMemoryBoundKb);
  CHECK(daemon.open_descriptors() < max_descriptors);
}

void CheckServes(const DaemonUnderTest& daemon, std::size_t max_descriptors = kDescriptors) {
  // Each answer takes a turn of the daemon's loop, in which it also reads a piece of what the
  // clients have sent.
  for (int turn = 0; turn < kTurns; ++turn) {
    RequireAnswer(daemon.port(Listener::kCallers), "/");
  }
  RequireAnswer(daemon.port(Listener::kReady), "/ready");
  RequireAnswer(daemon.port(Listener::kMetrics), "/metrics");
  CheckBounds(daemon, max_descriptors);
}

}  // namespace

// Guards against a daemon that reads pipelined requests without a bound while a response waits to
// be read.
TEST_CASE("pipelined requests with unread responses are bounded") {
  struct Target {
    Listener listener;
    std::string method;
    std::string path;
  };
  const Target target = GENERATE(Target{Listener::kCallers, "GET", "/no/such/queue"},
                                 Target{Listener::kCallers, "POST", "/no/such/queue"},
                                 Target{Listener::kDaemons, "POST", "/owner"},
                                 Target{Listener::kReady, "GET", "/ready"},
                                 Target{Listener::kMetrics, "GET", "/metrics"});
  const auto daemon = StartDaemon();
  {
    const ClientList clients = Connect(daemon->port(target.listener), 16);
    SendAll(clients, PipelinedRequests(target.method, target.path), 16 * kMegabyte);
    CheckServes(*daemon);
  }
  CheckServes(*daemon);
}

// Guards against a daemon that holds any number of requests whose last byte never comes.
TEST_CASE("incomplete requests are bounded over all connections") {
  const Listener listener = GENERATE(Listener::kCallers, Listener::kDaemons);
  const auto daemon = StartDaemon();
  const std::string request =
      "POST /no/such/queue HTTP/1.1\r\nHost: x\r\nContent-Length: 250000\r\n\r\n" +
      std::string(249'000, 'x');
  const ClientList clients = Connect(daemon->port(listener), 200);
  for (const auto& client : clients) {
    client->Send(request, request.size());
  }
  CheckServes(*daemon);
}

// Guards against a count of what the HTTP library has not parsed yet: chunks and header lines that
// it has taken from the connection's buffer still take memory.
TEST_CASE("chunks and header lines of incomplete requests are bounded") {
  const bool chunked = GENERATE(true, false);
  std::string request = "POST /no/such/queue HTTP/1.1\r\nHost: x\r\n";
  if (chunked) {
    request += "Transfer-Encoding: chunked\r\n\r\n3c000\r\n" + std::string(0x3c000, 'x') + "\r\n";
  }
  while (!chunked && request.size() < 15'000) {
    request += "a:b\r\n";
  }
  constexpr std::size_t kManyDescriptors = 1'024;
  const auto daemon = StartDaemon(kManyDescriptors);
  const ClientList clients = Connect(daemon->port(Listener::kCallers), 300);
  for (const auto& client : clients) {
    client->Send(request, request.size());
  }
  CheckServes(*daemon, kManyDescriptors);
}

// Guards against connections that never send a request and use up the descriptors, so that an
// ordinary client cannot connect.
TEST_CASE("idle connections leave descriptors for ordinary clients") {
  const Listener listener =
      GENERATE(Listener::kCallers, Listener::kDaemons, Listener::kReady, Listener::kMetrics);
  const auto daemon = StartDaemon();
  const ClientList clients = Connect(daemon->port(listener), static_cast<int>(kDescriptors) + 50);
  CheckServes(*daemon);
}

// Guards against a daemon that keeps the memory of clients that have disconnected.
TEST_CASE("the memory of disconnected clients is used again") {
  const auto daemon = StartDaemon();
  for (int i = 0; i < 3; ++i) {
    const ClientList clients = Connect(daemon->port(Listener::kCallers), 16);
    SendAll(clients, PipelinedRequests("GET", "/no/such/queue"), 8 * kMegabyte);
  }
  CheckServes(*daemon);
  CHECK(daemon->memory_kb() < kMemoryBoundKb);
}

}  // namespace cranberryplank
