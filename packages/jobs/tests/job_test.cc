#include "cranberryplank/jobs/job.h"

#include <catch2/catch.hpp>
#include <limits>
#include <nlohmann/json.hpp>

#include "cranberryplank/jobs/job_codec.h"
#include "cranberryplank/jobs/message_pack.h"

namespace cranberryplank {

namespace {

JobSpec Sample() {
  JobSpec spec;
  spec.id = "5c0e7a21d94b36f8";
  spec.queue = "queue";
  spec.pool = "pool";
  spec.customer = "customer";
  spec.payload = std::string("text \xff with any byte");
  StepSpec first;
  first.count = 4;
  first.per_task = {500, 256, 0};
  first.estimate_ms = 900;
  first.preferred_rack = "r1-3";
  StepSpec second;
  second.count = 20;
  second.per_task = {2'000, 1'024, 1};
  second.estimate_ms = 7'000;
  second.after = {0};
  second.saves_progress = true;
  second.max_unavailable = 2;
  spec.steps = {first, second};
  return spec;
}

}  // namespace

TEST_CASE("a job survives encoding and decoding") {
  const JobSpec spec = Sample();
  const auto record = DecodeJob(spec.id, EncodeJob(spec));
  REQUIRE(record);
  REQUIRE(record->spec);
  CHECK(record->spec->payload == spec.payload);
  CHECK(record->spec->pool == "pool");
  CHECK(record->spec->steps[1].after == std::vector<int>{0});
  CHECK(record->spec->steps[1].per_task == spec.steps[1].per_task);
  CHECK(record->spec->steps[1].saves_progress);
  CHECK(record->spec->steps[1].max_unavailable == 2);
  CHECK(record->spec->ChainEstimateMs() == 7'900);
}

// Guards against a crash when a stored value is truncated or corrupt.
TEST_CASE("truncated and corrupt values are rejected") {
  const std::string good = EncodeJob(Sample());
  CHECK_FALSE(DecodeJob("id", "").has_value());
  CHECK_FALSE(DecodeProgress("\xc1").has_value());
  for (std::size_t size = 0; size < good.size(); ++size) {
    CHECK_FALSE(DecodeJob("id", good.substr(0, size)).has_value());
  }
}

TEST_CASE("progress keeps done tasks and the runs that failed") {
  JobProgress progress;
  progress.state = JobState::kRunning;
  progress.done_occurrences = {0, 2};
  progress.done[{1, 0}] = {3, 5};
  progress.failures[{{1, 0}, 4}] = {1, 1'001};
  const auto decoded = DecodeProgress(EncodeProgress(progress));
  REQUIRE(decoded);
  CHECK(decoded->done_occurrences == progress.done_occurrences);
  CHECK(decoded->done == progress.done);
  CHECK(decoded->failures == progress.failures);
}

// Guards against a task that crashes its workers without end because each new owner of the schedule
// begins to count anew.
TEST_CASE("progress keeps the runs under which a worker crashed") {
  JobProgress progress;
  progress.crashes[{{0, 1}, 2}] = {1, 1'002};
  const auto decoded = DecodeProgress(EncodeProgress(progress));
  REQUIRE(decoded);
  CHECK(decoded->crashes == progress.crashes);
  CHECK(decoded->failures.empty());
}

// Guards against a task that crashes its workers without end because each owner of the schedule is
// replaced before it sees that they restarted.
TEST_CASE("progress keeps the runs whose worker fell silent") {
  JobProgress progress;
  progress.unconfirmed_crashes[{{0, 1}, 2}] = {3};
  progress.suspects[{{0, 1}, 2}][1'004] = {"worker", "vm", 1'234'567'890'123, true, false};
  progress.suspects[{{0, 1}, 2}][1'005] = {"other", "", 7, false, true};
  const auto decoded = DecodeProgress(EncodeProgress(progress));
  REQUIRE(decoded);
  CHECK(decoded->unconfirmed_crashes == progress.unconfirmed_crashes);
  CHECK(decoded->suspects == progress.suspects);
}

// Guards against progress that an earlier version, which reads the first six fields, can not read,
// and against larger entries for the many jobs without suspects.
TEST_CASE("runs whose worker fell silent are stored in additional fields") {
  JobProgress progress;
  progress.crashes[{{0, 0}, 1}] = {1};
  const nlohmann::json without = FromMessagePack(EncodeProgress(progress));
  progress.suspects[{{0, 0}, 1}][2] = {"worker", "vm", 5, true, true};
  nlohmann::json with = FromMessagePack(EncodeProgress(progress));
  REQUIRE(without.size() == 6);
  REQUIRE(with.size() == 8);
  with.erase(with.begin() + 6, with.end());
  CHECK(with == without);
}

// Guards against jobs that are lost in an upgrade from a version that stored no crashes.
TEST_CASE("progress of an earlier version without crashes is read") {
  const std::string entry = ToMessagePack(nlohmann::json::array(
      {1, 0, nlohmann::json::array({3}), nlohmann::json::array(), nlohmann::json::array()}));
  const auto decoded = DecodeProgress(entry);
  REQUIRE(decoded);
  CHECK(decoded->done_occurrences == std::set<int>{3});
  CHECK(decoded->crashes.empty());
}

TEST_CASE("task names are parsed") {
  const TaskId id{"5c0e7a21d94b36f8", 2, 1, 17};
  CHECK(id.Name() == "5c0e7a21d94b36f8.2.1.17");
  CHECK(TaskId::Parse(id.Name()) == id);
  CHECK_FALSE(TaskId::Parse("a.1.2").has_value());
  CHECK_FALSE(TaskId::Parse("a.1.2.x").has_value());
  CHECK_FALSE(TaskId::Parse("").has_value());
}

// Guards against one job whose tasks alone take the owner's memory.
TEST_CASE("a job may have a hundred thousand tasks over all of its steps") {
  JobSpec spec;
  StepSpec step;
  step.count = 50'000;
  spec.steps = {step, step};
  CHECK_FALSE(FindSpecError(spec));
  spec.steps.push_back(step);
  CHECK(FindSpecError(spec));
}

TEST_CASE("the due time of an occurrence does not overflow") {
  constexpr std::int64_t kMost = std::numeric_limits<std::int64_t>::max();
  JobSpec spec;
  spec.first_due_unix_ms = 1'000;
  spec.interval_ms = 500;
  CHECK(spec.DueUnixMs(3) == 2'500);
  spec.interval_ms = kMost / 2;
  CHECK(spec.DueUnixMs(2'000'000'000) == kMost);
  spec.first_due_unix_ms = -kMost;
  spec.interval_ms = 0;
  CHECK(spec.DueUnixMs(0) == 0);
}

TEST_CASE("jobs that can never run are rejected at submission") {
  JobSpec spec = Sample();
  CHECK_FALSE(FindSpecError(spec).has_value());
  spec.steps[0].after = {1};
  CHECK(FindSpecError(spec).has_value());
  spec = Sample();
  spec.steps[0].count = 0;
  CHECK(FindSpecError(spec).has_value());
  spec.steps.clear();
  CHECK(FindSpecError(spec).has_value());
}

}  // namespace cranberryplank
