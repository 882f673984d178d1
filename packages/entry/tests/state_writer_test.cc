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
  fixture->Run(20);
  REQUIRE(fixture->link.starts.size() == std::size_t{2} * kJobs);
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
      const std::uint64_t number = runs.size() + 1 + static_cast<std::uint64_t>(index) * kJobs;
      runs.push_back({number, order.task.Name(), order.run, RunEndKind::kDone, ""});
    }
  }
  fixture->now += Duration(100);
  fixture->scheduler.SetAuthority({fixture->now, fixture->now + Duration(8'000)});
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
  fixture.Run(20);
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
  fixture.Run(20);
  for (int i = 0; i < kJobs; ++i) {
    const auto progress = DecodeProgress(fixture.store.Value(ProgressKey(fmt::format("job{}", i))));
    REQUIRE(progress);
    CHECK(progress->done.at({0, 0}) == std::set<int>{0});
  }
}

// Replays 150 new jobs while the store takes its time. Guards against a backlog: with one
// transaction of 28 jobs per reply, callers waited for a second.
TEST_CASE("several transactions are under way while many changes wait") {
  FleetFixture fixture;
  fixture.Begin();
  fixture.Step();
  for (int i = 0; i < 150; ++i) {
    fixture.Submit(fmt::format("job{}", i), 1);
  }
  fixture.store_answers = false;
  const int before = fixture.store.commits;
  fixture.Step();
  CHECK(fixture.store.commits == before + 4);
  CHECK(fixture.scheduler.WaitingChanges() < 150 - 4 * 25);
  fixture.store_answers = true;
  for (int i = 0; i < 4; ++i) {
    fixture.Step();
  }
  CHECK(fixture.scheduler.WaitingChanges() == 0);
  for (int i = 0; i < 150; ++i) {
    CHECK_FALSE(fixture.store.Value(JobKey(fmt::format("job{}", i))).empty());
  }
}

// Guards against more calls to the store than needed: each has a price.
TEST_CASE("a few changes wait for the transaction that is under way") {
  FleetFixture fixture;
  fixture.Begin();
  fixture.Step();
  fixture.store_answers = false;
  const int before = fixture.store.commits;
  for (int i = 0; i < 5; ++i) {
    fixture.Submit(fmt::format("job{}", i), 1);
    fixture.Step();
  }
  CHECK(fixture.store.commits == before + 1);
}

// Guards against changes of one job in two transactions at once: the store may apply them in any
// order, so that the older one would be the last.
TEST_CASE("the changes of one job are never in two transactions") {
  FleetFixture fixture;
  fixture.Begin();
  fixture.Step();
  for (int i = 0; i < 60; ++i) {
    fixture.Submit(fmt::format("job{}", i), 1);
  }
  fixture.store_answers = false;
  fixture.Step();
  fixture.scheduler.Cancel(fixture.At(), "job0", [](bool) {});
  const int before = fixture.store.commits;
  fixture.Step();
  fixture.Step();
  CHECK(fixture.store.commits == before);
  fixture.store_answers = true;
  for (int i = 0; i < 3; ++i) {
    fixture.Step();
  }
  const auto record = DecodeJob("job0", fixture.store.Value(JobKey("job0")));
  REQUIRE(record);
  REQUIRE(record->ended);
  CHECK(record->ended->state == JobState::kCancelled);
}

// Guards against a late transaction of a further slot, as the cursor does for the first one.
TEST_CASE("a late transaction of any slot never overwrites a newer one") {
  FleetFixture fixture;
  fixture.Begin();
  fixture.Step();
  for (int i = 0; i < 60; ++i) {
    fixture.Submit(fmt::format("job{:02}", i), 1);
  }
  fixture.store_answers = false;
  fixture.store.skip_before_fault = 1;
  fixture.store.next_fault = CommitFault::kApplyLate;
  fixture.Step();
  fixture.store_answers = true;
  for (int i = 0; i < 5; ++i) {
    fixture.Step();
  }
  for (int i = 0; i < 60; ++i) {
    fixture.scheduler.Cancel(fixture.At(), fmt::format("job{:02}", i), [](bool) {});
  }
  for (int i = 0; i < 5; ++i) {
    fixture.Step();
  }
  CHECK(fixture.store.ApplyLate() == 0);
  for (int i = 0; i < 60; ++i) {
    const std::string id = fmt::format("job{:02}", i);
    const auto record = DecodeJob(id, fixture.store.Value(JobKey(id)));
    REQUIRE(record);
    CHECK(record->ended);
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

// Guards against an owner that cannot store, because an earlier one left cursors behind.
TEST_CASE("a new owner goes on with the cursors of an earlier one") {
  FleetFixture fixture;
  for (int i = 1; i < 4; ++i) {
    fixture.store.Put(fmt::format("{}/{}", kCursorKey, i), "5-77");
  }
  ScheduleOwner owner({&fixture.store, &fixture.link, &fixture.format, &fixture.ownership, nullptr},
                      SchedulerSettings{}, VmFleetSettings{});
  owner.SetConfig(fixture.At(), std::make_shared<const ClusterConfig>());
  owner.Begin(fixture.At());
  const auto run = [&] {
    fixture.now += Duration(30);
    owner.Tick(fixture.At());
    fixture.store.Deliver(fixture.now);
  };
  for (int i = 0; i < 20 && !owner.ready(); ++i) {
    run();
  }
  REQUIRE(owner.ready());
  int stored = 0;
  for (int i = 0; i < 150; ++i) {
    OwnerCall call;
    call.kind = OwnerCallKind::kSubmit;
    call.job = fmt::format("job{}", i);
    call.spec = JobSpec{};
    call.spec->id = call.job;
    call.spec->steps.emplace_back().count = 1;
    owner.Handle(fixture.At(), call, [&](TimePoint, const OwnerReply& reply) {
      stored += reply.status == OwnerStatus::kOk ? 1 : 0;
    });
  }
  for (int i = 0; i < 5; ++i) {
    run();
  }
  CHECK(stored == 150);
  CHECK(fixture.ownership.owned());
}

}  // namespace cranberryplank
