#include "cranberryplank/platform/http_store.h"

#include <catch2/catch.hpp>
#include <optional>

#include "cranberryplank/support/event_loop.h"
#include "cranberryplank/support/fake_store.h"

namespace cranberryplank {
namespace {

constexpr Duration kTimeout{200};

/// Fake store and a store client.
class HttpStoreFixture {
 public:
  HttpStoreFixture() : listens(fake.Listen(0)), store(&client, "127.0.0.1", fake.port(), kTimeout) {
    REQUIRE(listens);
  }

  StoreReadReply Read(std::string_view key) {
    std::optional<StoreReadReply> result;
    store.Read(key, [&](TimePoint, const StoreReadReply& reply) { result = reply; });
    REQUIRE_FALSE(result.has_value());
    REQUIRE(loop.RunUntil([&] { return result.has_value(); }));
    return *result;
  }

  StoreWriteReply Write(std::string_view key, std::string_view value, std::uint64_t index) {
    std::optional<StoreWriteReply> result;
    store.CompareAndSwap(key, value, index,
                         [&](TimePoint, const StoreWriteReply& reply) { result = reply; });
    REQUIRE_FALSE(result.has_value());
    REQUIRE(loop.RunUntil([&] { return result.has_value(); }));
    CHECK(result->reason.empty() == (result->status == StoreStatus::kOk));
    return *result;
  }

  void Inject(const std::string& name, const std::string& method, Duration time = Duration(0)) {
    REQUIRE(fake.Inject(Fault(name, 1, time, method)));
  }

