#include <catch2/catch.hpp>
#include <string>

#include "simulated_owner.h"

namespace cranberryplank {

namespace {

constexpr Duration kTaskTime{10'000};

}  // namespace

// Guards against jobs that are not counted as waiting although none of their tasks has begun
// (review/10): the only worker crashed as they came, and their starts got no reply.
TEST_CASE("a job whose starts reached no worker is counted as waiting") {
  SimulatedCluster cluster(1, 1, {16'000, 32'000, 0});
  cluster.Run(Duration(500));
  cluster.workers().workers().at("worker0").reachable = false;
  cluster.Submit(OneTask("job", kTaskTime), kTaskTime);
  cluster.Run(Duration(6'000));
  REQUIRE(cluster.scheduler().counters().starts > 0);
  CHECK(cluster.scheduler().WaitingJobs(kTestQueueId) == 1);
  CHECK(cluster.scheduler().StateOf("job") == JobState::kQueued);
  cluster.workers().workers().at("worker0").reachable = true;
  REQUIRE_FALSE(cluster.RunUntilStarted("job.0.0.0").empty());
  cluster.Run(Duration(100));
  CHECK(cluster.scheduler().WaitingJobs(kTestQueueId) == 0);
  CHECK(cluster.scheduler().StateOf("job") == JobState::kRunning);
}

// Guards against a job that waits again for callers after a change of the owner, while it runs.
TEST_CASE("a job that runs is not counted as waiting by the next owner") {
  SimulatedCluster cluster(1, 1, {16'000, 32'000, 0});
  cluster.Run(Duration(500));
  cluster.Submit(OneTask("job", kTaskTime), kTaskTime);
  REQUIRE_FALSE(cluster.RunUntilStarted("job.0.0.0").empty());
  cluster.Run(Duration(100));
  cluster.ReplaceOwner();
  cluster.Run(Duration(100));
  CHECK(cluster.scheduler().WaitingJobs(kTestQueueId) == 0);
  CHECK(cluster.scheduler().StateOf("job") == JobState::kRunning);
}

}  // namespace cranberryplank
