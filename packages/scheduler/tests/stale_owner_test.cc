#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "simulated_owner.h"

namespace cranberryplank {

namespace {

constexpr Resources kCapacity{16'000, 32'000, 0};
constexpr Duration kTaskTime{3'000};
/// Time from the begin of a partition until another daemon owns the schedule.
constexpr Duration kTakeOverTime{1'200};
constexpr const char* kTask = "job.0.0.0";

std::string OtherWorker(const std::string& id) { return id == "worker0" ? "worker1" : "worker0"; }

void CheckNoViolation(const SimulatedCluster& cluster) {
  for (const std::string& violation : cluster.workers().violations()) {
    UNSCOPED_INFO(violation);
  }
  CHECK(cluster.workers().violations().empty());
}

/// Runs a task on one of two workers, and cuts the owner off together with the other one. Another
/// daemon takes over, reaches only the first worker, and sees the end of the task.
/// @return the worker that ran the task
std::string RunTaskBesidePartition(SimulatedCluster* cluster) {
  cluster->Run(Duration(500));
  cluster->Submit(OneTask("job", kTaskTime), kTaskTime);
  std::string runs = cluster->RunUntilStarted(kTask);
  REQUIRE_FALSE(runs.empty());
  cluster->Run(Duration(500));
  cluster->owner(0).Partition(false, {runs});
  cluster->Run(kTakeOverTime);
  cluster->ReplaceOwner();
  cluster->owner(1).Partition(true, {OtherWorker(runs)});
  return runs;
}

}  // namespace

// Guards against a task that runs again after its end was stored and acknowledged (review/1): an
// owner that was replaced took the lease of a worker that it did not reach as ended, and started
// the task on the worker that it still reached.
TEST_CASE("a replaced owner does not start a task again whose lease ended unseen") {
  SimulatedCluster cluster(1, 2, kCapacity);
  RunTaskBesidePartition(&cluster);
  cluster.Run(Duration(9'000));
  CheckNoViolation(cluster);
  CHECK(cluster.EndOf("job") == JobState::kDone);
}

// The same where the replaced owner reaches the registrations again, but not the ownership record:
// the worker of the task restarts after its end was acknowledged, and knows of neither owner.
TEST_CASE("a replaced owner does not start a task again whose worker restarted") {
  SimulatedCluster cluster(1, 2, kCapacity);
  const std::string runs = RunTaskBesidePartition(&cluster);
  cluster.Run(kTaskTime - kTakeOverTime);  // The end is acknowledged.
  cluster.owner(1).Partition(true, {"worker0", "worker1"});
  cluster.workers().Restart(runs);
  cluster.owner(0).Partition(false, {});
  cluster.Run(Duration(6'000));
  CheckNoViolation(cluster);
}

// Guards against a task that runs again after its end was acknowledged, by a new owner that is cut
// off while it waits for a worker that it has never reached. Its wait ended by time, while a third
// owner had reached that worker and seen the task's end.
TEST_CASE("a replaced owner does not start loaded tasks when its wait ends by time") {
  SimulatedCluster cluster(1, 3, kCapacity);
  cluster.Run(Duration(500));
  cluster.Submit(OneTask("job", kTaskTime), Duration(7'000));
  const std::string runs = cluster.RunUntilStarted(kTask);
  REQUIRE_FALSE(runs.empty());
  std::set<std::string> others{"worker0", "worker1", "worker2"};
  others.erase(runs);
  const std::string island = *others.begin();
  const std::string mainland = *others.rbegin();
  cluster.Run(Duration(500));
  cluster.owner(0).Partition(false, others);  // It keeps the task running.
  cluster.Run(kTakeOverTime);
  cluster.ReplaceOwner();
  cluster.owner(1).Partition(true, {runs});
  cluster.Run(Duration(4'800));
  cluster.owner(1).Partition(false, {runs, mainland});
  cluster.Run(kTakeOverTime);
  cluster.ReplaceOwner();
  cluster.owner(2).Partition(true, {island});
  cluster.Run(Duration(15'000));
  CheckNoViolation(cluster);
  CHECK(cluster.EndOf("job") == JobState::kDone);
}

}  // namespace cranberryplank
