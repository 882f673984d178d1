#include "cranberryplank/cli/admin_client.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <thread>

#include "cranberryplank/cli/evhttp_client.h"
#include "fake_http_client.h"

namespace cranberryplank {
namespace {

constexpr const char* kPending = R"({"revision":7,"in_effect":false,"pending":["e2"]})";
constexpr const char* kInEffect = R"({"revision":7,"in_effect":true,"pending":[]})";
const AdminRequest change_request{"POST", "vms/vm-1/drain", ""};

struct Fixture {
  FakeHttpClient http;
  SeededRandom random{1};
  AdminClient client{{{{"a", 1}, {"b", 2}}, "secret"}, &http, &random};
};

// Guards against a change that is executed twice because its answer was lost.
TEST_CASE("a change is sent to the next daemon only if it was certainly not processed") {
  Fixture f;
  SECTION("no connection") { f.http.Fail(HttpOutcome::kNotSent); }
  SECTION("refused before it had an effect") {
    f.http.Answer(503, R"({"reason":"not fresh","processed":false})");
  }
  f.http.Answer(202, kInEffect);
  CHECK(f.client.Change(change_request, "", std::nullopt).code == ExitCode::kDone);
  REQUIRE(f.http.calls.size() == 2);
  CHECK(f.http.calls[1].daemon == DaemonAddress{"b", 2});
  CHECK(f.http.calls[0].Header("Change-Nonce").size() == 32);
  CHECK(f.http.calls[0].Header("Change-Nonce") == f.http.calls[1].Header("Change-Nonce"));
  CHECK(f.http.calls[0].Header("Authorization") == "Bearer secret");
}

TEST_CASE("a change with a lost or ambiguous answer is not sent elsewhere and reports its nonce") {
  Fixture f;
  SECTION("lost") { f.http.Fail(HttpOutcome::kLost); }
  SECTION("doubtful") { f.http.Answer(504, R"({"reason":"slow store","processed":true})"); }
  SECTION("a proxy's failure") { f.http.Answer(503, "<html>"); }
  SECTION("not JSON") { f.http.Answer(202, "{"); }
  SECTION("without a revision") { f.http.Answer(202, R"({"in_effect":true})"); }
  const std::string nonce(32, 'a');
  const AdminReply reply = f.client.Change(change_request, nonce, std::nullopt);
  CHECK(reply.code == ExitCode::kUnreachable);
  CHECK(reply.reason.find("--nonce " + nonce) != std::string::npos);
  CHECK(f.http.calls.size() == 1);
  CHECK(f.http.calls[0].Header("Change-Nonce") == nonce);
}

// Guards against the exit code 'unreachable' for a change that was certainly not made.
TEST_CASE("the exit code is 'refused' if one daemon refuses and the others cannot be reached") {
  Fixture f;
  f.http.Answer(503, R"({"reason":"not fresh","processed":false})");
  f.http.Fail(HttpOutcome::kNotSent);
  const AdminReply reply = f.client.Change(change_request, "", std::nullopt);
  CHECK(reply.code == ExitCode::kRefused);
  CHECK(reply.reason == "a port 1: not fresh");
  CHECK(f.http.calls.size() == 2);
}

TEST_CASE("a read is tried on one daemon after another until one answers") {
  Fixture f;
  f.http.Fail(HttpOutcome::kLost);
  f.http.Answer(200, R"({"revision":1})");
  CHECK(f.client.Read("status").code == ExitCode::kDone);
  CHECK(f.http.calls.size() == 2);
  CHECK(f.http.calls[0].Header("Change-Nonce").empty());
  Fixture none;
  none.http.Fail(HttpOutcome::kNotSent);
  CHECK(none.client.Read("status").code == ExitCode::kUnreachable);
  CHECK(none.http.calls.size() == 2);
}

TEST_CASE("a refusal is final, and a conflict names the recorded revision") {
  Fixture f;
  f.http.Answer(409, R"({"reason":"lost the race","processed":false,"revision":9})");
  const AdminReply reply = f.client.Change(change_request, "", std::nullopt);
  CHECK(reply.code == ExitCode::kRefused);
  CHECK(reply.reason == "lost the race (revision 9 won)");
  CHECK(f.http.calls.size() == 1);
}

// Guards against an exit code that reports a change as done while it is not in effect.
TEST_CASE("waiting ends when the change is in effect or the time is over") {
  Fixture f;
  f.http.Answer(202, kPending);
  SECTION("in effect, after an answer that was lost") {
    f.http.Fail(HttpOutcome::kLost);
    f.http.Answer(200, kPending);
    f.http.Answer(200, kInEffect);
    CHECK(f.client.Change(change_request, "", Duration(5'000)).code == ExitCode::kDone);
    CHECK(f.http.calls[1].request.path.starts_with("/v1/admin/revisions/7?wait_ms="));
  }
  SECTION("time over") {
    f.http.Answer(200, kPending);
    const AdminReply reply = f.client.Change(change_request, "", Duration(250));
    CHECK(reply.code == ExitCode::kNotYetInEffect);
    CHECK(reply.body["revision"] == 7);
  }
  SECTION("no wait asked for") {
    CHECK(f.client.Change(change_request, "", std::nullopt).code == ExitCode::kDone);
    CHECK(f.http.calls.size() == 1);
  }
}

// Guards against a withdrawal that is reported as done although the store has not recorded it.
TEST_CASE("a withdrawal that is not recorded is repeated with its nonce") {
  Fixture f;
  const AdminRequest withdraw{"DELETE", "keys/ab", ""};
  f.http.Answer(202, R"({"revision":0,"in_effect":false,"pending":[],"recorded":false})");
  CHECK(f.client.Change(withdraw, "", std::nullopt).code == ExitCode::kNotYetInEffect);
  f.http.Answer(202, kInEffect);
  f.http.calls.clear();
  CHECK(f.client.Change(withdraw, "", Duration(5'000)).code == ExitCode::kDone);
  REQUIRE(f.http.calls.size() == 2);
  CHECK(f.http.calls[1].request.method == "DELETE");
  CHECK(f.http.calls[0].Header("Change-Nonce") == f.http.calls[1].Header("Change-Nonce"));
}

/// Waits for data on each connection, replies with fixed bytes and closes it.
class RawServer {
 public:
  explicit RawServer(std::string answer) : m_socket(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    REQUIRE(bind(m_socket, reinterpret_cast<sockaddr*>(&address), size) == 0);
    REQUIRE(listen(m_socket, 8) == 0);
    REQUIRE(getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    m_port = ntohs(address.sin_port);
    m_thread = std::thread([this, answer = std::move(answer)] { Serve(answer); });
  }
  ~RawServer() {
    shutdown(m_socket, SHUT_RDWR);
    m_thread.join();
    close(m_socket);
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  DaemonAddress address() const { return {"127.0.0.1", m_port}; }

 private:
  void Serve(const std::string& answer) const {
    for (int peer = accept(m_socket, nullptr, nullptr); peer >= 0;
         peer = accept(m_socket, nullptr, nullptr)) {
      std::array<char, 4'096> request;
      if (read(peer, request.data(), request.size()) > 0) {
        send(peer, answer.data(), answer.size(), MSG_NOSIGNAL);
        if (answer.empty()) {
          read(peer, request.data(), request.size());  // Sends nothing until the client closes.
        }
      }
      close(peer);
    }
  }

  int m_socket;
  std::uint16_t m_port = 0;
  std::thread m_thread;
};

// Guards against accepting a truncated answer as complete.
TEST_CASE("evhttp calls distinguish complete answers from lost ones and from requests not sent") {
  EvhttpClient http;
  const HttpRequest request{"POST", "/v1/admin/vms", {{"Change-Nonce", "n"}}, "{}"};
  const auto call = [&](const std::string& answer) {
    RawServer server(answer);
    return http.Call(server.address(), request, Duration(500));
  };
  const HttpReply whole = call("HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}");
  CHECK(whole.outcome == HttpOutcome::kAnswered);
  CHECK(whole.status == 202);
  CHECK(whole.body == "{}");
  CHECK(call("HTTP/1.1 202 Accepted\r\nContent-Length: 3\r\n\r\n{}").outcome == HttpOutcome::kLost);
  CHECK(call("HTTP/1.1 202 Accepted\r\n\r\n{}").outcome == HttpOutcome::kLost);
  CHECK(call("HTTP/1.1 20").outcome == HttpOutcome::kLost);
  CHECK(call("").outcome == HttpOutcome::kLost);
  DaemonAddress closed_address;
  {
    RawServer server("");
    closed_address = server.address();
  }
  CHECK(http.Call(closed_address, request, Duration(500)).outcome == HttpOutcome::kNotSent);
}

}  // namespace
}  // namespace cranberryplank
