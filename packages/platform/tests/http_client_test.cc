#include "cranberryplank/platform/http_client.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <stdexcept>
#include <utility>
#include <vector>

#include "cranberryplank/support/event_loop.h"
#include "cranberryplank/support/http_server.h"
#include "cranberryplank/support/loop_scheduler.h"

namespace cranberryplank {
namespace {

/// Client and a server that stores its exchanges until the test answers them.
class HttpClientFixture {
 public:
  explicit HttpClientFixture(HttpClientLimits limits = {})
      : client(std::make_unique<HttpClient>(loop.base(), limits)) {
    REQUIRE(server.Listen(0));
  }

  HttpRequest Request(const std::string& target) const {
    HttpRequest request;
    request.host = "127.0.0.1";
    request.port = server.port();
    request.target = target;
    request.timeout = Duration(200);
    return request;
  }

  /// Sends a request and appends its reply to `replies`.
  void Send(HttpRequest request) {
    const std::size_t before = replies.size();
    client->Send(std::move(request),
                 [this](TimePoint, HttpReply reply) { replies.push_back(std::move(reply)); });
    CHECK(replies.size() == before);
  }

  bool WaitForReplies(std::size_t count) {
    return loop.RunUntil([&] { return replies.size() >= count; });
  }

  bool WaitForExchanges(std::size_t count) {
    return loop.RunUntil([&] { return exchanges.size() >= count; });
  }

  /// Sends one request, answers it with `answer` and returns the reply.
  template <typename Answer>
  HttpReply Call(Answer answer) {
    const std::size_t count = exchanges.size() + 1;
    Send(Request("/x"));
    REQUIRE(WaitForExchanges(count));
    answer(*exchanges.back());
    REQUIRE(WaitForReplies(replies.size() + 1));
    return replies.back();
  }