  EventLoop loop;
  FakeStore fake{loop.base()};
  bool listens;
  HttpClient client{loop.base()};
  HttpStore store;
};

// Guards against keys or values that are corrupted in transit, and against an unconditional swap.
TEST_CASE("any bytes can be stored, and a swap requires the current version") {
  HttpStoreFixture fixture;
  const std::string key = "dir/a key?%";
  const std::string value =
      GENERATE(std::string("plain"), std::string(), std::string("\0\xff\n", 3));
  const StoreReadReply absent = fixture.Read(key);
  CHECK(absent.status == StoreStatus::kOk);
  CHECK_FALSE(absent.found);
  CHECK(absent.index == 0);
  CHECK(absent.watch_index > 0);
  CHECK(fixture.Write(key, value, 0).status == StoreStatus::kOk);
  CHECK(fixture.Write(key, "other", 0).status == StoreStatus::kConflict);
  const StoreReadReply present = fixture.Read(key);
  CHECK(present.found);
  CHECK(present.value == value);
  CHECK(fixture.Write(key, "next", present.index).status == StoreStatus::kOk);
  CHECK(fixture.Read(key).value == "next");
}

// Guards against a write that is reported as failed although it took or will take effect, and
// against one that is reported as unknown although it cannot have had any effect.
TEST_CASE("the status of a write under each fault") {
  HttpStoreFixture fixture;
  StoreStatus expected = StoreStatus::kUnknown;
  bool takes_effect = true;
  SECTION("answer lost") { fixture.Inject("lose_answer", "PUT"); }
  SECTION("answer truncated") { fixture.Inject("truncate", "PUT"); }
  SECTION("answer without length") { fixture.Inject("no_length", "PUT"); }
  SECTION("answer late") { fixture.Inject("delay", "PUT", Duration(400)); }
  SECTION("write late") { fixture.Inject("late_write", "PUT", Duration(400)); }
  SECTION("request dropped") {
    fixture.Inject("drop_request", "PUT");
    takes_effect = false;
  }
  SECTION("refused") {
    fixture.Inject("refuse", "PUT");
    expected = StoreStatus::kRefused;
    takes_effect = false;
  }
  SECTION("unreachable") {
    fixture.Inject("unreachable", "", Duration(600));
    fixture.loop.RunFor(Duration(60));
    expected = StoreStatus::kRefused;
    takes_effect = false;
  }
  CHECK(fixture.Write("key", "value", 0).status == expected);
  fixture.loop.RunFor(Duration(700));
  CHECK(fixture.fake.table().writes() == (takes_effect ? 1 : 0));
  CHECK(fixture.Read("key").found == takes_effect);
}

// Guards against a lost or unrelated answer that is taken for an absent key or for its value.
TEST_CASE("the status of a read under each fault") {
  HttpStoreFixture fixture;
  fixture.fake.table().Put("key", "value");
  StoreStatus expected = StoreStatus::kUnknown;
  SECTION("answer lost") { fixture.Inject("lose_answer", "GET"); }
  SECTION("answer truncated") { fixture.Inject("truncate", "GET"); }
  SECTION("answer without length") { fixture.Inject("no_length", "GET"); }
  SECTION("answer without last chunk") { fixture.Inject("no_last_chunk", "GET"); }
  SECTION("answer late") { fixture.Inject("delay", "GET", Duration(400)); }
  SECTION("refused") {
    fixture.Inject("refuse", "GET");
    expected = StoreStatus::kRefused;
  }
  const StoreReadReply reply = fixture.Read("key");
  CHECK(reply.status == expected);
  CHECK_FALSE(reply.found);
  CHECK_FALSE(reply.reason.empty());
}

// Guards against another key's value, and against an absent key that another server reports.
TEST_CASE("an answer for another key or without an index has the status unknown") {
  HttpStoreFixture fixture;
  fixture.fake.table().Put("a", "value of a");
  fixture.fake.table().Put("b", "value of b");
  fixture.Inject("swap", "GET");
  fixture.Inject("swap", "GET");
  int unknown = 0;
  for (const std::string_view key : {"a", "b"}) {
    fixture.store.Read(key, [&](TimePoint, const StoreReadReply& reply) {
      CHECK(reply.status == StoreStatus::kUnknown);
      ++unknown;
    });
  }
  CHECK(fixture.loop.RunUntil([&] { return unknown == 2; }));

  HttpServer other(fixture.loop.base(), [](const std::shared_ptr<HttpExchange>& exchange) {
    exchange->Reply({404, "no such page", {}});
  });
  REQUIRE(other.Listen(0));
  HttpStore store(&fixture.client, "127.0.0.1", other.port(), kTimeout);
  store.Read("a", [&](TimePoint, const StoreReadReply& reply) {
    CHECK(reply.status == StoreStatus::kUnknown);
    ++unknown;
  });
  CHECK(fixture.loop.RunUntil([&] { return unknown == 3; }));
}

// Guards against a server error that is treated as proof that a write had no effect.
TEST_CASE("a server error leaves a write unknown") {
  HttpStoreFixture fixture;
  HttpServer other(fixture.loop.base(), [](const std::shared_ptr<HttpExchange>& exchange) {
    exchange->Reply({500, "leadership lost while committing log", {}});
  });
  REQUIRE(other.Listen(0));
  HttpStore store(&fixture.client, "127.0.0.1", other.port(), kTimeout);
  std::optional<StoreStatus> status;
  store.CompareAndSwap("a", "b", 0,
                       [&](TimePoint, const StoreWriteReply& reply) { status = reply.status; });
  CHECK(fixture.loop.RunUntil([&] { return status.has_value(); }));
  CHECK(status == StoreStatus::kUnknown);
}

// Guards against a watch that ends with the timeout of a read, that ends early or that never ends.
TEST_CASE("a watch lasts until the change or for its wait") {
  HttpStoreFixture fixture;
  fixture.fake.table().Put("key", "old");
  const std::uint64_t index = fixture.Read("key").watch_index;
  std::optional<StoreReadReply> seen;
  const TimePoint start = Clock::now();
  fixture.store.Watch("key", index, Duration(400),
                      [&](TimePoint, const StoreReadReply& reply) { seen = reply; });
  SECTION("change") {
    fixture.loop.RunFor(Duration(50));
    CHECK_FALSE(seen.has_value());
    CHECK(fixture.Write("key", "new", index).status == StoreStatus::kOk);
    REQUIRE(fixture.loop.RunUntil([&] { return seen.has_value(); }));
    CHECK(seen->value == "new");
  }
  SECTION("no change") {
    REQUIRE(fixture.loop.RunUntil([&] { return seen.has_value(); }));
    CHECK(Clock::now() - start >= Duration(390));
    CHECK(seen->status == StoreStatus::kOk);
    CHECK(seen->value == "old");
    CHECK(seen->watch_index == index);
  }
}

}  // namespace
}  // namespace cranberryplank
