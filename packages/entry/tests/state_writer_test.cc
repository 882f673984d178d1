#include "cranberryplank/entry/state_writer.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <string>

#include "fleet_fixture.h"

namespace cranberryplank {

namespace {

constexpr int kJobs = 100;

/// Starts jobs with two tasks each.
void StartJobs(FleetFixture* fixture) {
  for (int i = 0; i < kJobs; ++i) {
    fixture->Submit(fmt::format("job{}", i), 2);
  }
  for (int i = 0; i < 20; ++i) {
    fixture->Step();
    fixture->ReplyToRenewals();
  }
  REQUIRE(fixture->link.starts.size() == 2 * kJobs);
  for (const auto& [worker, order] : fixture->link.starts) {
    fixture->scheduler.OnStart(fixture->now, worker, order, {CallOutcome::kOk, 0});
  }
}

/// Lists the runs of the tasks with this index as ended, on all workers.
void EndTasks(FleetFixture* fixture, int index) {
  FleetFixture::EndedRuns ended;
  for (const auto& [worker, order] : fixture->link.starts) {
    if (order.task.index == index) {
      auto& runs = ended[worker];
      const std::uint64_t number = static_cast<std::uint64_t>(index) * kJobs + runs.size() + 1;
      runs.push_back({number, order.task.Name(), order.run, RunEndKind::kDone, ""});
    }
  }
  fixture->now += Duration(100);
  fixture->scheduler.SetAuthority(fixture->now + Duration(8'000));
  fixture->scheduler.Tick(fixture->At());
  fixture->ReplyToRenewals(ended);
}

}  // namespace

// Guards against a backlog of progress: with an entry for each job a transaction of 32 entries
// stored the progress of a few jobs while hundreds changed, and ends waited for six seconds.
TEST_CASE("one transaction stores the progress of many jobs") {
  FleetFixture fixture;
  fixture.scheduler.SetProgressInLog(fixture.now, true);
  fixture.Begin();
  StartJobs(&fixture);
  EndTasks(&fixture, 0);
  const int before = fixture.store.commits;
  fixture.Step();
  CHECK(fixture.store.commits == before + 1);
  CHECK(fixture.scheduler.OldestUnstored(fixture.now) == Duration(0));
  CHECK(fixture.writer.progress_log().entries() == 1);
}

// Guards against a log that grows while jobs come and go.
TEST_CASE("an entry of the progress log is removed from the store once its jobs have ended") {
  FleetFixture fixture;
  fixture.scheduler.SetProgressInLog(fixture.now, true);
  fixture.Begin();
  StartJobs(&fixture);
  EndTasks(&fixture, 0);
  fixture.Step();
  REQUIRE(fixture.writer.progress_log().entries() == 1);
  EndTasks(&fixture, 1);
  for (int i = 0; i < 20; ++i) {
    fixture.Step();
    fixture.ReplyToRenewals();
  }
  CHECK(fixture.scheduler.job_table().active().empty());
  fixture.Submit("last", 1);
  for (int i = 0; i < 5; ++i) {
    fixture.Step();
  }
  CHECK(fixture.writer.progress_log().entries() == 0);
}

// Guards against a daemon of the previous version that takes over during a rollout: it reads only
// the entries of single jobs, and would run tasks again that are done.
TEST_CASE("progress is stored again for each job when a daemon needs the earlier format") {
  FleetFixture fixture;
  fixture.scheduler.SetProgressInLog(fixture.now, true);
  fixture.Begin();
  StartJobs(&fixture);
  EndTasks(&fixture, 0);
  fixture.Step();
  CHECK(fixture.store.Value(ProgressKey("job7")).empty());
  fixture.scheduler.SetProgressInLog(fixture.now, false);
  for (int i = 0; i < 20; ++i) {
    fixture.Step();
    fixture.ReplyToRenewals();
  }
  for (int i = 0; i < kJobs; ++i) {
    const auto progress = DecodeProgress(fixture.store.Value(ProgressKey(fmt::format("job{}", i))));
    REQUIRE(progress);
    CHECK(progress->done.at({0, 0}) == std::set<int>{0});
  }
}

namespace {

std::string ProgressOf(std::set<int> done) {
  JobProgress progress;
  progress.done[{0, 0}] = std::move(done);
  return EncodeProgress(progress);
}

}  // namespace

// Guards against a new owner that takes older progress for the newest.
TEST_CASE("a new owner loads the newest progress from the log and from single entries") {
  FleetFixture fixture;
  JobSpec spec;
  spec.queue = "queue";
  spec.pool = "pool";
  StepSpec step;
  step.count = 3;
  spec.steps.push_back(step);
  for (const char* id : {"a", "b"}) {
    spec.id = id;
    fixture.store.Put(JobKey(id), EncodeJob(spec));
  }
  const std::uint64_t epoch = 5;
  fixture.store.Put(ProgressKey("a"), ProgressOf({0}));
  fixture.store.Put(ProgressLogKey(epoch, 1),
                    EncodeProgressEntry(std::vector<StoredProgress>{{"a", ProgressOf({0, 1})},
                                                                    {"b", ProgressOf({0})}}));
  fixture.store.Put(ProgressLogKey(epoch, 2),
                    EncodeProgressEntry(std::vector<StoredProgress>{{"a", ProgressOf({0, 1, 2})}}));
  fixture.store.Put(ProgressLogKey(epoch, 3), "unreadable");
  fixture.store.Put(ProgressKey("b"), ProgressOf({0, 2}));
  ScheduleOwner owner({&fixture.store, &fixture.link, &fixture.format, &fixture.ownership, nullptr},
                      SchedulerSettings{}, VmFleetSettings{});
  ClusterConfig config;
  config.pools["pool"] = {"pool", false, false};
  owner.SetConfig(fixture.At(), std::make_shared<const ClusterConfig>(config));
  owner.Begin(fixture.At());
  for (int i = 0; i < 20 && !owner.ready(); ++i) {
    fixture.now += Duration(10);
    owner.Tick(fixture.At());
    fixture.store.Deliver(fixture.now);
  }
  REQUIRE(owner.ready());
  const JobTable& jobs = owner.scheduler()->job_table();
  CHECK(jobs.Find("a")->Progress().done.at({0, 0}) == std::set<int>{0, 1, 2});
  CHECK(jobs.Find("b")->Progress().done.at({0, 0}) == std::set<int>{0, 2});
}

}  // namespace cranberryplank
