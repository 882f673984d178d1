#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cranberryplank/scheduler/scheduler.h"
#include "simulated_owner.h"
#include "simulated_workers.h"

namespace cranberryplank {

namespace {

constexpr Duration kStep{10};
constexpr Duration kFaultyTime{40'000};
constexpr Duration kQuietTime{40'000};
constexpr int kWorkers = 4;
constexpr Resources kCapacity{16'000, 32'000, 0};

JobSpec RandomJob(int number, RandomSource* random, std::int64_t now_ms) {
  JobSpec spec;
  spec.id = "job" + std::to_string(number);
  spec.queue = "queue";
  spec.queue_path = kTestQueueId;
  spec.pool = "pool";
  spec.accepted_unix_ms = now_ms;
  const int steps = 1 + static_cast<int>(random->Below(3));
  for (int i = 0; i < steps; ++i) {
    StepSpec step;
    step.count = 1 + static_cast<int>(random->Below(4));
    step.per_task = {1'000 + static_cast<std::int64_t>(random->Below(5'000)), 1'000, 0};
    step.estimate_ms = 500;
    if (i > 0) {
      step.after = {i - 1};
      step.per_task = spec.steps.front().per_task;
    }
    spec.steps.push_back(step);
  }
  return spec;
}

struct Outcome {
  std::vector<std::string> violations;
  int unfinished = 0;
  std::uint64_t starts = 0;
};

/// Simulates one seed: jobs are submitted, orders are lost or delayed, workers become unreachable
/// or restart, and owners are replaced while they still act.
/// @param waits whether replies to lease renewals wait for an end
/// @param restart_interval mean number of steps between two restarts of a worker
Outcome RunSeed(std::uint64_t seed, bool waits, std::uint64_t restart_interval) {
  SimulatedWorkers workers(seed);
  if (waits) {
    workers.EnableWaits();
  }
  if (seed % 3 == 0) {
    workers.SetListedEndsLimit(kFewListedEnds);
  }
  DurableState store;
  TimePoint now{std::chrono::seconds(1'000)};
  workers.Advance(now);
  for (int i = 0; i < kWorkers; ++i) {
    workers.AddWorker("worker" + std::to_string(i), "pool", kCapacity);
  }
  workers.SetFaults({0.01, 0.01, 0.02});
  std::vector<std::unique_ptr<Owner>> owners;
  owners.push_back(std::make_unique<Owner>(now, &workers, &store));
  RandomSource& random = workers.random();
  SeededRandom renames(seed);  // Of its own, so that the other faults of a seed stay the same.
  std::vector<std::string> jobs;
  std::map<std::string, TimePoint> unreachable_until;
  const TimePoint begun = now;
  while (now < begun + kFaultyTime + kQuietTime) {
    now += kStep;
    workers.Advance(now);
    const bool faulty = now < begun + kFaultyTime;
    if (!faulty) {
      workers.SetFaults({});
    }
    Owner& owner = *owners.back();
    if (faulty && random.Below(60) == 0) {
      const JobSpec spec =
          RandomJob(static_cast<int>(jobs.size()), &random,
                    std::chrono::duration_cast<Duration>(now.time_since_epoch()).count());
      workers.SetTask(spec.id, spec.steps.front().per_task, Duration(300 + random.Below(900)),
                      0.05);
      jobs.push_back(spec.id);
      owner.scheduler().Submit({now, spec.accepted_unix_ms}, spec, [](bool) {});
    }
    for (auto& [id, worker] : workers.workers()) {
      if (faulty && random.Below(restart_interval) == 0) {
        workers.Restart(id);
      }
      if (faulty && worker.reachable && random.Below(4'000) == 0) {
        worker.reachable = false;
        unreachable_until[id] = now + Duration(500 + random.Below(9'000));
      }
      if (!worker.reachable && now >= unreachable_until[id]) {
        worker.reachable = true;
      }
    }
    if (faulty && renames.Below(1'000) == 0) {
      store.config = TestConfig(store.config->version + 1);
      owner.scheduler().SetConfig({now, 0}, store.config);
    }
    if (faulty && random.Below(800) == 0) {
      owners.push_back(std::make_unique<Owner>(now, &workers, &store));
    }
    // Earlier owners keep ticking but skip a random step now and then. They stop acting when their
    // authority expires.
    for (const auto& each : owners) {
      if (each == owners.back() || random.Below(20) != 0) {
        each->Tick(now);
      }
    }
  }
  Outcome outcome;
  outcome.violations = workers.violations();
  outcome.starts = workers.starts();
  for (const std::string& id : jobs) {
    const auto record = store.records.find(id);
    // A job that was not stored before the replacement of its owner was never accepted.
    const bool unfinished = record != store.records.end() && !DecodeJob(id, record->second)->ended;
    outcome.unfinished += unfinished ? 1 : 0;
  }
  return outcome;
}

/// Simulates seeds from 1 on and requires that no guarantee is violated. Arguments as for RunSeed.
void CheckSeeds(bool waits, std::uint64_t restart_interval) {
  std::uint64_t starts = 0;
  for (std::uint64_t seed = 1; seed <= SeedCount(60); ++seed) {
    const Outcome outcome = RunSeed(seed, waits, restart_interval);
    INFO("seed " << seed);
    for (const std::string& violation : outcome.violations) {
      UNSCOPED_INFO(violation);
    }
    REQUIRE(outcome.violations.empty());
    REQUIRE(outcome.unfinished == 0);
    starts += outcome.starts;
  }
  CHECK(starts > 0);
}

}  // namespace

// Guards against a task that runs twice at the same time or after its acknowledged end, against
// starts beyond a worker's capacity, and against work that is never finished.
TEST_CASE("random faults violate no guarantee of the schedule") { CheckSeeds(false, 6'000); }

// Guards against an acknowledgement that reaches a restarted worker while a lease renewal to its
// earlier incarnation is still unanswered.
TEST_CASE("waiting renewals and frequent restarts violate no guarantee of the schedule") {
  CheckSeeds(true, 600);
}

}  // namespace cranberryplank
