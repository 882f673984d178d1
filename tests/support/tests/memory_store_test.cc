#include "cranberryplank/support/memory_store.h"

#include <catch2/catch.hpp>
#include <optional>

#include "cranberryplank/support/simulated_process.h"

namespace cranberryplank {
namespace {

/// Calls the store and keeps the last reply.
class StoreProbe {
 public:
  void Write(std::string_view value, std::uint64_t index) {
    write.reset();
    store.CompareAndSwap("key", value, index, [this](TimePoint, const StoreWriteReply& reply) {
      CHECK_FALSE(write.has_value());
      write = reply.status;
    });
  }

  StoreReadReply Read() {
    StoreReadReply result;
    store.Read("key", [&](TimePoint, const StoreReadReply& reply) { result = reply; });
    queue.RunFor(Duration(10));
    return result;
  }

  EventQueue queue;
  MemoryStore store{&queue};
  std::optional<StoreStatus> write;
};

// Guards against a callback from inside the call and a compare-and-swap that ignores the version.
TEST_CASE("a compare-and-swap with an old version is a conflict") {
  StoreProbe probe;
  probe.Write("a", 0);
  CHECK_FALSE(probe.write.has_value());
  probe.queue.RunFor(Duration(10));
  CHECK(probe.write == StoreStatus::kOk);
  probe.Write("b", 0);
  probe.queue.RunFor(Duration(10));
  CHECK(probe.write == StoreStatus::kConflict);
  CHECK(probe.Read().value == "a");
}

// Guards against reporting a write as failed although it took effect.
TEST_CASE("a write whose answer is lost is unknown and has taken effect") {
  StoreProbe probe;
  probe.store.faults().lose_answers = 1;
  probe.Write("a", 0);
  probe.queue.RunFor(Duration(2'000));
  CHECK(probe.write == StoreStatus::kUnknown);
  CHECK(probe.Read().value == "a");
}

// Guards against a late write that overwrites a compare-and-swap made in between.
TEST_CASE("a late write takes effect after its caller timed out, unless another write came first") {
  const bool other_write = GENERATE(false, true);
  StoreProbe probe;
  probe.store.faults().late_writes = 1;
  probe.Write("late", 0);
  probe.queue.RunFor(Duration(2'000));
  CHECK(probe.write == StoreStatus::kUnknown);
  CHECK_FALSE(probe.Read().found);
  if (other_write) {
    probe.Write("other", 0);
  }
  probe.queue.RunFor(Duration(3'000));
  CHECK(probe.Read().value == (other_write ? "other" : "late"));
}

// Guards against an outage that is reported as an answer of the store.
TEST_CASE("a write to a store that is down is unknown, one that the store refuses is refused") {
  StoreProbe probe;
  probe.store.faults().down = GENERATE(true, false);
  probe.store.faults().refuse = !probe.store.faults().down;
  probe.Write("a", 0);
  probe.queue.RunFor(Duration(2'000));
  CHECK(probe.write == (probe.store.faults().down ? StoreStatus::kUnknown : StoreStatus::kRefused));
  probe.store.faults() = StoreFaults{};
  CHECK_FALSE(probe.Read().found);
}

// Guards against a watch that misses a change or never ends.
TEST_CASE("a watch answers at the change or at the end of the wait") {
  EventQueue queue;
  MemoryStore store(&queue);
  std::optional<StoreReadReply> seen;
  TimePoint seen_at;
  store.Watch("key", 1, Duration(5'000), [&](TimePoint now, const StoreReadReply& reply) {
    seen = reply;
    seen_at = now;
  });
  const TimePoint start = queue.Now();
  SECTION("change") {
    queue.RunFor(Duration(1'000));
    store.table()->Put("key", "new");
    queue.RunFor(Duration(10));
    REQUIRE(seen.has_value());
    CHECK(seen->value == "new");
    CHECK(seen->watch_index > 1);
  }
  SECTION("no change") {
    queue.RunFor(Duration(4'990));
    CHECK_FALSE(seen.has_value());
    queue.RunFor(Duration(100));
    REQUIRE(seen.has_value());
    CHECK(seen->status == StoreStatus::kOk);
    CHECK_FALSE(seen->found);
    CHECK(seen_at - start < Duration(5'010));
  }
}

// Guards against callbacks in a paused or killed process.
TEST_CASE("callbacks wait for a paused process and never reach a killed one") {
  EventQueue queue;
  SimulatedProcess process(&queue);
  MemoryStore store(&queue, &process, std::make_shared<KeyTable>());
  int callbacks = 0;
  store.CompareAndSwap("key", "a", 0, [&](TimePoint, const StoreWriteReply&) { ++callbacks; });
  process.Pause();
  queue.RunFor(Duration(5'000));
  CHECK(callbacks == 0);
  CHECK(store.table()->Get("key").value == "a");
  SECTION("resumed") {
    process.Resume();
    queue.RunFor(Duration(1));
    CHECK(callbacks == 1);
  }
  SECTION("killed") {
    process.Kill();
    process.Resume();
    queue.RunFor(Duration(1'000));
    CHECK(callbacks == 0);
  }
}

}  // namespace
}  // namespace cranberryplank