  EventLoop loop;
  std::vector<std::shared_ptr<HttpExchange>> exchanges;
  HttpServer server{loop.base(), [this](const std::shared_ptr<HttpExchange>& exchange) {
                      exchanges.push_back(exchange);
                    }};
  std::unique_ptr<HttpClient> client;
  std::vector<HttpReply> replies;
};

const ServerReply k_reply{201, "the whole body", {{"Some-Header", "v"}}};

// Guards against a series of timeouts: connections went silent together, and each later request
// was sent on another one of them.
TEST_CASE("a timeout closes the idle connections that may be silent too") {
  HttpClientFixture fixture;
  fixture.Send(fixture.Request("/first"));
  fixture.Send(fixture.Request("/second"));
  HttpRequest urgent = fixture.Request("/third");
  urgent.urgent = true;
  fixture.Send(std::move(urgent));
  REQUIRE(fixture.WaitForExchanges(3));
  for (const auto& exchange : fixture.exchanges) {
    exchange->Reply(k_reply);
  }
  REQUIRE(fixture.WaitForReplies(3));
  REQUIRE(fixture.client->connections() == 3);

  fixture.Send(fixture.Request("/silent"));
  REQUIRE(fixture.WaitForReplies(4));
  CHECK(fixture.replies.back().outcome == HttpOutcome::kNoReply);
  CHECK(fixture.client->connections() == 0);
}

// Guards against a slow request that closes connections that have shown since that they work.
TEST_CASE("a timeout keeps the idle connections that carried a reply since") {
  HttpClientFixture fixture;
  fixture.Send(fixture.Request("/silent"));
  REQUIRE(fixture.WaitForExchanges(1));
  const HttpReply reply = fixture.Call([](HttpExchange& e) { e.Reply(k_reply); });
  REQUIRE(reply.outcome == HttpOutcome::kAnswered);
  REQUIRE(fixture.WaitForReplies(2));
  CHECK(fixture.replies.back().outcome == HttpOutcome::kNoReply);
  CHECK(fixture.client->connections() == 1);
}

// Guards against a client that opens a new connection for each request.
TEST_CASE("a connection is reused for the next request") {
  HttpClientFixture fixture;
  for (int i = 0; i < 3; ++i) {
    const HttpReply reply = fixture.Call([](HttpExchange& e) { e.Reply(k_reply); });
    CHECK(reply.outcome == HttpOutcome::kAnswered);
    CHECK(reply.status == 201);
    CHECK(reply.body == k_reply.body);
    CHECK(reply.Header("some-header") == "v");
    CHECK(fixture.client->connections() == 1);
  }
}

// Guards against a partial reply that is treated as complete, and against reuse of its connection.
TEST_CASE("an incomplete reply counts as no reply and closes the connection") {
  HttpClientFixture fixture;
  HttpReply reply;
  SECTION("dropped") {
    reply = fixture.Call([](HttpExchange& e) { e.Drop(); });
  }
  SECTION("truncated") {
    reply = fixture.Call([](HttpExchange& e) { e.ReplyTruncated(k_reply); });
  }
  SECTION("no length") {
    reply = fixture.Call([](HttpExchange& e) { e.ReplyWithoutLength(k_reply); });
  }
  SECTION("no last chunk") {
    reply = fixture.Call([](HttpExchange& e) { e.ReplyWithoutLastChunk(k_reply); });
  }
  CHECK(reply.outcome == HttpOutcome::kNoReply);
  CHECK_FALSE(reply.reason.empty());
  CHECK(fixture.client->connections() == 0);
  fixture.loop.RunFor(Duration(30));
  CHECK(fixture.exchanges.size() == 1);
  CHECK(fixture.replies.size() == 1);
}

// Guards against bytes after a reply that are parsed as the reply to the next request.
TEST_CASE("bytes after a reply close the connection") {
  HttpClientFixture fixture;
  CHECK(fixture.Call([](HttpExchange& e) {
                 e.ReplyWithExtraBytes({200, "first", {}});
               })
            .body == "first");
  CHECK(fixture.client->connections() == 0);
  CHECK(fixture.Call([](HttpExchange& e) { e.Reply({200, "second", {}}); }).body == "second");
}

// Guards against bytes that arrive on an idle connection and are parsed as the next reply.
TEST_CASE("a late reply is not taken for the reply to the next request") {
  HttpClientFixture fixture;
  fixture.Send(fixture.Request("/late"));
  REQUIRE(fixture.WaitForReplies(1));
  CHECK(fixture.replies[0].outcome == HttpOutcome::kNoReply);
  CHECK(fixture.client->connections() == 0);
  REQUIRE(fixture.exchanges.size() == 1);
  fixture.exchanges[0]->Reply({200, "late", {}});
  CHECK(fixture.Call([](HttpExchange& e) { e.Reply({200, "own", {}}); }).body == "own");
  fixture.loop.RunFor(Duration(30));
  CHECK(fixture.replies.size() == 2);
}

// Guards against the outcome kNoReply for a request of which nothing was sent, and against a
// callback from within the call.
TEST_CASE("a request that cannot be written is reported as not sent") {
  HttpClientFixture fixture;
  HttpRequest request = fixture.Request("/x");
  SECTION("connection refused") { fixture.server.Stop(); }
  SECTION("host name") { request.host = "localhost"; }
  SECTION("target") { request.target = "/x HTTP/1.1\r\nHost: y\r\n\r\n"; }
  SECTION("header") { request.headers.push_back({"A", "b\r\nC: d"}); }
  fixture.Send(std::move(request));
  REQUIRE(fixture.WaitForReplies(1));
  CHECK(fixture.replies[0].outcome == HttpOutcome::kNotSent);
  CHECK_FALSE(fixture.replies[0].reason.empty());
  fixture.loop.RunFor(Duration(250));
  CHECK(fixture.replies.size() == 1);
  CHECK(fixture.exchanges.empty());
  CHECK(fixture.client->connections() == 0);
}

// Guards against the outcome kNoReply for a request whose connection was never established.
TEST_CASE("a request whose connection is not established in time is reported as not sent") {
  // Two connections fill the backlog of a listener that accepts none; the next ones get no answer.
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  REQUIRE(bind(listener, reinterpret_cast<sockaddr*>(&address), size) == 0);
  REQUIRE(listen(listener, 0) == 0);
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  HttpClientFixture fixture;
  HttpRequest request = fixture.Request("/x");
  request.port = ntohs(address.sin_port);
  std::size_t not_sent = 0;
  for (std::size_t i = 0; i < 4; ++i) {
    fixture.Send(request);
  }
  REQUIRE(fixture.WaitForReplies(4));
  for (const HttpReply& reply : fixture.replies) {
    CHECK(reply.outcome != HttpOutcome::kAnswered);
    not_sent += reply.outcome == HttpOutcome::kNotSent ? 1 : 0;
  }
  CHECK(not_sent > 0);
  CHECK(not_sent < 4);
  CHECK(fixture.client->connections() == 0);
  close(listener);
}

// Guards against a reply that is truncated to the shorter of two lengths.
TEST_CASE("a reply with two lengths counts as no reply") {
  HttpClientFixture fixture;
  const ServerReply two_lengths{200, "whole", {{"Content-Length", "2"}, {"Content-Length", "5"}}};
  CHECK(fixture.Call([&](HttpExchange& e) { e.Reply(two_lengths); }).outcome ==
        HttpOutcome::kNoReply);
}

// Guards against a request that is sent after it was reported as not sent.
TEST_CASE("a request that waits for a connection beyond its timeout is never sent") {
  HttpClientLimits limits;
  limits.connections_per_server = 1;
  HttpClientFixture fixture(limits);
  HttpRequest slow = fixture.Request("/slow");
  slow.timeout = Duration(5'000);
  fixture.Send(std::move(slow));
  fixture.Send(fixture.Request("/waits-too-long"));
  REQUIRE(fixture.WaitForReplies(1));
  CHECK(fixture.replies[0].outcome == HttpOutcome::kNotSent);
  HttpRequest long_timeout = fixture.Request("/patient");
  long_timeout.timeout = Duration(5'000);
  fixture.Send(std::move(long_timeout));
  REQUIRE(fixture.exchanges.size() == 1);
  fixture.exchanges[0]->Reply(k_reply);
  REQUIRE(fixture.WaitForExchanges(2));
  CHECK(fixture.exchanges[1]->path() == "/patient");
  fixture.exchanges[1]->Reply(k_reply);
  REQUIRE(fixture.WaitForReplies(3));
  CHECK(fixture.client->connections() == 1);
}

// Guards against a request that is lost on an idle connection that the server has closed.
TEST_CASE("a connection that the server closed while idle is replaced") {
  HttpClientFixture fixture;
  fixture.Call([](HttpExchange& e) { e.Reply(k_reply); });
  const std::uint16_t port = fixture.server.port();
  fixture.server.Stop();
  REQUIRE(fixture.server.Listen(port));
  CHECK(fixture.Call([](HttpExchange& e) { e.Reply(k_reply); }).outcome == HttpOutcome::kAnswered);
}

// Guards against a timeout that is measured from the start of a long event loop iteration.
TEST_CASE("a request sent late in an event loop iteration has its full timeout") {
  HttpClientFixture fixture;
  LoopScheduler scheduler(fixture.loop.base());
  TimePoint sent;
  scheduler.Schedule(Clock::now(), [&](TimePoint) {
    const TimePoint end = Clock::now() + Duration(300);
    while (Clock::now() < end) {
    }
    sent = Clock::now();
    fixture.Send(fixture.Request("/x"));
  });
  REQUIRE(fixture.WaitForReplies(1));
  CHECK(Clock::now() - sent >= Duration(200));
  CHECK(fixture.exchanges.size() == 1);
}

// Guards against idle connections that are never closed.
TEST_CASE("idle connections are closed after the idle limit") {
  HttpClientLimits limits;
  limits.max_idle = Duration(10);
  HttpClientFixture fixture(limits);
  fixture.Call([](HttpExchange& e) { e.Reply(k_reply); });
  CHECK(fixture.client->connections() == 1);
  CHECK(fixture.loop.RunUntil([&] { return fixture.client->connections() == 0; }));
}

// Guards against a use after free when a callback destroys the client.
TEST_CASE("a callback may destroy the client, and the other callbacks never run") {
  HttpClientFixture fixture;
  int callbacks = 0;
  const auto destroy = [&](TimePoint, const HttpReply&) {
    ++callbacks;
    fixture.client.reset();
  };
  fixture.client->Send(fixture.Request("/1"), destroy);
  fixture.client->Send(fixture.Request("/2"), destroy);
  REQUIRE(fixture.WaitForExchanges(2));
  fixture.exchanges[0]->Reply(k_reply);
  REQUIRE(fixture.loop.RunUntil([&] { return callbacks > 0; }));
  fixture.loop.RunFor(Duration(250));
  CHECK(callbacks == 1);
}

// Guards against a process that was paused between its decision to send an order and the sending,
// and so acts on an authority that has ended meanwhile.
TEST_CASE("a request is not sent once the permission for it has ended") {
  HttpClientFixture fixture;
  HttpRequest request = fixture.Request("/order");
  request.not_after = Clock::now() - Duration(1);
  fixture.Send(std::move(request));
  REQUIRE(fixture.WaitForReplies(1));
  CHECK(fixture.replies.front().outcome == HttpOutcome::kNotSent);
  CHECK_FALSE(fixture.replies.front().connection_failed);
  CHECK(fixture.exchanges.empty());
}

// The same for a request that waits for a connection meanwhile.
TEST_CASE("a request that waits for a connection is not sent after its permission has ended") {
  HttpClientLimits limits;
  limits.connections_per_server = 1;
  HttpClientFixture fixture(limits);
  fixture.Send(fixture.Request("/first"));
  REQUIRE(fixture.WaitForExchanges(1));
  HttpRequest request = fixture.Request("/second");
  request.not_after = Clock::now() + Duration(50);
  fixture.Send(std::move(request));
  const TimePoint later = Clock::now() + Duration(60);
  fixture.loop.RunUntil([&] { return Clock::now() > later; });
  fixture.exchanges.front()->Reply(k_reply);
  REQUIRE(fixture.WaitForReplies(2));
  CHECK(fixture.replies.back().outcome == HttpOutcome::kNotSent);
  CHECK(fixture.exchanges.size() == 1);
}

// Guards against an unexpected reply that ends the process.
TEST_CASE("an exception of a reply's handler leaves the client working") {
  HttpClientFixture fixture;
  fixture.client->Send(fixture.Request("/x"),
                       [](TimePoint, const HttpReply&) { throw std::runtime_error("unexpected"); });
  REQUIRE(fixture.WaitForExchanges(1));
  fixture.exchanges.front()->Reply(k_reply);
  CHECK(fixture.Call([](HttpExchange& e) { e.Reply(k_reply); }).status == 201);
}

// Guards against taking a server that is only slow for one that refuses connections.
TEST_CASE("only a failed connection is reported as such") {
  HttpClientFixture fixture;
  fixture.Send(fixture.Request("/slow"));
  REQUIRE(fixture.WaitForReplies(1));
  CHECK(fixture.replies.front().outcome == HttpOutcome::kNoReply);
  CHECK_FALSE(fixture.replies.front().connection_failed);
  HttpRequest refused = fixture.Request("/x");
  refused.port = 1;
  fixture.Send(std::move(refused));
  REQUIRE(fixture.WaitForReplies(2));
  CHECK(fixture.replies.back().connection_failed);
}

}  // namespace
}  // namespace cranberryplank
