#include "cranberryplank/platform/http_vm_directory.h"

#include <catch2/catch.hpp>
#include <optional>

#include "cranberryplank/support/event_loop.h"
#include "cranberryplank/support/fake_vm_list.h"

namespace cranberryplank {
namespace {

using Listings = std::vector<VmListing>;

/// Reads a list once and checks that a failed read has a reason.
std::optional<Listings> ReadList(EventLoop* loop, HttpClient* client, std::uint16_t port) {
  HttpVmDirectory directory(client, "127.0.0.1", port, Duration(200));
  std::optional<Listings> result;
  bool called = false;
  directory.List("worker", [&](TimePoint, const auto& list, std::string_view reason) {
    called = true;
    if (list) {
      result = list->listings;
    }
    CHECK(reason.empty() == list.has_value());
  });
  REQUIRE_FALSE(called);
  REQUIRE(loop->RunUntil([&] { return called; }));
  return result;
}

// Guards against a list that omits leaving VMs or mixes services.
TEST_CASE("the VM list is read with its leaving VMs, also when it is stale or nearly empty") {
  EventLoop loop;
  FakeVmList fake(loop.base());
  REQUIRE(fake.Listen(0));
  HttpClient client(loop.base());
  fake.table().Add("worker", "vm-1");
  fake.table().Add("worker", "vm-2");
  fake.table().Add("cranberryplankd", "entry-1");
  REQUIRE(fake.Inject(Fault("stale")));
  fake.table().SetLeaving("worker", "vm-2", true);
  CHECK(ReadList(&loop, &client, fake.port()) == Listings{{"vm-1", false}, {"vm-2", false}});
  REQUIRE(fake.Inject(Fault("clear")));
  CHECK(ReadList(&loop, &client, fake.port()) == Listings{{"vm-1", false}, {"vm-2", true}});
  REQUIRE(fake.Inject(Fault("nearly_empty")));
  CHECK(ReadList(&loop, &client, fake.port()) == Listings{{"vm-1", false}});
}

// Guards against a partial list, whose omitted VMs would be treated as removed.
TEST_CASE("an incomplete list is rejected") {
  EventLoop loop;
  FakeVmList fake(loop.base());
  REQUIRE(fake.Listen(0));
  HttpClient client(loop.base());
  const std::string name = GENERATE("refuse", "drop_request", "lose_answer", "truncate",
                                    "no_length", "no_last_chunk", "delay");
  REQUIRE(fake.Inject(Fault(name, 1, Duration(400))));
  CHECK_FALSE(ReadList(&loop, &client, fake.port()).has_value());
}

// Guards against an invalid entry that is skipped, so that its VM would be treated as removed.
TEST_CASE("a list with an invalid entry is rejected") {
  EventLoop loop;
  const auto sample = GENERATE(table<std::string, bool>({
      {R"([])", true},
      {R"([{"Node":{"Node":"vm-1"},"Service":{"Service":"worker","Tags":null}}])", true},
      {R"({})", false},
      {R"([{"Node":{"Node":"vm-1"},"Service":{"Service":"worker"}},{}])", false},
      {R"([{"Node":{"Node":"vm-1"},"Service":{"Service":"other"}}])", false},
      {R"([{"Node":{"Node":7},"Service":{"Service":"worker"}}])", false},
      {R"([)", false},
  }));
  HttpServer server(loop.base(), [&](const std::shared_ptr<HttpExchange>& exchange) {
    exchange->Reply({200, std::get<0>(sample), {}});
  });
  REQUIRE(server.Listen(0));
  HttpClient client(loop.base());
  CHECK(ReadList(&loop, &client, server.port()).has_value() == std::get<1>(sample));
}

// Guards against tasks for a VM whose node the platform reports as down.
TEST_CASE("a VM whose node is down is not listed") {
  EventLoop loop;
  HttpServer server(loop.base(), [](const std::shared_ptr<HttpExchange>& exchange) {
    exchange->Reply({200,
                     R"([{"Node":{"Node":"vm-1"},"Service":{"Service":"worker"},
                          "Checks":[{"CheckID":"serfHealth","Status":"critical"}]},
                         {"Node":{"Node":"vm-2"},"Service":{"Service":"worker"},
                          "Checks":[{"CheckID":"service:x","Status":"critical"}]}])",
                     {}});
  });
  REQUIRE(server.Listen(0));
  HttpClient client(loop.base());
  CHECK(ReadList(&loop, &client, server.port()) == Listings{{"vm-2", false}});
}

}  // namespace
}  // namespace cranberryplank
