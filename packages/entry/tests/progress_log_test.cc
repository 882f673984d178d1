#include "cranberryplank/entry/progress_log.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace cranberryplank {

namespace {

using Names = std::vector<std::string>;

}  // namespace

TEST_CASE("an entry of the progress log survives encoding and decoding") {
  const std::vector<StoredProgress> rows{{"a", std::string("\x00\xff", 2)}, {"b", ""}};
  const auto decoded = DecodeProgressEntry(EncodeProgressEntry(rows));
  REQUIRE(decoded);
  CHECK(*decoded == rows);
  CHECK_FALSE(DecodeProgressEntry("nonsense").has_value());
  CHECK_FALSE(DecodeProgressEntry("").has_value());
}

// Guards against loading entries in another order than they were written: older progress would
// replace newer progress, and tasks that are done would run again.
TEST_CASE("keys of the progress log are in the order of writing") {
  CHECK(ProgressLogKey(9, 10) > ProgressLogKey(9, 9));
  CHECK(ProgressLogKey(10, 1) > ProgressLogKey(9, 500));
}

// Guards against removing the only copy of a job's progress, and against a log that grows without
// limit.
TEST_CASE("an entry is removed only once no job needs it") {
  ProgressLog log;
  log.OnStored("1", Names{"a", "b"});
  CHECK(log.unneeded() == 0);
  log.OnStored("2", Names{"a"});
  CHECK(log.unneeded() == 0);
  log.OnStored("3", Names{"b", "b"});
  CHECK(log.TakeUnneeded(0).empty());
  CHECK(log.TakeUnneeded(10) == Names{"1"});
  log.OnRemoved(Names{"1"});
  CHECK(log.unneeded() == 0);
  log.OnJobEnded("a");
  log.OnJobEnded("unknown");
  CHECK(log.TakeUnneeded(10) == Names{"2"});
  log.OnJobEnded("b");
  // A transaction that was refused removes nothing.
  log.Return(Names{"2"});
  CHECK(log.TakeUnneeded(10) == Names{"2", "3"});
  log.OnRemoved(Names{"2", "3"});
  CHECK(log.entries() == 0);
}

// Guards against entries of an earlier owner that are never removed: all their jobs have ended.
TEST_CASE("an entry without active jobs is not needed") {
  ProgressLog log;
  log.OnStored("1", Names{});
  CHECK(log.TakeUnneeded(10) == Names{"1"});
}

}  // namespace cranberryplank
