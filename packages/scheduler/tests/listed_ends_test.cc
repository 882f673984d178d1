#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "cranberryplank/scheduler/scheduler.h"
#include "recording_link.h"
#include "simulated_owner.h"

namespace cranberryplank {

namespace {

constexpr Resources kCapacity{64'000, 128'000, 0};
constexpr int kTasksPerJob = 24;
constexpr Duration kTakeOverTime{500};

JobSpec JobOf(const std::string& id, int tasks, std::int64_t cpu_millis, Duration estimate) {
  JobSpec spec = OneTask(id, estimate);
  spec.steps.front().count = tasks;
  spec.steps.front().per_task = {cpu_millis, 10, 0};
  return spec;
}

/// Two workers with a task that lasts on each of them, so that a lease is in force all the time,
/// and jobs of many short tasks that end at the same time.
class ManyEnds : public SimulatedCluster {
 public:
  ManyEnds() : SimulatedCluster(1, 2, kCapacity) {
    Run(Duration(300));
    JobSpec lasting = JobOf("lasting", 4, 1'000, Duration(0));
    lasting.steps.front().long_running = true;
    Submit(lasting, Duration(600'000));
    Run(Duration(300));
  }

  /// Submits the jobs and waits until all of their tasks run.
  void Start(int jobs) {
    const Duration time(8'000);
    m_end = now() + time;
    for (int i = 0; i < jobs; ++i) {
      Submit(JobOf(fmt::format("job{}", i), kTasksPerJob, 50, time), time);
    }
    Run(Duration(2'000));
    REQUIRE(workers().starts() == static_cast<std::uint64_t>(4 + jobs * kTasksPerJob));
  }

  /// Advances to a time relative to the first end of a task.
  void RunUntilEnd(Duration offset) {
    Run(std::chrono::duration_cast<Duration>(m_end - now()) + offset);
  }

  /// Checks that each task has ended as done, and was started once.
  void CheckEachDoneOnce(int jobs) {
    Run(Duration(20'000));
    for (const std::string& violation : workers().violations()) {
      UNSCOPED_INFO(violation);
    }
    CHECK(workers().violations().empty());
    CHECK(workers().starts() == static_cast<std::uint64_t>(4 + jobs * kTasksPerJob));
    for (int i = 0; i < jobs; ++i) {
      CHECK(EndOf(fmt::format("job{}", i)) == JobState::kDone);
    }
  }

 private:
  TimePoint m_end{};
};

}  // namespace

// Guards against second runs of done tasks (review/11): the owner was killed around the end of many
// tasks, and its successor took the first 500 ended runs of a worker for all of them.
TEST_CASE("a new owner starts no task whose ended run did not fit in a worker's first list") {
  const int jobs = GENERATE(60, 90);
  // Relative to the first end: when the owner is killed.
  const Duration killed = GENERATE(Duration(-150), Duration(0), Duration(100));
  const bool next_is_killed = GENERATE(false, true);
  CAPTURE(jobs, killed.count(), next_is_killed);
  ManyEnds cluster;
  cluster.Start(jobs);
  cluster.RunUntilEnd(killed);
  cluster.KillOwner();
  cluster.RunUntilEnd(killed + kTakeOverTime);
  cluster.ReplaceOwner();
  if (next_is_killed) {
    cluster.Run(Duration(30));
    cluster.KillOwner();
    cluster.Run(kTakeOverTime);
    cluster.ReplaceOwner();
  }
  cluster.CheckEachDoneOnce(jobs);
}

// Guards against the same by an owner that is replaced while it is frozen (review/11), and wakes.
TEST_CASE("a successor of a frozen owner starts no task whose ended run was not listed at once") {
  constexpr int kJobs = 60;
  ManyEnds cluster;
  cluster.Start(kJobs);
  cluster.RunUntilEnd(Duration(-150));
  cluster.RunWithFrozenOwner(Duration(1'200));
  cluster.ReplaceOwner();
  cluster.CheckEachDoneOnce(kJobs);
}

namespace {

/// An owner that began with a stored job, whose task may run on the only worker.
class NewOwnerFixture {
 public:
  NewOwnerFixture() {
    m_scheduler.SetConfig(At(), TestConfig());
    QueueRecord queue;
    queue.queue = TestConfig()->queues.front();
    queue.pools = {"pool"};
    m_scheduler.LoadQueue(queue);
    WorkerInfo info;
    info.id = "worker";
    info.pool = "pool";
    info.capacity = kCapacity;
    m_scheduler.SetWorker(At(), info);
    for (const char* id : {"waiting", "present"}) {
      JobRecord record;
      record.spec = OneTask(id, Duration(500));
      m_scheduler.LoadJob(At(), id, record, {});
    }
    Takeover takeover;
    takeover.epoch = 5;
    takeover.workers = {{"worker", "pool", 0, {}}};
    takeover.unreconciled_bound = m_now + Duration(30'000);
    m_scheduler.Begin(At(), takeover);
    Tick();
  }

  /// Replies to the newest renewal. @param more_ended whether ended runs may have been left out
  void Answer(std::vector<ListedRun> running, std::vector<EndedRun> ended, bool more_ended) {
    LeaseRenewalReply reply;
    reply.call = m_link.renewals.back().second.call;
    reply.outcome = CallOutcome::kOk;
    reply.clock_ms = m_clock_ms;
    reply.running = std::move(running);
    reply.ended = std::move(ended);
    reply.more_ended = more_ended;
    m_now += Duration(5);
    m_scheduler.OnLeaseRenewal(m_now, "worker", reply);
    Tick();
  }

  /// Lets the worker be silent.
  void BeSilent(Duration time) {
    for (const TimePoint end = m_now + time; m_now < end; Tick()) {
      LeaseRenewalReply reply;
      reply.call = m_link.renewals.back().second.call;
      m_scheduler.OnLeaseRenewal(m_now, "worker", reply);
    }
  }

  /// Returns whether the task that waits was started.
  bool Started() const { return !m_link.starts.empty(); }
  const Worker& worker() { return *m_scheduler.FindWorker("worker"); }
  bool MayBeTakenDown() { return worker().MayBeTakenDown(m_now); }

 private:
  Now At() const { return {m_now, 1'000'000}; }

  void Tick() {
    m_now += Duration(200);
    m_clock_ms += 200;
    m_scheduler.SetAuthority({m_now, m_now + Duration(8'000)});
    if (const auto workers = m_scheduler.WorkersToRecord()) {
      m_scheduler.OnWorkersRecorded(*workers);
    }
    m_scheduler.OnQueuesStored(m_scheduler.CollectQueues(29));
    m_scheduler.OnStored(At(), m_scheduler.CollectChanges(m_now, 29));
    m_scheduler.Tick(At());
  }

  RecordingLink m_link;
  Scheduler m_scheduler{SchedulerSettings{}, &m_link};
  TimePoint m_now{std::chrono::seconds(100)};
  int m_clock_ms = 1'000;
};

}  // namespace

// Guards against work that waits without end (review/11): a worker has more ended runs than its
// list holds for a long time, because further runs end.
TEST_CASE("a new owner waits only for the ended runs of earlier owners") {
  NewOwnerFixture fixture;
  fixture.Answer({{"present.0.0.0", 1, "", 0, 0}}, {{1, "other.0.0.0", 1, RunEndKind::kDone, ""}},
                 true);
  CHECK_FALSE(fixture.Started());
  fixture.Answer({{"present.0.0.0", 1, "", 0, 0}}, {{2, "other.0.0.1", 1, RunEndKind::kDone, ""}},
                 true);
  CHECK_FALSE(fixture.Started());
  fixture.Answer({}, {{3, "present.0.0.0", 1, RunEndKind::kDone, ""}}, true);
  CHECK(fixture.Started());
}

// Guards against ended runs that are lost with their worker (review/11): its VM was shut down for
// upkeep or a move before all of them had been listed, and their tasks run again.
TEST_CASE("a worker that may have further ended runs to list is not taken down") {
  NewOwnerFixture fixture;
  fixture.Answer({}, {{1, "other.0.0.0", 1, RunEndKind::kDone, ""}}, true);
  CHECK_FALSE(fixture.MayBeTakenDown());
  fixture.Answer({},
                 {{2, "waiting.0.0.0", 1, RunEndKind::kDone, ""},
                  {3, "present.0.0.0", 1, RunEndKind::kDone, ""}},
                 false);
  fixture.Answer({}, {}, false);
  CHECK(fixture.MayBeTakenDown());
  CHECK_FALSE(fixture.Started());
}

// Guards against a VM that can never be taken down: its worker was lost before all of its ended
// runs had been listed.
TEST_CASE(
    "a worker that is lost before it has listed all ended runs is waited for until its leases "
    "end") {
  NewOwnerFixture fixture;
  fixture.Answer({}, {{1, "other.0.0.0", 1, RunEndKind::kDone, ""}}, true);
  fixture.BeSilent(Duration(1'000));
  CHECK_FALSE(fixture.MayBeTakenDown());
  fixture.BeSilent(Duration(10'000));
  CHECK(fixture.MayBeTakenDown());
}

}  // namespace cranberryplank
