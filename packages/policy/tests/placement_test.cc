#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "cranberryplank/policy/capacity_estimator.h"
#include "cranberryplank/policy/retry_after.h"
#include "cranberryplank/policy/retry_budget.h"
#include "cranberryplank/policy/run_time_estimator.h"
#include "cranberryplank/policy/two_choice_placement.h"

namespace cranberryplank {
namespace {

constexpr Duration kRun{1'000};

TimePoint At(int ms) { return TimePoint(Duration(ms) + std::chrono::hours(1)); }

Vm MakeVm(const std::string& id, const std::string& zone, const std::string& rack) {
  Vm vm;
  vm.id = id;
  vm.zone = zone;
  vm.rack = rack;
  vm.pool = "pool";
  vm.slots = 8;
  return vm;
}

JobRun Run(const std::string& vm, const std::string& job) {
  return JobRun{vm, "rack-" + vm, job, "tone/smiths"};
}

PlacementRequest RequestOf(bool may_probe) {
  PlacementRequest request;
  request.pool = "pool";
  request.zone = "az-1";
  request.may_probe = may_probe;
  return request;
}

// Returns a state in which worker `bad` has failed jobs that other workers complete.
WorkerHealth HealthWithBadWorker(int failures) {
  WorkerHealth health;
  for (int i = 0; i < 40; ++i) {
    health.RecordSuccess(At(0), Run("good", "ok"));
  }
  for (int i = 0; i < failures; ++i) {
    health.RecordFailure(At(i), Run("bad", "job-" + std::to_string(i)), kRun);
  }
  return health;
}

// Guards against placement on VMs that are moving, leaving, quarantined or in another pool.
TEST_CASE("only serving workers of the pool get work, those of the own zone first") {
  std::vector<Vm> vms{MakeVm("draining", "az-1", "r1"), MakeVm("leaving", "az-1", "r2"),
                      MakeVm("bad", "az-1", "r3"),      MakeVm("alien", "az-1", "r4"),
                      MakeVm("far", "az-2", "r5"),      MakeVm("near", "az-1", "r6")};
  vms[0].state = VmState::kDraining;
  vms[3].pool = "other";
  std::vector<WorkerView> workers;
  workers.reserve(vms.size());
  for (const Vm& vm : vms) {
    workers.push_back(WorkerView{&vm, 0, vm.id == "leaving"});
  }
  const WorkerHealth health = HealthWithBadWorker(9);
  REQUIRE(health.Quarantined("bad"));
  SeededRandom random(1);
  const TwoChoicePlacement placement;
  CHECK(placement.Choose(At(10), RequestOf(false), workers, health, random)->vm == "near");
  workers[5].running = 8;
  CHECK(placement.Choose(At(10), RequestOf(false), workers, health, random)->vm == "far");
  workers[4].running = 8;
  CHECK_FALSE(placement.Choose(At(10), RequestOf(false), workers, health, random).has_value());
  const PoolCapacity capacity = CapacityEstimator::Estimate(At(10), "pool", workers, health);
  CHECK(capacity.total == 40);
  CHECK(capacity.usable == 16);
  CHECK(capacity.free == 0);
}

// Guards against all daemons choosing the same worker and against choosing the busier of the two.
TEST_CASE("of two random workers the one with more free slots is taken") {
  std::vector<Vm> vms;
  vms.reserve(10);
  for (int i = 0; i < 10; ++i) {
    vms.push_back(MakeVm("vm-" + std::to_string(i), "az-1", "r" + std::to_string(i)));
  }
  std::vector<WorkerView> workers;
  workers.reserve(vms.size());
  for (std::size_t i = 0; i < vms.size(); ++i) {
    workers.push_back(WorkerView{&vms[i], i == 0 ? 7 : 2, false});
  }
  SeededRandom random(2);
  std::map<std::string, int> chosen;
  for (int i = 0; i < 1000; ++i) {
    const auto choice =
        TwoChoicePlacement().Choose(At(0), RequestOf(false), workers, WorkerHealth(), random);
    REQUIRE(choice->alternatives.size() == 1);
    ++chosen[choice->vm];
  }
  CHECK(chosen.count("vm-0") == 0);
  CHECK(chosen.size() == 9);
}

// Guards against a worker that fails fast, therefore appears idle and receives most of the work.
TEST_CASE("failing fast does not attract work and ends in quarantine") {
  WorkerHealth health = HealthWithBadWorker(1);
  CHECK(health.PenaltySlots(At(0), "bad") == 1);
  CHECK(health.PenaltySlots(At(1'000), "bad") == 0);
  CHECK(health.Suspect(At(0), "bad"));
  CHECK_FALSE(health.Quarantined("bad"));
  health = HealthWithBadWorker(4);
  CHECK(health.Quarantined("bad"));
  CHECK(health.QuarantinedVms() == std::vector<std::string>{"bad"});
}

// Guards against placing a request that must not be retried on a worker that failed recently.
TEST_CASE("non-idempotent requests avoid suspects of this and of other daemons") {
  const std::vector<Vm> vms{MakeVm("bad", "az-1", "r1"), MakeVm("good", "az-1", "r2")};
  const std::vector<WorkerView> workers{WorkerView{&vms[0], 0, false},
                                        WorkerView{&vms[1], 7, false}};
  WorkerHealth health;
  health.RecordPeerSuspicion(At(0), "bad");
  SeededRandom random(3);
  const TwoChoicePlacement placement;
  CHECK(placement.Choose(At(1), RequestOf(false), workers, health, random)->vm == "good");
  CHECK(placement.Choose(At(1), RequestOf(true), workers, health, random)->vm == "bad");
  CHECK(placement.Choose(At(5'000), RequestOf(false), workers, health, random)->vm == "bad");
  // A repeated report does not override a local success; a new report does.
  health.RecordPeerSuspicion(At(5'000), "bad");
  health.RecordSuccess(At(5'100), JobRun{"bad", "r1", "earlier", "kind", At(4'900)});
  CHECK(health.Suspect(At(5'100), "bad"));
  health.RecordSuccess(At(5'200), JobRun{"bad", "r1", "later", "kind", At(5'050)});
  health.RecordPeerSuspicion(At(5'500), "bad");
  CHECK_FALSE(health.Suspect(At(5'500), "bad"));
  health.RecordPeerSuspicion(At(7'000), "bad");
  CHECK(health.Suspect(At(7'000), "bad"));
}

// Guards against a quarantine that never ends and against probes in quick succession.
TEST_CASE("a quarantined worker is probed at intervals and released after good probes") {
  WorkerHealth health = HealthWithBadWorker(4);
  CHECK_FALSE(health.ProbeDue(At(1'000), "bad"));
  REQUIRE(health.ProbeDue(At(6'000), "bad"));
  const std::vector<Vm> vms{MakeVm("bad", "az-2", "r1")};
  const std::vector<WorkerView> workers{WorkerView{&vms[0], 0, false}};
  SeededRandom random(4);
  CHECK(TwoChoicePlacement().Choose(At(6'000), RequestOf(true), workers, health, random)->probe);
  CHECK_FALSE(TwoChoicePlacement()
                  .Choose(At(6'000), RequestOf(false), workers, health, random)
                  .has_value());
  health.BeginProbe(At(6'000), "bad");
  CHECK_FALSE(health.ProbeDue(At(7'000), "bad"));
  health.RecordFailure(At(7'000), Run("bad", "probe"), kRun);
  CHECK_FALSE(health.ProbeDue(At(16'000), "bad"));
  for (int i = 0; i < 3; ++i) {
    CHECK(health.Quarantined("bad"));
    health.RecordSuccess(At(20'000 + i), Run("bad", "probe"));
  }
  CHECK_FALSE(health.Quarantined("bad"));
}

// Guards against quarantining workers for a job that fails on every worker.
TEST_CASE("a job that fails on three workers in different racks is faulty, the workers are not") {
  WorkerHealth health;
  for (int i = 0; i < 40; ++i) {
    health.RecordSuccess(At(0), Run("good", "ok"));
  }
  CHECK(health.RecordFailure(At(1), Run("a", "job"), kRun) == FailureEffect::kCounted);
  CHECK(health.RecordFailure(At(2), Run("a", "job"), kRun) == FailureEffect::kCounted);
  CHECK(health.RecordFailure(At(3), Run("b", "job"), kRun) == FailureEffect::kCounted);
  CHECK_FALSE(health.FaultyJob("job"));
  CHECK(health.RecordFailure(At(4), Run("c", "job"), kRun) == FailureEffect::kFaultyJob);
  CHECK(health.FaultyJob("job"));
  for (const std::string vm : {"a", "b", "c"}) {
    CHECK_FALSE(health.Suspect(At(5), vm));
    CHECK_FALSE(health.Quarantined(vm));
  }
}

// Guards against quarantining the whole pool when one kind of job fails everywhere.
TEST_CASE("workers are not quarantined for jobs that fail everywhere") {
  WorkerHealth health;
  int job = 0;
  for (int round = 0; round < 10; ++round) {
    for (int w = 0; w < 10; ++w) {
      health.RecordFailure(At(job), Run("vm-" + std::to_string(w), std::to_string(job)), kRun);
      ++job;
    }
  }
  CHECK(health.QuarantinedVms().empty());
}

// Guards against retries that amplify an overload.
TEST_CASE("retries stay within a tenth of first attempts") {
  SeededRandom random(5);
  RetryBudget budget;
  int attempts = 0;
  int retries = 0;
  for (int i = 0; i < 5'000; ++i) {
    if (random.Below(3) == 0) {
      budget.RecordFirstAttempt("smiths");
      ++attempts;
    } else {
      const bool can_take = budget.CanTake("smiths");
      const bool taken = budget.TryTake("smiths");
      CHECK(can_take == taken);
      retries += taken ? 1 : 0;
    }
    REQUIRE(10 * retries <= attempts);
  }
  CHECK(retries > attempts / 11);
  CHECK_FALSE(budget.TryTake("unknown"));
}

// Guards against callers that are refused at the same time and retry at the same time.
TEST_CASE("the time to retry grows with the backlog and is spread") {
  SeededRandom random(6);
  Duration least = Duration::max();
  Duration most{0};
  for (int i = 0; i < 1'000; ++i) {
    const Duration wait = RetryAfter::Compute(RefusalState{39, 10, kRun}, random);
    least = std::min(least, wait);
    most = std::max(most, wait);
  }
  CHECK(least >= Duration(2'500));
  CHECK(least < Duration(2'700));
  CHECK(most <= Duration(7'500));
  CHECK(most > Duration(7'300));
  CHECK(RetryAfter::Compute(RefusalState{1'000'000, 0, kRun}, random) <= Duration(45'000));
}

// Guards against relying on declared run times, which are off by a factor of ten.
TEST_CASE("estimates come from completed runs once there are some") {
  RunTimeEstimator estimator;
  const Duration declared{10'000};
  CHECK(estimator.Estimate("a", "tone", declared).mean == declared);
  for (int i = 0; i < 20; ++i) {
    estimator.Record("a", "tone", kRun);
  }
  const RunTimeEstimate estimate = estimator.Estimate("a", "tone", declared);
  CHECK((estimate.measured && estimate.mean == kRun));
  CHECK(estimator.Estimate("b", "tone", declared).mean == kRun);
  CHECK(estimator.Estimate("a", "permits", declared).mean == declared);
}

}  // namespace
}  // namespace cranberryplank
