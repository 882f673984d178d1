#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "simulated_owner.h"

namespace cranberryplank {

namespace {

constexpr Resources kCapacity{16'000, 32'000, 0};
constexpr Duration kTaskTime{15'000};
constexpr const char* kTask = "job.0.0.0";

QueueConfig QueueIn(const std::string& pool) {
  QueueConfig queue;
  queue.name = "queue";
  queue.pool = pool;
  queue.max_attempts = 5;
  queue.stretch = 2;
  queue.objective = Duration(1'000);
  return queue;
}

ClusterConfig ConfigOf(std::uint64_t version, const std::vector<QueueConfig>& queues) {
  ClusterConfig config;
  config.version = version;
  config.queues = queues;
  config.pools["pool"] = {"pool", false, false};
  config.pools["other"] = {"other", false, false};
  return config;
}

JobSpec JobIn(const std::string& id, const std::string& pool, int steps) {
  JobSpec spec;
  spec.id = id;
  spec.queue = "queue";
  spec.pool = pool;
  for (int i = 0; i < steps; ++i) {
    StepSpec step;
    step.count = 1;
    step.per_task = {1'000, 1'000, 0};
    step.estimate_ms = kTaskTime.count();
    if (i > 0) {
      step.after = {i - 1};
    }
    spec.steps.push_back(step);
  }
  return spec;
}

/// Two workers in the pool "pool", and two in the pool "other".
struct TwoPools : SimulatedCluster {
  TwoPools() : SimulatedCluster(1, 2, kCapacity) {
    for (const std::string id : {"other0", "other1"}) {
      workers().AddWorker(id, "other", kCapacity, "vm-" + id);
      owner(0).SetRegistration(now(), workers().workers().at(id));
    }
    Configure(ConfigOf(1, {QueueIn("pool")}));
    Run(Duration(500));
  }

  void CheckNoViolation() const {
    for (const std::string& violation : workers().violations()) {
      UNSCOPED_INFO(violation);
    }
    CHECK(workers().violations().empty());
  }
};

}  // namespace

// Guards against two runs of one task (review/6): a queue's pool changed twice, a run was on an
// unreachable worker of the pool in between, and a new owner waited for the first and the last pool
// only.
TEST_CASE("a new owner waits for the workers of each pool that a queue had") {
  const std::string last_pool = GENERATE("pool", "third", "");
  const bool owner_begins_in_between = GENERATE(false, true);
  CAPTURE(last_pool, owner_begins_in_between);
  TwoPools cluster;
  cluster.workers().AddWorker("third0", "third", kCapacity, "vm-third0");
  cluster.owner(0).SetRegistration(cluster.now(), cluster.workers().workers().at("third0"));
  cluster.Submit(JobIn("job", "pool", 2), Duration(2'500));
  REQUIRE_FALSE(cluster.RunUntilStarted(kTask).empty());
  cluster.Configure(ConfigOf(2, {QueueIn("other")}));
  const std::string runs = cluster.RunUntilStarted("job.0.1.0");
  REQUIRE(cluster.workers().workers().at(runs).info.pool == "other");
  std::vector<QueueConfig> last;
  if (!last_pool.empty()) {
    last.push_back(QueueIn(last_pool));
  }
  cluster.Configure(ConfigOf(3, last));
  cluster.Run(Duration(100));
  cluster.workers().workers().at(runs).reachable = false;
  if (owner_begins_in_between) {
    cluster.ReplaceOwner();
    cluster.Run(Duration(100));
  }
  cluster.ReplaceOwner();
  cluster.Run(Duration(20'000));
  cluster.CheckNoViolation();
}

// Guards against accepted work that a new owner runs by settings of its own (review/7): the route
// was removed before it began, so that its configuration did not have the queue.
TEST_CASE("a new owner runs the jobs of a removed queue by the queue's settings") {
  TwoPools cluster;
  QueueConfig queue = QueueIn("pool");
  const bool settings_change = GENERATE(false, true);
  if (settings_change) {
    queue.max_attempts = 3;
    cluster.Configure(ConfigOf(2, {queue}));
  }
  cluster.Submit(JobIn("job", "pool", 1), kTaskTime);
  REQUIRE_FALSE(cluster.RunUntilStarted(kTask).empty());
  queue.max_attempts = 7;
  queue.priority = 4;
  queue.advice = AdvicePolicy{Duration(20), Duration(2), Duration(3'000)};
  cluster.Configure(ConfigOf(3, {queue}));
  cluster.Run(Duration(20));
  cluster.Configure(ConfigOf(4, {}));
  cluster.ReplaceOwner();
  cluster.Run(Duration(20));
  CHECK(RunsJobsAlike(cluster.scheduler().queues().Used("queue"), queue));
}

// Guards against a record that grows with the routes: hundreds of them have no job.
TEST_CASE("queues without unfinished jobs cause no call to the store") {
  TwoPools cluster;
  std::vector<QueueConfig> queues;
  for (int i = 0; i < 300; ++i) {
    queues.push_back(QueueIn("pool"));
    queues.back().name = fmt::format("queue{}", i);
  }
  queues.push_back(QueueIn("pool"));
  cluster.Configure(ConfigOf(2, queues));
  CHECK(cluster.scheduler().CollectQueues(29).empty());
  cluster.Submit(JobIn("job", "pool", 1), Duration(500));
  const std::vector<QueueRecord> records = cluster.scheduler().CollectQueues(29);
  REQUIRE(records.size() == 1);
  cluster.scheduler().OnQueuesStored(records);
  cluster.Submit(JobIn("second", "pool", 1), Duration(500));
  CHECK(cluster.scheduler().CollectQueues(29).empty());
  cluster.Run(Duration(3'000));
  REQUIRE(cluster.EndOf("job") == JobState::kDone);
  queues.back().max_attempts = 9;
  cluster.Configure(ConfigOf(3, queues));
  CHECK(cluster.scheduler().CollectQueues(29).empty());
}

// Guards against a start that the next owner does not look for: the pool of a new configuration was
// used before the store had it.
TEST_CASE("no task is started in a pool that the store does not have for its queue") {
  TwoPools cluster;
  cluster.Submit(JobIn("job", "pool", 2), Duration(1'000));
  REQUIRE_FALSE(cluster.RunUntilStarted(kTask).empty());
  cluster.Configure(ConfigOf(2, {QueueIn("other")}));
  const std::vector<QueueRecord> records = cluster.scheduler().CollectQueues(29);
  REQUIRE(records.size() == 1);
  CHECK(records.front().pools == std::set<std::string, std::less<>>{"other", "pool"});
  const std::string runs = cluster.RunUntilStarted("job.0.1.0");
  CHECK(cluster.workers().workers().at(runs).info.pool == "pool");
}

// Guards against an accepted job whose queue no later owner knows: the record of the queue was
// being removed, or an older one was in the store, when the job came.
TEST_CASE("a job is stored only with the newest settings of its queue") {
  TwoPools cluster;
  Scheduler& scheduler = cluster.scheduler();
  cluster.Submit(JobIn("job", "pool", 1), Duration(500));
  cluster.Run(Duration(2'000));
  REQUIRE(cluster.EndOf("job") == JobState::kDone);
  std::vector<QueueRecord> in_flight;
  SECTION("the record is being removed") {
    cluster.Configure(ConfigOf(2, {}));
    for (int i = 0; i < 200 && in_flight.empty(); ++i) {
      scheduler.Tick({cluster.now() + Duration(10 * i), 0});
      in_flight = scheduler.CollectQueues(29);
    }
    REQUIRE(in_flight.size() == 1);
    REQUIRE(in_flight.front().remove);
  }
  SECTION("the settings change") {
    QueueConfig queue = QueueIn("pool");
    queue.max_attempts = 9;
    cluster.Configure(ConfigOf(2, {queue}));
  }
  cluster.Submit(JobIn("second", "pool", 1), Duration(500));
  CHECK(scheduler.CollectChanges(cluster.now(), 29).empty());
  scheduler.OnQueuesStored(in_flight);
  CHECK(scheduler.CollectChanges(cluster.now(), 29).empty());
  const std::vector<QueueRecord> records = scheduler.CollectQueues(29);
  REQUIRE(records.size() == 1);
  CHECK_FALSE(records.front().remove);
  CHECK(scheduler.CollectChanges(cluster.now(), 29, records).size() == 1);
}

// Guards against records of removed routes that stay in the store for good.
TEST_CASE("the record of a removed queue is removed once its jobs have ended") {
  TwoPools cluster;
  cluster.Submit(JobIn("job", "pool", 1), Duration(1'500));
  REQUIRE_FALSE(cluster.RunUntilStarted(kTask).empty());
  cluster.Configure(ConfigOf(2, {}));
  cluster.Run(Duration(1'200));
  CHECK(cluster.scheduler().queues().HasRecord("queue"));
  cluster.Run(Duration(3'000));
  REQUIRE(cluster.EndOf("job") == JobState::kDone);
  CHECK_FALSE(cluster.scheduler().queues().HasRecord("queue"));
}

// Guards against settings that are made up for a queue that was removed, or added, in a
// configuration that the owner does not have.
TEST_CASE("a job of an unknown queue is run as the daemon that received it knows the queue") {
  TwoPools cluster;
  QueueConfig queue = QueueIn("other");
  queue.name = "new";
  JobSpec spec = JobIn("job", "other", 1);
  spec.queue = "new";
  cluster.scheduler().Submit(
      {cluster.now(), 0}, spec, [](bool) {}, queue);
  CHECK(RunsJobsAlike(cluster.scheduler().queues().Used("new"), queue));
}

}  // namespace cranberryplank
