#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <optional>

#include "cranberryplank/platform/http_client.h"
#include "cranberryplank/support/event_loop.h"
#include "cranberryplank/support/fake_program.h"
#include "cranberryplank/support/fake_store.h"
#include "cranberryplank/support/fake_vm_list.h"
#include "cranberryplank/support/fake_worker.h"

namespace cranberryplank {
namespace {

/// Client of the control paths of the fake servers.
class ControlProbe {
 public:
  HttpReply Send(const FakeServer& fake, HttpMethod method, const std::string& target,
                 const std::string& body = "", std::vector<HttpHeader> headers = {}) {
    HttpRequest request;
    request.method = method;
    request.host = "127.0.0.1";
    request.port = fake.port();
    request.target = target;
    request.body = body;
    request.headers = std::move(headers);
    std::optional<HttpReply> result;
    client.Send(std::move(request), [&](TimePoint, HttpReply reply) { result = std::move(reply); });
    REQUIRE(loop.RunUntil([&] { return result.has_value(); }));
    return *result;
  }

  int Fault(const FakeServer& fake, const std::string& body) {
    return Send(fake, HttpMethod::kPost, "/fault", body).status;
  }

  EventLoop loop;
  HttpClient client{loop.base()};
};

// Guards against a fault that affects other requests or more of them, or persists after `clear`.
TEST_CASE("a fault set over HTTP applies to the given requests and their number") {
  ControlProbe probe;
  FakeStore fake(probe.loop.base());
  REQUIRE(fake.Listen(0));
  const auto read = [&](const std::string& key) {
    return probe.Send(fake, HttpMethod::kGet, "/v1/kv/" + key + "?consistent").status;
  };
  CHECK(probe.Fault(fake, R"({"fault":"refuse","count":2,"method":"GET","path":"/v1/kv/a"})") ==
        200);
  CHECK(read("b") == 404);
  CHECK(probe.Send(fake, HttpMethod::kPut, "/v1/kv/a?cas=0", "x").body == "true");
  CHECK(read("a") == 429);
  CHECK(read("a") == 429);
  CHECK(read("a") == 200);
  CHECK(probe.Fault(fake, R"({"fault":"refuse","count":-1})") == 200);
  CHECK(read("a") == 429);
  CHECK(read("a") == 429);
  CHECK(probe.Fault(fake, R"({"fault":"clear"})") == 200);
  CHECK(read("a") == 200);
}

// Guards against a test that passes because its misspelled fault was silently ignored.
TEST_CASE("an unknown or invalid fault is rejected") {
  ControlProbe probe;
  FakeStore fake(probe.loop.base());
  REQUIRE(fake.Listen(0));
  const std::string body = GENERATE(R"({"fault":"refused"})", R"({"fault":"fail_all"})",
                                    R"({"count":1})", R"({"fault":"refuse","count":"x"})", "{");
  CHECK(probe.Fault(fake, body) == 400);
}

// Guards against edits of the VM list that readers do not see.
TEST_CASE("the VM list is edited over HTTP") {
  ControlProbe probe;
  FakeVmList fake(probe.loop.base());
  REQUIRE(fake.Listen(0));
  const auto edit = [&](const std::string& action) {
    const std::string body = R"({"service":"worker","id":"vm-1","action":")" + action + R"("})";
    return probe.Send(fake, HttpMethod::kPost, "/vms", body).status;
  };
  CHECK(edit("leaving") == 400);
  CHECK(edit("add") == 200);
  CHECK(edit("leaving") == 200);
  CHECK(fake.table().List("worker") == std::vector<VmListing>{{"vm-1", true}});
  CHECK(edit("staying") == 200);
  CHECK(edit("remove") == 200);
  CHECK(fake.table().List("worker").empty());
  CHECK(edit("restore") == 200);
  CHECK(fake.table().List("worker") == std::vector<VmListing>{{"vm-1", false}});
  CHECK(edit("other") == 400);
}

// Guards against duplicate starts that are missing from the log, including those after a crash.
TEST_CASE("the worker's log counts every start") {
  ControlProbe probe;
  FakeWorker fake(probe.loop.base(), "w", WorkerSettings{2, Duration(500), Duration(1'000)});
  REQUIRE(fake.Listen(0));
  for (int i = 0; i < 2; ++i) {
    const WorkerStatus status = fake.worker().Status();
    const HttpReply reply =
        probe.Send(fake, HttpMethod::kPost, "/v1/tasks", R"({"run_ms":0,"reply":"r1"})",
                   {{"Task-Id", "t1"},
                    {"Queue", "q"},
                    {"Boot-Id", status.boot_id},
                    {"Start-By-Ms", std::to_string(status.clock.count() + 1'000)},
                    {"Lease-Ms", "1000"}});
    CHECK(reply.Header("Task-Status") == "200");
    CHECK(probe.Fault(fake, R"({"fault":"crash"})") == 200);
    probe.loop.RunFor(Duration(60));
    CHECK(probe.Send(fake, HttpMethod::kGet, "/log").outcome == HttpOutcome::kNotSent);
    probe.loop.RunFor(Duration(600));
  }
  const nlohmann::json log = nlohmann::json::parse(probe.Send(fake, HttpMethod::kGet, "/log").body);
  CHECK(log["tasks"]["t1"]["starts"] == 2);
  CHECK(log["tasks"]["t1"]["completions"] == 2);
  CHECK(log["tasks"]["t1"]["reply"] == "r1");
  CHECK(log["max_running"] == 1);
}

// Guards against arguments that are accepted although only a prefix is valid.
TEST_CASE("malformed or out-of-range numbers and addresses are rejected") {
  CHECK(ParseNumber("80", 0, 100) == 80);
  CHECK_FALSE(ParseNumber("80x", 0, 100).has_value());
  CHECK_FALSE(ParseNumber("101", 0, 100).has_value());
  CHECK_FALSE(ParseNumber("", 0, 100).has_value());
  CHECK(ParseAddress("127.0.0.1:80") == std::pair(std::string("127.0.0.1"), std::uint16_t{80}));
  CHECK_FALSE(ParseAddress("127.0.0.1").has_value());
  CHECK_FALSE(ParseAddress("127.0.0.1:0").has_value());
}

}  // namespace
}  // namespace cranberryplank
