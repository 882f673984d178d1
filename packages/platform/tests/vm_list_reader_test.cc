#include "cranberryplank/platform/vm_list_reader.h"

#include <catch2/catch.hpp>

#include "cranberryplank/platform/http_vm_directory.h"
#include "cranberryplank/support/event_loop.h"
#include "cranberryplank/support/fake_vm_list.h"

namespace cranberryplank {
namespace {

constexpr TimePoint kStart{Duration(10'000)};

/// Stores the callbacks of the calls in progress.
class DirectoryStub : public VmDirectory {
 public:
  void List(std::string_view, ListCallback done) override { list = std::move(done); }
  void WatchIndex(std::string_view, std::uint64_t index, Duration, IndexCallback done) override {
    (index == 0 ? refresh : watch) = std::move(done);
    watched = index;
  }

  ListCallback list;
  IndexCallback watch;
  IndexCallback refresh;
  std::uint64_t watched = 0;
};

class ReaderTest {
 protected:
  ReaderTest() {
    m_reader.signal_read().connect(
        [this](TimePoint, TimePoint, bool changed) { m_read_signals += changed ? 'c' : 'u'; });
  }

  /// Returns which call is started after `wait`, "read", "watch" or "none".
  std::string Next(Duration wait = Duration(1'000)) {
    m_now += wait;
    m_directory.list = nullptr;
    m_directory.watch = nullptr;
    m_reader.Tick(m_now);
    return m_directory.list ? "read" : m_directory.watch ? "watch" : "none";
  }
  void AnswerList(std::vector<VmListing> listings, std::uint64_t index) {
    m_directory.list(m_now, VmList{std::move(listings), index}, "");
  }
  void ReadTwice(std::uint64_t index) {
    for (int i = 0; i < 2; ++i) {
      REQUIRE(Next() == "read");
      AnswerList({{"vm-1", false}}, index);
    }
  }

  TimePoint m_now = kStart;
  DirectoryStub m_directory;
  VmListReader m_reader{&m_directory, "worker", Duration(1'000)};
  std::string m_read_signals;
};

// Guards against a missing second read after a change, and against reads without a change.
TEST_CASE_METHOD(ReaderTest, "a list is read twice after a change and watched otherwise") {
  ReadTwice(7);
  REQUIRE(Next() == "watch");
  CHECK(m_directory.watched == 7);
  m_directory.watch(m_now, 7, "");
  REQUIRE(Next() == "watch");
  m_directory.watch(m_now, 8, "");
  REQUIRE(Next(Duration(20)) == "read");
  AnswerList({{"vm-1", true}}, 8);
  CHECK(Next(Duration(20)) == "none");
  REQUIRE(Next() == "read");
  AnswerList({{"vm-1", true}}, 8);
  CHECK(m_read_signals == "cuucu");
}

// Guards against a watch that waits for an index that the platform does not reach after a restore.
TEST_CASE_METHOD(ReaderTest, "an index that goes backwards restarts the watch") {
  ReadTwice(7);
  REQUIRE(Next() == "watch");
  m_directory.watch(m_now, 3, "");
  REQUIRE(Next() == "read");
  AnswerList({{"vm-1", false}}, 3);
  REQUIRE(Next() == "watch");
  CHECK(m_directory.watched == 3);
}

// Guards against a list that becomes stale while a query hangs or because the platform has no
// blocking queries.
TEST_CASE_METHOD(ReaderTest, "the list is polled after a failed watch and without an index") {
  ReadTwice(7);
  REQUIRE(Next() == "watch");
  const std::optional<TimePoint> confirmed = m_reader.confirmed();
  m_directory.watch(m_now, std::nullopt, "no answer");
  CHECK(m_reader.confirmed() == confirmed);
  for (int i = 0; i < 29; ++i) {
    REQUIRE(Next() == "read");
    AnswerList({{"vm-1", false}}, 7);
  }
  REQUIRE(Next() == "watch");
  m_directory.watch(m_now, 8, "");
  REQUIRE(Next() == "read");
  AnswerList({{"vm-1", false}}, 0);
  CHECK(Next() == "read");
}

// Guards against permits that are based on a list as old as the watch in progress.
TEST_CASE_METHOD(ReaderTest, "a refresh during a watch confirms the list or reads it again") {
  ReadTwice(7);
  REQUIRE(Next() == "watch");
  m_now += Duration(1'000);
  m_reader.Refresh(m_now);
  REQUIRE(m_directory.refresh);
  m_directory.refresh(m_now, 7, "");
  CHECK(m_reader.confirmed() == m_now);
  m_reader.Refresh(m_now += Duration(1'000));
  m_directory.refresh(m_now, 8, "");
  REQUIRE(m_directory.list);
  CHECK(m_reader.confirmed() != m_now);
}

// Guards against a watch that does not return on a change or returns before it.
TEST_CASE("Consul's blocking query answers on a change or after the wait") {
  EventLoop loop;
  FakeVmList fake(loop.base());
  REQUIRE(fake.Listen(0));
  HttpClient client(loop.base());
  HttpVmDirectory directory(&client, "127.0.0.1", fake.port());
  fake.table().Add("worker", "vm-1");
  std::optional<std::uint64_t> seen;
  const auto watch = [&](std::uint64_t index, Duration wait) {
    seen.reset();
    directory.WatchIndex("worker", index, wait,
                         [&](TimePoint, auto current, std::string_view) { seen = current; });
  };
  const std::uint64_t index = fake.table().index();
  watch(0, Duration(0));
  REQUIRE(loop.RunUntil([&] { return seen.has_value(); }));
  CHECK(seen == index);
  watch(index, Duration(100));
  REQUIRE(loop.RunUntil([&] { return seen.has_value(); }));
  CHECK(seen == index);
  watch(index, Duration(60'000));
  loop.RunFor(Duration(50));
  REQUIRE_FALSE(seen);
  fake.table().SetLeaving("worker", "vm-1", true);
  REQUIRE(loop.RunUntil([&] { return seen.has_value(); }));
  CHECK(seen == index + 1);
}

}  // namespace
}  // namespace cranberryplank
