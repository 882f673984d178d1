#include "cranberryplank/entry/caller_gateway.h"

#include <event2/event.h>

#include <catch2/catch.hpp>
#include <memory>
#include <utility>
#include <vector>

#include "cranberryplank/platform/http_client.h"
#include "cranberryplank/platform/http_status.h"
#include "daemon_fixture.h"

namespace cranberryplank {

namespace {

/// A gateway with one submission under way, whose calls to the owner are answered by the test.
class GatewayFixture {
 public:
  GatewayFixture()
      : m_base(event_base_new(), &event_base_free),
        m_http(m_base.get(), HttpClientLimits{}),
        m_config(*m_format.DecodeConfig({})),
        m_server(m_base.get(), {4'096, 4'096, Duration(10'000)},
                 [this](TimePoint at, const std::shared_ptr<ApiExchange>& exchange) {
                   now = at;
                   gateway.Handle({at, 0}, &m_config, {}, exchange);
                 }) {
    const Endpoint endpoint = FreeEndpoint();
    REQUIRE(m_server.Listen(endpoint));
    HttpRequest request;
    request.method = HttpMethod::kPost;
    request.host = endpoint.host;
    request.port = endpoint.port;
    request.target = "/job";
    request.headers = {{"Host", "x"}};
    request.body = "{}";
    m_http.Send(std::move(request), [this](TimePoint, const HttpReply& reply) { m_reply = reply; });
    while (calls.empty()) {
      event_base_loop(m_base.get(), EVLOOP_ONCE);
    }
  }

  /// Answers the given attempt of the call to the owner.
  void Answer(std::size_t attempt, OwnerStatus status) {
    OwnerReply reply;
    reply.status = status;
    calls.at(attempt)(now, reply);
  }

  /// Returns the status that the caller receives.
  int CallerStatus() {
    while (m_reply.status == 0) {
      event_base_loop(m_base.get(), EVLOOP_ONCE);
    }
    return m_reply.status;
  }

  TimePoint now{};
  std::vector<CallerGateway::Callback> calls;

 private:
  std::unique_ptr<event_base, decltype(&event_base_free)> m_base;
  HttpClient m_http;
  SubmissionFormat m_format;
  Metrics m_metrics;
  ClusterConfig m_config;

 public:
  CallerGateway gateway{&m_format, &m_metrics,
                        [this](const OwnerCall&, Duration, CallerGateway::Callback done) {
                          calls.push_back(std::move(done));
                        }};

 private:
  ApiServer m_server;
  HttpReply m_reply;
};

}  // namespace

// Guards against callers that wait for the time-out of a call to a killed owner, though its
// successor is known.
TEST_CASE("a call under way is repeated at once when the schedule has another owner") {
  GatewayFixture fixture;
  fixture.gateway.RepeatCallsInFlight(fixture.now);
  fixture.gateway.Tick(fixture.now);
  REQUIRE(fixture.calls.size() == 2);
  // The failure of the earlier attempt must not cause a third one.
  fixture.Answer(0, OwnerStatus::kUnknown);
  fixture.gateway.Tick(fixture.now + Duration(100));
  REQUIRE(fixture.calls.size() == 2);
  fixture.Answer(1, OwnerStatus::kOk);
  CHECK(fixture.CallerStatus() == http_status::kOk);
}

// Guards against a final answer by an owner that was replaced, before the call is repeated.
TEST_CASE("a late failure by the earlier owner does not end the call") {
  GatewayFixture fixture;
  fixture.gateway.RepeatCallsInFlight(fixture.now);
  fixture.Answer(0, OwnerStatus::kNoSuchJob);
  fixture.gateway.Tick(fixture.now);
  REQUIRE(fixture.calls.size() == 2);
  fixture.Answer(1, OwnerStatus::kOk);
  CHECK(fixture.CallerStatus() == http_status::kOk);
}

// Guards against a refusal of a job that the earlier owner has stored.
TEST_CASE("a refusal by the new owner is not passed on while an earlier attempt may have run") {
  GatewayFixture fixture;
  fixture.gateway.RepeatCallsInFlight(fixture.now);
  fixture.gateway.Tick(fixture.now);
  fixture.Answer(1, OwnerStatus::kRefused);
  CHECK(fixture.gateway.open_requests() == 1);
  fixture.Answer(0, OwnerStatus::kOk);
  CHECK(fixture.CallerStatus() == http_status::kOk);
}

}  // namespace cranberryplank
