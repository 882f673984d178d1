#include "cranberryplank/model/log_buffer.h"

#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <string>

namespace cranberryplank {

// Guards against a daemon that blocks because its log output is not read.
TEST_CASE("a stalled log reader causes dropped lines but does not block") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  {
    LogBuffer buffer(ends[1]);
    const std::string line(200, 'x');
    for (int i = 0; i < 20'000; ++i) {
      buffer.Add(line + "\n");
    }
    CHECK(buffer.dropped() > 0);
    CHECK(buffer.pending() <= 256U << 10U);
  }
  close(ends[0]);
  close(ends[1]);
}

// Guards against excessive log output. The budget applies to each interval.
TEST_CASE("lines beyond the budget are dropped and counted") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  {
    LogBuffer buffer(ends[1]);
    buffer.SetPeriodic(true);
    buffer.SetBudget(10);
    for (int i = 0; i < 25; ++i) {
      buffer.Add("line\n");
    }
    CHECK(buffer.dropped() == 15);
    buffer.SetBudget(10);
    buffer.Add("line\n");
    buffer.Flush();
    CHECK(buffer.pending() == 0);
  }
  std::array<char, 4'096> text{};
  const ssize_t size = read(ends[0], text.data(), text.size());
  CHECK(
      std::string(text.data(), static_cast<std::size_t>(size)).find("log_lines_dropped total=15") !=
      std::string::npos);
  close(ends[0]);
  close(ends[1]);
}

// Guards against warnings that are missing exactly when a daemon is overloaded: with the budget
// used up by a line for each task, the loss of the ownership was not logged.
TEST_CASE("a line beyond the budget is kept, and others need not be formatted") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  {
    LogBuffer buffer(ends[1]);
    buffer.SetPeriodic(true);
    buffer.SetBudget(1);
    CHECK(buffer.AcceptsLine());
    buffer.Add("line\n");
    CHECK_FALSE(buffer.AcceptsLine());
    CHECK(buffer.dropped() == 1);
    buffer.AddBeyondBudget("warning\n");
    buffer.Flush();
  }
  std::array<char, 4'096> text{};
  const ssize_t size = read(ends[0], text.data(), text.size());
  CHECK(std::string(text.data(), static_cast<std::size_t>(size)).find("warning") !=
        std::string::npos);
  close(ends[0]);
  close(ends[1]);
}

}  // namespace cranberryplank
