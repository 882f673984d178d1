#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "cranberryplank/scheduler/scheduler.h"
#include "recording_link.h"

namespace cranberryplank {

namespace {

struct AcknowledgementFixture {
  RecordingLink link;
  Scheduler scheduler{SchedulerSettings{}, &link};
  TimePoint now{std::chrono::seconds(100)};
  int clock_ms = 1'000;

  AcknowledgementFixture() {
    ClusterConfig config;
    QueueConfig queue;
    queue.name = "queue";
    queue.pool = "pool";
    queue.max_attempts = 3;
    config.queues.push_back(queue);
    config.pools["pool"] = {"pool", false, false};
    scheduler.SetConfig(At(), std::make_shared<const ClusterConfig>(config));
    WorkerInfo info;
    info.id = "worker";
    info.pool = "pool";
    info.capacity = {8'000, 8'000, 0};
    scheduler.SetWorker(At(), info);
    Takeover takeover;
    takeover.epoch = 5;
    scheduler.Begin(At(), takeover);
    Store();
    Tick();
    Answer({}, {});
    SubmitJob("job");
    Tick();
  }

  /// Submits a job with one task.
  void SubmitJob(const std::string& id) {
    JobSpec spec;
    spec.id = id;
    spec.queue = "queue";
    spec.pool = "pool";
    StepSpec step;
    step.count = 1;
    step.per_task = {1'000, 100, 0};
    step.estimate_ms = 500;
    spec.steps.push_back(step);
    scheduler.Submit(At(), spec, [](bool) {});
    Store();
  }

  Now At() const { return {now, 1'000'000}; }

  void Tick() {
    now += Duration(200);
    clock_ms += 200;
    scheduler.SetAuthority({now, now + Duration(8'000)});
    scheduler.Tick(At());
  }

  void Store() {
    if (const auto workers = scheduler.WorkersToRecord()) {
      scheduler.OnWorkersRecorded(*workers);
    }
    scheduler.OnQueuesStored(scheduler.CollectQueues(29));
    scheduler.OnStored(At(), scheduler.CollectChanges(now, 29));
  }

  /// Replies to the newest lease renewal of the worker.
  /// @param started_unix_ms start of the incarnation that replies; 0 if not given
  void Answer(std::vector<ListedRun> running, std::vector<EndedRun> ended,
              std::int64_t started_unix_ms = 0) {
    const auto newest = std::find_if(link.renewals.rbegin(), link.renewals.rend(),
                                     [](const auto& sent) { return sent.first == "worker"; });
    LeaseRenewalReply reply;
    reply.call = newest->second.call;
    reply.outcome = CallOutcome::kOk;
    reply.clock_ms = clock_ms;
    reply.started_unix_ms = started_unix_ms;
    reply.running = std::move(running);
    reply.ended = std::move(ended);
    now += Duration(5);
    scheduler.OnLeaseRenewal(now, "worker", reply);
  }

  /// Confirms the newest start; there must have been `count` starts.
  void ConfirmStart(std::size_t count) {
    REQUIRE(link.starts.size() == count);
    scheduler.OnStart(now, "worker", link.starts.back().second, {CallOutcome::kOk, 0});
  }
};

}  // namespace

TEST_CASE("an ended run is acknowledged only once its change is stored") {
  AcknowledgementFixture fixture;
  fixture.ConfirmStart(1);
  fixture.Tick();
  fixture.Answer({}, {{1, "job.0.0.0", 1, RunEndKind::kDone, ""}});
  fixture.Tick();
  CHECK(fixture.link.renewals.back().second.acknowledged == 0);
  fixture.Store();
  fixture.Answer({}, {{1, "job.0.0.0", 1, RunEndKind::kDone, ""}});
  fixture.Tick();
  CHECK(fixture.link.renewals.back().second.acknowledged == 1);
}

// Guards against an order that is sent after the authority has ended, because the process was
// paused between the decision and the sending: the link checks the time again.
TEST_CASE("each order carries the time at which the authority ends") {
  AcknowledgementFixture fixture;
  REQUIRE(fixture.link.starts.size() == 1);
  CHECK(fixture.link.starts.back().second.not_after == fixture.scheduler.authority().until);
  CHECK(fixture.link.renewals.back().second.not_after > fixture.now);
  CHECK(fixture.link.renewals.back().second.not_after <= fixture.scheduler.authority().until);
}

// Guards against acknowledging an ended run before the cancellation of its job is stored. The next
// owner then found the job active and started the task a second time.
TEST_CASE("the end of a cancelled job's task waits for the cancellation") {
  AcknowledgementFixture fixture;
  fixture.ConfirmStart(1);
  fixture.scheduler.Cancel(fixture.At(), "job", [](bool) {});
  fixture.Tick();
  fixture.Answer({}, {{1, "job.0.0.0", 1, RunEndKind::kDone, ""}});
  fixture.Tick();
  CHECK(fixture.link.renewals.back().second.acknowledged == 0);
  fixture.Store();
  fixture.Answer({}, {{1, "job.0.0.0", 1, RunEndKind::kDone, ""}});
  fixture.Tick();
  CHECK(fixture.link.renewals.back().second.acknowledged == 1);
}

// Guards against an acknowledgement that reaches a later incarnation of the worker. After a renewal
// without a reply the worker may have restarted, and it then numbers its ended runs from 1 again.
TEST_CASE("after a renewal without a reply nothing is acknowledged until the worker replies") {
  AcknowledgementFixture fixture;
  fixture.ConfirmStart(1);
  fixture.Tick();
  fixture.Answer({}, {{1, "job.0.0.0", 1, RunEndKind::kDone, ""}});
  fixture.Tick();
  LeaseRenewalReply lost;
  lost.call = fixture.link.renewals.back().second.call;
  fixture.scheduler.OnLeaseRenewal(fixture.now, "worker", lost);
  fixture.Store();
  fixture.Tick();
  CHECK(fixture.link.renewals.back().second.acknowledged == 0);
  fixture.Answer({}, {{1, "job.0.0.0", 1, RunEndKind::kDone, ""}});
  fixture.Tick();
  CHECK(fixture.link.renewals.back().second.acknowledged == 1);
}

// Guards against an acknowledgement that hides an end nobody has seen: the worker restarted at once
// under its id while a renewal was unanswered, a start sent before that was known ran and ended in
// the new incarnation, and the renewal that was to resolve another start forgot that end.
TEST_CASE("nothing is acknowledged while another renewal is unanswered") {
  AcknowledgementFixture fixture;
  fixture.ConfirmStart(1);
  fixture.Tick();
  fixture.Answer({}, {{1, "job.0.0.0", 1, RunEndKind::kDone, ""}}, 1);
  fixture.SubmitJob("unseen");
  fixture.SubmitJob("unanswered");
  fixture.Tick();
  REQUIRE(fixture.link.starts.size() == 3);
  fixture.Store();
  const std::size_t renewals = fixture.link.renewals.size();
  fixture.scheduler.OnStart(fixture.now, "worker", fixture.link.starts[1].second,
                            {CallOutcome::kOk, 0});
  fixture.scheduler.OnStart(fixture.now, "worker", fixture.link.starts[2].second,
                            {CallOutcome::kUnknown, 0});
  REQUIRE(fixture.link.renewals.size() == renewals + 1);
  CHECK(fixture.link.renewals.back().second.acknowledged == 0);

  const TaskId ended = fixture.link.starts[1].second.task;
  fixture.Answer({}, {{1, ended.Name(), fixture.link.starts[1].second.run, RunEndKind::kDone, ""}},
                 2);
  CHECK(fixture.scheduler.counters().tasks_done == 2);
}

// Guards against an acknowledgement beside a start without a reply, which may have been executed by
// a later incarnation of the worker.
TEST_CASE("after a start without a reply nothing is acknowledged until the worker replies") {
  AcknowledgementFixture fixture;
  fixture.ConfirmStart(1);
  fixture.Tick();
  fixture.SubmitJob("other");
  fixture.Answer({}, {{1, "job.0.0.0", 1, RunEndKind::kDone, ""}});
  fixture.Tick();
  REQUIRE(fixture.link.starts.size() == 2);
  fixture.Answer({}, {{1, "job.0.0.0", 1, RunEndKind::kDone, ""}});
  fixture.Store();
  const std::size_t renewals = fixture.link.renewals.size();
  fixture.scheduler.OnStart(fixture.now, "worker", fixture.link.starts.back().second,
                            {CallOutcome::kUnknown, 0});
  REQUIRE(fixture.link.renewals.size() == renewals + 1);
  CHECK(fixture.link.renewals.back().second.acknowledged == 0);
  fixture.Answer({}, {{1, "job.0.0.0", 1, RunEndKind::kDone, ""}});
  fixture.Tick();
  CHECK(fixture.link.renewals.back().second.acknowledged == 1);
}

// Guards against a worker whose ended runs are never acknowledged: its list of 500 ended runs, the
// most that it sends, can not show that an unanswered start is missing, and the unresolved start
// prevented the acknowledgement that would have made room in the list.
TEST_CASE("500 ended runs are acknowledged although a start stays unresolved") {
  AcknowledgementFixture fixture;
  fixture.ConfirmStart(1);
  fixture.Tick();
  fixture.Answer({{"job.0.0.0", 1, "", 10, 0}}, {});
  fixture.SubmitJob("other");
  fixture.Tick();
  REQUIRE(fixture.link.starts.size() == 2);
  std::vector<EndedRun> ends;
  for (std::uint64_t number = 1; number <= 500; ++number) {
    ends.push_back({number, "gone.0.0." + std::to_string(number), 1, RunEndKind::kDone, ""});
  }
  fixture.Answer({{"job.0.0.0", 1, "", 10, 0}}, ends);
  fixture.scheduler.OnStart(fixture.now, "worker", fixture.link.starts.back().second,
                            {CallOutcome::kUnknown, 0});
  fixture.Store();
  fixture.Answer({{"job.0.0.0", 1, "", 10, 0}}, ends);
  fixture.Tick();
  CHECK(fixture.link.renewals.back().second.acknowledged == 500);
}

// Guards against an owner that spends its processor time on idle workers: with 3,003 workers only
// 54% of the requests were served. Also guards against a lease that expires during the pause of an
// idle worker.
TEST_CASE("an idle worker among thousands is polled rarely, but at once after a start") {
  AcknowledgementFixture fixture;
  fixture.ConfirmStart(1);
  for (int i = 0; i < 1'500; ++i) {
    WorkerInfo info;
    info.id = "other-" + std::to_string(i);
    info.pool = "other";
    fixture.scheduler.SetWorker(fixture.At(), info);
  }
  fixture.Tick();
  fixture.Answer({}, {{1, "job.0.0.0", 1, RunEndKind::kDone, ""}});
  fixture.Store();
  const auto renewals = [&] {
    return std::count_if(fixture.link.renewals.begin(), fixture.link.renewals.end(),
                         [](const auto& sent) { return sent.first == "worker"; });
  };
  fixture.Tick();
  fixture.Answer({}, {});
  const auto before = renewals();
  fixture.Tick();
  fixture.Tick();
  CHECK(renewals() == before);
  fixture.SubmitJob("next");
  fixture.Tick();
  CHECK(fixture.link.starts.size() == 2);
  CHECK(renewals() == before + 1);
}

// Guards against ignoring a list because an ended run in the same reply was applied before it. The
// scheduler then started tasks on a worker with a run that it did not count, and exceeded
// a limit.
TEST_CASE("a run of an ended job listed together with an ended run prevents further starts") {
  AcknowledgementFixture fixture;
  fixture.ConfirmStart(1);
  fixture.SubmitJob("other");
  fixture.Tick();
  fixture.ConfirmStart(2);
  fixture.scheduler.Cancel(fixture.At(), "job", [](bool) {});
  fixture.Tick();
  fixture.Answer({{"other.0.0.0", 1, "", 0, 0}}, {{1, "job.0.0.0", 1, RunEndKind::kStopped, ""}});
  fixture.Store();
  fixture.Tick();
  // The reply lists a run of the ended job, which an earlier owner started, and an ended run.
  fixture.Answer({{"job.0.0.0", 2, "", 0, 0}}, {{2, "other.0.0.0", 1, RunEndKind::kDone, ""}});
  fixture.SubmitJob("next");
  fixture.Tick();
  CHECK(fixture.link.starts.size() == 2);
}

// Guards against a start in place of a run that is being stopped and still uses the capacity.
TEST_CASE("a run that is being stopped counts against a capacity that shrank") {
  AcknowledgementFixture fixture;
  fixture.ConfirmStart(1);
  WorkerInfo info = fixture.scheduler.FindWorker("worker")->info;
  info.capacity = {1'500, 8'000, 0};
  fixture.scheduler.SetWorker(fixture.At(), info);
  fixture.scheduler.Cancel(fixture.At(), "job", [](bool) {});
  fixture.SubmitJob("next");
  fixture.Tick();
  fixture.Answer({{"job.0.0.0", 1, "", 0, 0}}, {});
  fixture.Tick();
  CHECK(fixture.link.starts.size() == 1);
  fixture.Answer({}, {{1, "job.0.0.0", 1, RunEndKind::kStopped, ""}});
  fixture.Tick();
  CHECK(fixture.link.starts.size() == 2);
}

}  // namespace cranberryplank
