#include "cranberryplank/entry/queue_codec.h"

#include <catch2/catch.hpp>
#include <string>

#include "cranberryplank/entry/schedule_owner.h"
#include "fleet_fixture.h"

namespace cranberryplank {

namespace {

QueueRecord TestRecord() {
  QueueRecord record;
  record.queue.name = "queue";
  record.queue.pool = "pool";
  record.queue.priority = 2;
  record.queue.max_attempts = 4;
  record.queue.stretch = 1.6;
  record.queue.objective = Duration(600);
  record.queue.advice = AdvicePolicy{Duration(20), Duration(2), Duration(3'000)};
  record.pools = {"earlier", "pool"};
  return record;
}

/// The store of an owner that accepted a job on a queue, and whose successor begins after the
/// queue's route was removed.
struct RemovedRouteFixture : FleetFixture {
  ScheduleOwner owner{
      {&store, &link, &format, &ownership, nullptr}, SchedulerSettings{}, VmFleetSettings{}};

  RemovedRouteFixture() {
    JobSpec spec;
    spec.id = "a";
    spec.queue = "queue";
    spec.pool = "pool";
    StepSpec step;
    step.count = 1;
    spec.steps.push_back(step);
    store.Put(JobKey("a"), EncodeJob(spec));
  }

  void Load() {
    owner.SetConfig(At(), std::make_shared<const ClusterConfig>());
    owner.Begin(At());
    for (int i = 0; i < 20; ++i) {
      now += Duration(30);
      owner.Tick(At());
      store.Deliver(now);
    }
    REQUIRE(owner.ready());
  }
};

}  // namespace

// Guards against settings that are lost on the way to a later owner.
TEST_CASE("the record of a queue survives encoding and decoding") {
  QueueRecord record = TestRecord();
  SECTION("with a policy") {}
  SECTION("without a policy") { record.queue.advice.reset(); }
  const auto decoded = DecodeQueue(EncodeQueue(record));
  REQUIRE(decoded);
  CHECK(decoded->queue.name == "queue");
  CHECK(RunsJobsAlike(decoded->queue, record.queue));
  CHECK(decoded->pools == record.pools);
  CHECK_FALSE(DecodeQueue("nonsense"));
  CHECK_FALSE(DecodeQueue(""));
}

// Guards against a key that the store refuses, so that nothing could be stored any more.
TEST_CASE("the key of a queue with a long name is short") {
  const std::string name(500, 'x');
  CHECK(QueueKey("queue") == "queue/queue");
  CHECK(QueueKey(name).size() < 80);
  CHECK(QueueKey(name) != QueueKey(name + "x"));
}

// Guards against accepted work that is run by settings that the new owner makes up (review/7).
TEST_CASE("a new owner loads the record of a queue that is not configured any more") {
  RemovedRouteFixture fixture;
  fixture.store.Put(QueueKey("queue"), EncodeQueue(TestRecord()));
  fixture.Load();
  const QueueTable& queues = fixture.owner.scheduler()->queues();
  CHECK(RunsJobsAlike(queues.Used("queue"), TestRecord().queue));
  CHECK(queues.MayRunIn("queue", "earlier"));
}

// Guards against jobs of a daemon of an earlier version, which stored no queues, that never run or
// that run before a later owner would find their runs.
TEST_CASE("a new owner records the queue of a job that has no record") {
  RemovedRouteFixture fixture;
  fixture.Load();
  const QueueTable& queues = fixture.owner.scheduler()->queues();
  CHECK(queues.HasRecord("queue"));
  const auto record = DecodeQueue(fixture.store.Value(QueueKey("queue")));
  REQUIRE(record);
  CHECK(record->queue.pool == "pool");
  CHECK(record->pools.contains("pool"));
}

}  // namespace cranberryplank
