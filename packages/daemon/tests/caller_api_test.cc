#include "cranberryplank/daemon/caller_api.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "router_fixture.h"

namespace cranberryplank {
namespace {

/// Returns a loopback port that is free at the time of the call.
std::uint16_t FreePort() {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  REQUIRE(bind(socket, reinterpret_cast<sockaddr*>(&address), size) == 0);
  REQUIRE(getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) == 0);
  close(socket);
  return ntohs(address.sin_port);
}

/// Client side of a connection, which runs the server's event loop while it reads.
class RawConnection {
 public:
  RawConnection(event_base* base, std::uint16_t port)
      : m_base(base), m_socket(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    REQUIRE(connect(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    fcntl(m_socket, F_SETFL, O_NONBLOCK);
  }
  ~RawConnection() { Close(); }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  void Write(const std::string& text) {
    REQUIRE(send(m_socket, text.data(), text.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(text.size()));
  }

  /// Runs the loop until the answer contains `wanted`, the connection is closed or one second has
  /// passed.
  std::string ReadUntil(const std::string& wanted) {
    std::string text;
    for (int i = 0; i < 200 && text.find(wanted) == std::string::npos; ++i) {
      RunLoop();
      char buffer[4096];
      const ssize_t size = recv(m_socket, buffer, sizeof buffer, 0);
      if (size == 0) {
        return text + "<closed>";
      }
      text.append(buffer, size > 0 ? static_cast<std::size_t>(size) : 0);
    }
    return text;
  }

  void RunLoop() {
    event_base_loop(m_base, EVLOOP_NONBLOCK);
    usleep(5'000);
  }

  void CloseForSending() const { REQUIRE(shutdown(m_socket, SHUT_WR) == 0); }

  void Close() {
    if (m_socket >= 0) {
      close(m_socket);
      m_socket = -1;
    }
  }

 private:
  event_base* m_base;
  int m_socket;
};

class CallerApiFixture {
 public:
  CallerApiFixture()
      : m_base(event_base_new(), &event_base_free),
        m_api(&m_settings, m_router.node(0).router.get(), &m_metrics),
        m_server(m_base.get(), ApiLimits{1'000, 2'000, Duration(1'000)},
                 [this](TimePoint, const std::shared_ptr<ApiExchange>& exchange) {
                   // The router uses the simulated clock of its fixture.
                   if (!m_api.Handle(m_router.queue().Now(), exchange)) {
                     exchange->Reply(ApiResponse{404, "text/plain", "", {}});
                   }
                 }),
        m_port(FreePort()) {
    REQUIRE(m_server.Listen(Endpoint{"127.0.0.1", m_port}));
  }

  std::unique_ptr<RawConnection> Connect() {
    return std::make_unique<RawConnection>(m_base.get(), m_port);
  }

  static std::string Post(const std::string& path, const std::string& body,
                          const std::string& headers = "Authorization: Bearer smiths-key\r\n") {
    return "POST " + path + " HTTP/1.1\r\nHost: x\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  RouterFixture& router() { return m_router; }
  ApiServer& server() { return m_server; }
  const Metrics& metrics() const { return m_metrics; }

 private:
  Settings m_settings;
  Metrics m_metrics;
  RouterFixture m_router;
  std::unique_ptr<event_base, decltype(&event_base_free)> m_base;
  CallerApi m_api;
  ApiServer m_server;
  std::uint16_t m_port;
};

constexpr const char* kBody = R"({"run_ms":50,"reply":"A flat"})";

TEST_CASE("a request over HTTP is answered with the worker's complete answer and its task id") {
  CallerApiFixture fixture;
  const auto caller = fixture.Connect();
  caller->Write(CallerApiFixture::Post("/v1/queues/tone/requests", kBody));
  caller->RunLoop();
  fixture.router().queue().RunFor(Duration(500));
  const std::string answer = caller->ReadUntil("A flat");
  CHECK(answer.find("HTTP/1.1 200") == 0);
  CHECK(answer.find("Verdict: completed") != std::string::npos);
  CHECK(answer.find("Task-Id: ") != std::string::npos);
}

TEST_CASE("refusals over HTTP carry status, verdict and reason") {
  CallerApiFixture fixture;
  const auto caller = fixture.Connect();
  caller->Write(CallerApiFixture::Post("/v1/queues/tone/requests", kBody, ""));
  CHECK(caller->ReadUntil("}").find(R"("verdict":"not_run")") != std::string::npos);
  caller->Write(CallerApiFixture::Post("/v1/queues/none/requests", kBody));
  CHECK(caller->ReadUntil("}").find("HTTP/1.1 404") == 0);
  caller->Write(
      CallerApiFixture::Post("/v1/queues/tone/requests", kBody,
                             "Authorization: Bearer smiths-key\r\nDeadline-Ms: soon\r\n"));
  CHECK(caller->ReadUntil("}").find("HTTP/1.1 400") == 0);
  caller->Write(CallerApiFixture::Post("/v1/tickets?count=0", ""));
  CHECK(caller->ReadUntil("}").find("HTTP/1.1 400") == 0);
  // Refusals that do not reach the router are also counted.
  CHECK(fixture.metrics().Value("cranberryplank_requests_total",
                                R"(verdict="not_run",status="400")") == 2);
  caller->Write(CallerApiFixture::Post("/v1/tickets?count=2", ""));
  CHECK(caller->ReadUntil("}").find("\"tickets\":[") != std::string::npos);
}

TEST_CASE("a body over the limit is refused") {
  CallerApiFixture fixture;
  const auto caller = fixture.Connect();
  caller->Write(CallerApiFixture::Post("/v1/queues/tone/requests", std::string(2'000, 'x')));
  CHECK(caller->ReadUntil("\r\n\r\n").find("HTTP/1.1 413") == 0);
}

// Guards against one misbehaving caller blocking the daemon for all others.
TEST_CASE("malformed, partial and aborted requests affect only their own connection") {
  CallerApiFixture fixture;
  const auto garbage = fixture.Connect();
  garbage->Write("\x16\x03\x01 this is not HTTP\r\n\r\n");
  garbage->ReadUntil("\r\n\r\n");
  const auto half = fixture.Connect();
  half->Write("POST /v1/queues/tone/requests HTTP/1.1\r\nAuthor");
  half->RunLoop();
  const auto short_body = fixture.Connect();
  short_body->Write("POST /v1/queues/tone/requests HTTP/1.1\r\nContent-Length: 100\r\n\r\nabc");
  short_body->RunLoop();
  short_body->Close();
  const auto good = fixture.Connect();
  good->Write(CallerApiFixture::Post("/v1/queues/tone/requests", kBody));
  good->RunLoop();
  fixture.router().queue().RunFor(Duration(500));
  CHECK(good->ReadUntil("A flat").find("HTTP/1.1 200") == 0);
}

// Guards against running requests whose callers have disconnected. A waiting request is removed
// from the queue when its caller disconnects.
TEST_CASE("a caller that closes its connection cancels its waiting request") {
  CallerApiFixture fixture;
  fixture.router().node(0).slots.Set("smiths", 0);
  const auto caller = fixture.Connect();
  caller->Write(CallerApiFixture::Post("/v1/queues/tone/requests", kBody));
  caller->RunLoop();
  caller->RunLoop();
  REQUIRE(fixture.router().node(0).router->waiting() == 1);
  caller->Close();
  const auto other = fixture.Connect();
  other->RunLoop();
  fixture.server().CheckCallerConnections();
  CHECK(fixture.router().node(0).router->waiting() == 0);
}

// Guards against one request that ends the process because its handler meets an unexpected error.
TEST_CASE("an exception of a request's handler is answered, and the server keeps working") {
  const std::unique_ptr<event_base, decltype(&event_base_free)> base(event_base_new(),
                                                                     &event_base_free);
  const std::uint16_t port = FreePort();
  ApiServer server(base.get(), ApiLimits{1'000, 2'000, Duration(1'000)},
                   [](TimePoint, const std::shared_ptr<ApiExchange>& exchange) {
                     if (exchange->request().path == "/bad") {
                       throw std::out_of_range("unexpected");
                     }
                     exchange->Reply(ApiResponse{204, "text/plain", "", {}});
                   });
  REQUIRE(server.Listen(Endpoint{"127.0.0.1", port}));
  RawConnection bad(base.get(), port);
  bad.Write("GET /bad HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK(bad.ReadUntil("\r\n\r\n").find("HTTP/1.1 500") == 0);
  RawConnection good(base.get(), port);
  good.Write("GET /good HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK(good.ReadUntil("\r\n\r\n").find("HTTP/1.1 204") == 0);
}

// Guards against a whole request that gets no answer: callers sent requests on their connections to
// a stopping daemon until its process ended, because its refusals kept the connections open.
TEST_CASE("a server that accepts no connections any more closes each one after its next reply") {
  CallerApiFixture fixture;
  const auto caller = fixture.Connect();
  const std::string request = CallerApiFixture::Post("/v1/queues/none/requests", kBody);
  caller->Write(request);
  CHECK(caller->ReadUntil("}").find("HTTP/1.1 404") == 0);
  fixture.server().StopAccepting();
  caller->Write(request);
  const std::string reply = caller->ReadUntil("<closed>");
  CHECK(reply.find("HTTP/1.1 404") == 0);
  CHECK(reply.find("Connection: close") != std::string::npos);
  CHECK(reply.ends_with("<closed>"));
}

// Guards against memory that grows with each request: a server kept a reference to every exchange
// unless its user looked for disconnected callers.
TEST_CASE("a server forgets the requests that have ended") {
  const std::unique_ptr<event_base, decltype(&event_base_free)> base(event_base_new(),
                                                                     &event_base_free);
  const std::uint16_t port = FreePort();
  int handled = 0;
  ApiServer server(base.get(), ApiLimits{1'000, 2'000, Duration(1'000)},
                   [&](TimePoint, const std::shared_ptr<ApiExchange>& exchange) {
                     ++handled;
                     exchange->Reply(ApiResponse{204, "text/plain", "", {}});
                   });
  REQUIRE(server.Listen(Endpoint{"127.0.0.1", port}));
  RawConnection caller(base.get(), port);
  for (int i = 0; i < 1'000; ++i) {
    caller.Write("GET /job HTTP/1.1\r\nHost: x\r\n\r\n");
  }
  for (int i = 0; i < 100'000 && handled < 1'000; ++i) {
    event_base_loop(base.get(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
  }
  REQUIRE(handled == 1'000);
  CHECK(server.remembered_requests() < 100);
}

// Guards against a request that is counted after its end, so that the end of the daemon waits for
// it, and against one that is counted no more before its response is written.
TEST_CASE("a request is open until its response is written or its connection has ended") {
  const std::unique_ptr<event_base, decltype(&event_base_free)> base(event_base_new(),
                                                                     &event_base_free);
  const std::uint16_t port = FreePort();
  std::vector<std::shared_ptr<ApiExchange>> held;
  auto server = std::make_unique<ApiServer>(
      base.get(), ApiLimits{1'000, 2'000, Duration(1'000)},
      [&](TimePoint, const std::shared_ptr<ApiExchange>& exchange) { held.push_back(exchange); });
  REQUIRE(server->Listen(Endpoint{"127.0.0.1", port}));
  const auto request = [&] {
    auto caller = std::make_unique<RawConnection>(base.get(), port);
    caller->Write("GET /job HTTP/1.1\r\nHost: x\r\n\r\n");
    for (int i = 0; i < 5; ++i) {
      caller->RunLoop();
    }
    return caller;
  };
  const ApiResponse small;
  const ApiResponse large{200, "text/plain", std::string(std::size_t{64} << 20U, 'x'), {}};

  auto caller = request();
  REQUIRE(held.size() == 1);
  CHECK(server->open_requests() == 1);
  held.back()->Reply(small);
  CHECK(server->open_requests() == 1);
  CHECK(caller->ReadUntil("\r\n\r\n").find("HTTP/1.1 200") == 0);
  CHECK(server->open_requests() == 0);

  SECTION("the connection ends while the response is being written") {
    caller = request();
    held.back()->Reply(large);
    caller->RunLoop();
    CHECK(server->open_requests() == 1);
    caller->Close();
    caller->RunLoop();
    caller->RunLoop();
    CHECK(server->open_requests() == 0);
  }
  SECTION("the connection ends before the response") {
    caller = request();
    caller->Close();
    caller->RunLoop();
    held.back()->Reply(small);
    caller->RunLoop();
    caller->RunLoop();
    CHECK(server->open_requests() == 0);
  }
  SECTION("the handler drops the request") {
    caller = request();
    held.clear();
    CHECK(caller->ReadUntil("\r\n\r\n").find("HTTP/1.1 500") == 0);
    CHECK(server->open_requests() == 0);
  }
  SECTION("the caller sends nothing more") {
    caller = request();
    caller->CloseForSending();
    caller->RunLoop();
    held.back()->Reply(small);
    CHECK(caller->ReadUntil("\r\n\r\n").find("HTTP/1.1 200") == 0);
    CHECK(server->open_requests() == 0);
  }
  SECTION("the server ends first") {
    caller = request();
    const auto other = request();
    held.back()->Reply(large);
    other->RunLoop();
    CHECK(server->open_requests() == 2);
    server.reset();
    held.at(1)->Reply(small);
    CHECK(caller->ReadUntil("\r\n\r\n") == "<closed>");
  }
}

}  // namespace
}  // namespace cranberryplank
