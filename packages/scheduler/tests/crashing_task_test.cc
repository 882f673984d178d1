#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "simulated_owner.h"
#include "simulated_workers.h"

namespace cranberryplank {

namespace {

constexpr Duration kFaultyTime{40'000};
constexpr Duration kQuietTime{60'000};
constexpr int kWorkers = 6;
constexpr Resources kCapacity{16'000, 32'000, 0};
constexpr Duration kNeverEnds{1'000'000'000};
/// An owner notices within this time that a worker has crashed, unless a fault hides it.
constexpr Duration kNoticed{600};

JobSpec OneStepJob(const std::string& id, int tasks, Duration estimate) {
  JobSpec spec;
  spec.id = id;
  spec.queue = "queue";
  spec.pool = "pool";
  StepSpec step;
  step.count = tasks;
  step.per_task = {2'000, 1'000, 0};
  step.estimate_ms = estimate.count();
  spec.steps.push_back(step);
  return spec;
}

struct JobKind {
  bool deadly = false;
  bool long_running = false;
  Duration time{0};
  JobState end = JobState::kDone;  ///< State in which the job must end.
};

JobKind RandomKind(RandomSource* random) {
  JobKind kind;
  kind.deadly = random->Below(10) == 0;
  kind.long_running = random->Below(15) == 0;
  kind.time = random->Below(10) == 0 ? Duration(4'000) : Duration(300 + random->Below(900));
  kind.time = kind.long_running ? kNeverEnds : kind.time;
  kind.end = kind.long_running ? JobState::kCancelled : JobState::kDone;
  kind.end = kind.deadly ? JobState::kFailed : kind.end;
  return kind;
}

JobSpec RandomJob(const std::string& id, const JobKind& kind, RandomSource* random) {
  JobSpec spec = OneStepJob(id, 1 + static_cast<int>(random->Below(6)), Duration(500));
  StepSpec& first = spec.steps.front();
  first.per_task.cpu_millis = 1'000 + static_cast<std::int64_t>(random->Below(4'000));
  first.estimate_ms = std::max<std::int64_t>(kind.time.count(), 500);
  if (kind.long_running) {
    first.long_running = true;
    first.count = std::min(first.count, 2);
    first.estimate_ms = 500;
    return spec;
  }
  const int steps = 1 + static_cast<int>(random->Below(3));
  for (int i = 1; i < steps; ++i) {
    StepSpec step = spec.steps.front();
    step.count = 1 + static_cast<int>(random->Below(6));
    step.after = {i - 1};
    spec.steps.push_back(step);
  }
  return spec;
}

/// Crashes workers, makes them unreachable for seconds and changes their capacities.
class WorkerFaults {
 public:
  explicit WorkerFaults(SimulatedCluster* cluster) : m_cluster(cluster) {}

  void Step(bool faulty) {
    SimulatedWorkers& workers = m_cluster->workers();
    RandomSource& random = workers.random();
    for (auto& [id, worker] : workers.workers()) {
      if (!worker.reachable && m_cluster->now() >= m_unreachable_until[id]) {
        worker.reachable = true;
      }
      if (!worker.up || !faulty) {
        continue;
      }
      if (random.Below(6'000) == 0) {
        workers.Crash(id);
      } else if (worker.reachable && random.Below(4'000) == 0) {
        worker.reachable = false;
        m_unreachable_until[id] = m_cluster->now() + Duration(500 + random.Below(9'000));
      } else if (random.Below(1'000) == 0) {
        const auto quarters = 2 + static_cast<std::int64_t>(random.Below(3));
        workers.SetCapacity(id, {quarters * kCapacity.cpu_millis / 4, kCapacity.memory_mb, 0});
      }
    }
  }

 private:
  SimulatedCluster* m_cluster;
  std::map<std::string, TimePoint> m_unreachable_until;
};

/// When the owner is replaced.
enum class OwnerFaults {
  kRare,                ///< At any time, at least 10 s apart.
  kAfterWorkerCrashes,  ///< Mostly between a crash and the worker's return.
};

class OwnerChanges {
 public:
  OwnerChanges(SimulatedCluster* cluster, OwnerFaults faults)
      : m_cluster(cluster), m_faults(faults), m_last(cluster->now()) {}

  void Step() {
    RandomSource& random = m_cluster->workers().random();
    const TimePoint now = m_cluster->now();
    const bool after_crashes = m_faults == OwnerFaults::kAfterWorkerCrashes;
    if (after_crashes && m_cluster->workers().crashes() > m_crashes) {
      m_crashes = m_cluster->workers().crashes();
      if (random.Below(4) == 0) {
        m_next = now + kNoticed + Duration(random.Below(2'000));
      }
    }
    const Duration least_time{after_crashes ? 2'000 : 10'000};
    const std::uint64_t mean_steps = after_crashes ? 1'000 : 500;
    if (now >= m_last + least_time && (now >= m_next || random.Below(mean_steps) == 0)) {
      m_cluster->ReplaceOwner();
      m_last = now;
      m_next = TimePoint::max();
    }
  }

 private:
  SimulatedCluster* m_cluster;
  OwnerFaults m_faults;
  int m_crashes = 0;
  TimePoint m_last{};
  TimePoint m_next = TimePoint::max();
};

struct SeedResult {
  std::vector<std::string> wrong;
  int given_up_by_chance = 0;  ///< Innocent jobs with a task under which two workers crashed.
};

/// Describes the crashes of workers under the tasks of a job.
std::string DescribeCrashes(const SimulatedCluster& cluster, const std::string& job) {
  std::string text;
  for (const auto& [task, crashes] : cluster.workers().run_crashes()) {
    if (!task.starts_with(job + ".")) {
      continue;
    }
    for (const SimulatedWorkers::RunCrash& crash : crashes) {
      text += fmt::format("; {} run {} on {} after {} ms{}", task, crash.run, crash.worker,
                          crash.after_start.count(), crash.outlived ? ", outlived" : "");
    }
  }
  return text;
}

/// Returns whether two workers crashed under a task of the job and no owner had heard of them since
/// shortly after its start. Such a task may be given up.
bool MayBeGivenUp(const SimulatedCluster& cluster, const std::string& job) {
  const auto& all = cluster.workers().run_crashes();
  return std::any_of(all.begin(), all.end(), [&](const auto& item) {
    const auto counts = [](const SimulatedWorkers::RunCrash& crash) { return !crash.outlived; };
    return item.first.starts_with(job + ".") &&
           std::count_if(item.second.begin(), item.second.end(), counts) >= 2;
  });
}

/// Adds what is wrong with the ends of the jobs to `result`.
void CheckEnds(const SimulatedCluster& cluster, const std::map<std::string, JobKind>& jobs,
               SeedResult* result) {
  for (const auto& [id, kind] : jobs) {
    if (!cluster.Known(id)) {
      if (cluster.Accepted(id)) {
        result->wrong.push_back(fmt::format("{} was accepted and is not known", id));
      }
      continue;  // Not stored before its owner was replaced.
    }
    const auto end = cluster.EndOf(id);
    if (!kind.deadly && end == JobState::kFailed && MayBeGivenUp(cluster, id)) {
      ++result->given_up_by_chance;
    } else if (end != kind.end) {
      result->wrong.push_back(fmt::format("{} is {} instead of {}{}", id,
                                          end ? ToString(*end) : "unfinished", ToString(kind.end),
                                          DescribeCrashes(cluster, id)));
    } else if (kind.deadly && cluster.workers().Crashes(id + ".0.0.0") < 2) {
      result->wrong.push_back(fmt::format("{} was given up after fewer than two crashes", id));
    }
  }
}

SeedResult RunSeed(std::uint64_t seed, OwnerFaults owner_faults) {
  SimulatedCluster cluster(seed, kWorkers, kCapacity);
  SimulatedWorkers& workers = cluster.workers();
  RandomSource& random = workers.random();
  workers.SetFaults({0.01, 0.01, 0.02});
  workers.SetNewIdShare(0.5);
  WorkerFaults faults(&cluster);
  std::map<std::string, JobKind> jobs;
  const TimePoint quiet = cluster.now() + kFaultyTime;
  OwnerChanges owner_changes(&cluster, owner_faults);
  for (; cluster.now() < quiet; cluster.Step()) {
    faults.Step(true);
    if (random.Below(60) == 0) {
      const JobKind kind = RandomKind(&random);
      const std::string id = fmt::format("{}{}{}", kind.deadly ? "deadly" : "innocent",
                                         kind.long_running ? "-long-running-" : "-", jobs.size());
      if (kind.deadly) {
        workers.SetDeadly(id + ".0.0.0");
      }
      cluster.Submit(RandomJob(id, kind, &random), kind.time);
      jobs[id] = kind;
    }
    owner_changes.Step();
  }
  workers.SetFaults({});
  for (const auto& [id, worker] : workers.workers()) {
    workers.SetCapacity(id, kCapacity);
  }
  for (const TimePoint end = quiet + kQuietTime; cluster.now() < end; cluster.Step()) {
    faults.Step(false);
  }
  for (const auto& [id, kind] : jobs) {
    if (kind.end == JobState::kCancelled) {
      cluster.Cancel(id);
    }
  }
  cluster.Run(Duration(5'000));
  SeedResult result;
  result.wrong = workers.violations();
  CheckEnds(cluster, jobs, &result);
  return result;
}

/// Simulates the seeds. A job without a deadly task may fail only if two workers crashed under one
/// of its tasks. Two such crashes by chance are rare, so the number of these jobs is bounded.
void CheckSeeds(std::uint64_t seeds, OwnerFaults owner_faults) {
  constexpr std::uint64_t kSeedsPerJobGivenUp = 60;
  const std::uint64_t first = FirstSeed();
  std::uint64_t given_up_by_chance = 0;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    const SeedResult result = RunSeed(seed, owner_faults);
    given_up_by_chance += static_cast<std::uint64_t>(result.given_up_by_chance);
    INFO("seed " << seed);
    for (const std::string& text : result.wrong) {
      UNSCOPED_INFO(text);
    }
    CHECK(result.wrong.empty());
  }
  CHECK(given_up_by_chance <= 2 + seeds / kSeedsPerJobGivenUp);
}

void CheckNoViolation(SimulatedCluster* cluster) {
  for (const std::string& violation : cluster->workers().violations()) {
    UNSCOPED_INFO(violation);
  }
  CHECK(cluster->workers().violations().empty());
}

}  // namespace

// Guards against a task that crashes worker after worker without end, and against a job that is
// shown as failed because of crashes that its tasks did not cause.
TEST_CASE("only tasks that crash their workers are given up under random faults") {
  CheckSeeds(SeedCount(60), OwnerFaults::kRare);
}

// Guards against the same when owners are replaced before they see that a worker is back.
TEST_CASE("only tasks that crash their workers are given up while owners are replaced") {
  CheckSeeds(SeedCount(30), OwnerFaults::kAfterWorkerCrashes);
}

// Guards against a task that crashes worker after worker without end.
TEST_CASE("a task that crashes each worker that starts it is given up after few crashes") {
  SimulatedCluster cluster(1, 3, kCapacity);
  cluster.workers().SetNewIdShare(GENERATE(0.0, 1.0));
  cluster.workers().SetDeadly("deadly.0.0.0");
  JobSpec spec = OneStepJob("deadly", 1, Duration(500));
  spec.steps.front().long_running = GENERATE(false, true);
  cluster.Submit(spec, Duration(500));
  cluster.Run(Duration(40'000));
  CheckNoViolation(&cluster);
  CHECK(cluster.EndOf("deadly") == JobState::kFailed);
  CHECK(cluster.workers().Crashes("deadly.0.0.0") >= 2);
}

// Guards against a count that each new owner begins at 0. Here each owner sees one crash.
TEST_CASE("the crashes under a task are counted across a change of the owner") {
  SimulatedCluster cluster(1, 1, kCapacity);
  SimulatedWorkers& workers = cluster.workers();
  workers.SetNewIdShare(GENERATE(0.0, 1.0));
  workers.SetDeadly("deadly.0.0.0");
  const auto set_capacity = [&](const Resources& capacity) {
    for (const auto& [id, worker] : workers.workers()) {
      if (worker.registered) {
        workers.SetCapacity(id, capacity);
      }
    }
  };
  cluster.Submit(OneStepJob("deadly", 1, Duration(500)), Duration(500));
  for (int owner = 0; owner < 6 && !cluster.RunUntilStarted("deadly.0.0.0").empty(); ++owner) {
    set_capacity({});  // Prevents the next start until the next owner acts.
    cluster.Run(Duration(6'000));
    cluster.ReplaceOwner();
    cluster.Run(Duration(1'000));
    set_capacity(kCapacity);
  }
  CheckNoViolation(&cluster);
  CHECK(cluster.EndOf("deadly") == JobState::kFailed);
  CHECK(workers.Crashes("deadly.0.0.0") >= 2);
}

// Guards against suspicions that die with the owner: here each owner is replaced after the worker
// fell silent and before its restart is seen.
TEST_CASE("a deadly task is given up although no owner sees both its start and the restart") {
  SimulatedCluster cluster(1, 3, kCapacity);
  SimulatedWorkers& workers = cluster.workers();
  workers.SetNewIdShare(GENERATE(0.0, 1.0));
  workers.SetDeadly("deadly.0.0.0");
  cluster.Submit(OneStepJob("deadly", 1, Duration(500)), Duration(500));
  for (int owner = 0; owner < 8 && !cluster.RunUntilStarted("deadly.0.0.0").empty(); ++owner) {
    cluster.Run(Duration(1'000));
    cluster.ReplaceOwner();
  }
  CheckNoViolation(&cluster);
  CHECK(cluster.EndOf("deadly") == JobState::kFailed);
  CHECK(workers.Crashes("deadly.0.0.0") >= 2);
}

// Guards against a task that takes down worker after worker while none of them is back to prove a
// crash.
TEST_CASE("a deadly task is given up after few crashes if its workers stay away for long") {
  SimulatedCluster cluster(1, 12, kCapacity);
  SimulatedWorkers& workers = cluster.workers();
  workers.SetNewIdShare(GENERATE(0.0, 1.0));
  workers.SetRestartTime(GENERATE(Duration(6'000), Duration(15'000), Duration(30'000)));
  workers.SetDeadly("deadly.0.0.0");
  cluster.Submit(OneStepJob("deadly", 1, Duration(500)), Duration(500));
  cluster.Run(Duration(90'000));
  CheckNoViolation(&cluster);
  CHECK(cluster.EndOf("deadly") == JobState::kFailed);
  CHECK(workers.Crashes("deadly.0.0.0") <= 4);
}

// Guards against taking a reply that the worker sent before it crashed for one that it sent long
// after the start, because a busy owner handles it late.
TEST_CASE("a reply that is handled late does not show that the worker outlived a start") {
  SimulatedCluster cluster(1, 2, kCapacity);
  SimulatedWorkers& workers = cluster.workers();
  workers.SetNewIdShare(GENERATE(0.0, 1.0));
  workers.SetClockInStartReplies(GENERATE(false, true));
  workers.SetDeadly("deadly.0.0.0", Duration(100));
  cluster.Submit(OneStepJob("deadly", 1, Duration(500)), Duration(500));
  for (int start = 0; start < 8 && !cluster.RunUntilStarted("deadly.0.0.0").empty(); ++start) {
    cluster.Run(Duration(50));
    cluster.RunWithFrozenOwner(Duration(300));
    cluster.Run(Duration(1'000));
  }
  CheckNoViolation(&cluster);
  CHECK(cluster.EndOf("deadly") == JobState::kFailed);
  CHECK(workers.Crashes("deadly.0.0.0") >= 2);
}

// Guards against blaming all tasks on a crashed worker, and against letting none of them run.
TEST_CASE("a task that runs beside a deadly one is not given up and gets done") {
  SimulatedCluster cluster(1, GENERATE(1, 2), kCapacity);
  cluster.workers().SetNewIdShare(GENERATE(0.0, 1.0));
  cluster.workers().SetDeadly("deadly.0.0.0");
  cluster.Submit(OneStepJob("innocent", 4, Duration(1'000)), Duration(1'000));
  cluster.Submit(OneStepJob("deadly", 2, Duration(1'000)), Duration(1'000));
  cluster.Run(Duration(60'000));
  CheckNoViolation(&cluster);
  CHECK(cluster.EndOf("innocent") == JobState::kDone);
  CHECK(cluster.EndOf("deadly") == JobState::kFailed);
}

// Guards against counting the loss of a run as a crash although the worker never restarted.
TEST_CASE("a worker that was only unreachable does not count as crashed") {
  SimulatedCluster cluster(1, 1, kCapacity);
  cluster.Submit(OneStepJob("job", 1, Duration(8'000)), Duration(8'000));
  for (int i = 0; i < 6; ++i) {
    const std::string id = cluster.RunUntilStarted("job.0.0.0");
    REQUIRE_FALSE(id.empty());
    cluster.workers().workers().at(id).reachable = false;
    cluster.Run(Duration(6'000));
    cluster.workers().workers().at(id).reachable = true;
  }
  cluster.Run(Duration(20'000));
  CheckNoViolation(&cluster);
  CHECK(cluster.EndOf("job") == JobState::kDone);
}

// Guards against a task that goes on waiting for proof after its workers have replied.
TEST_CASE("a task whose workers were only unreachable starts again once they reply") {
  SimulatedCluster cluster(1, 6, kCapacity);
  auto& workers = cluster.workers().workers();
  cluster.Submit(OneStepJob("job", 1, Duration(4'000)), Duration(4'000));
  const auto runs_job = [](const auto& item) {
    return item.second.reachable && item.second.runs.contains("job.0.0.0");
  };
  for (int lost = 0; lost < 3; ++lost) {
    auto found = workers.end();
    for (int step = 0; step < 1'000 && found == workers.end(); ++step) {
      cluster.Step();
      found = std::find_if(workers.begin(), workers.end(), runs_job);
    }
    REQUIRE(found != workers.end());
    found->second.reachable = false;
  }
  cluster.Run(Duration(5'000));  // The last lease expires.
  for (auto& [id, worker] : workers) {
    worker.reachable = true;
  }
  cluster.Run(Duration(8'000));
  CheckNoViolation(&cluster);
  CHECK(cluster.EndOf("job") == JobState::kDone);
}

// Guards against counting planned removals of workers as crashes of their tasks.
TEST_CASE("a worker that was draining or retired does not count as crashed") {
  const bool retired = GENERATE(false, true);
  SimulatedCluster cluster(1, 2, kCapacity);
  cluster.workers().SetNewIdShare(GENERATE(0.0, 1.0));
  cluster.Submit(OneStepJob("job", 1, Duration(1'000)), Duration(1'000));
  for (int i = 0; i < 6; ++i) {
    const std::string id = cluster.RunUntilStarted("job.0.0.0");
    REQUIRE_FALSE(id.empty());
    if (!retired) {
      cluster.workers().SetDraining(id);
    }
    cluster.Run(Duration(20));
    cluster.workers().Crash(id);
    if (retired) {
      cluster.scheduler().RetireWorker(cluster.now(), id);
    }
  }
  cluster.Run(Duration(20'000));
  CheckNoViolation(&cluster);
  CHECK(cluster.EndOf("job") == JobState::kDone);
}

// Guards against starts on a worker whose capacity shrank below what it runs, and against a worker
// that stays unused after its capacity has grown again.
TEST_CASE("a worker gets no start while its shrunken capacity is used, and starts when it grows") {
  SimulatedCluster cluster(1, 1, kCapacity);
  SimulatedWorkers& workers = cluster.workers();
  const std::string id = workers.workers().begin()->first;
  cluster.Submit(OneStepJob("short", 4, Duration(1'000)), Duration(1'000));
  cluster.Submit(OneStepJob("long", 4, Duration(3'000)), Duration(3'000));
  cluster.Run(Duration(300));
  REQUIRE(workers.starts() == 8);
  workers.SetCapacity(id, {9'000, 32'000, 0});
  cluster.Submit(OneStepJob("next", 1, Duration(500)), Duration(500));
  cluster.Run(Duration(2'000));
  REQUIRE(cluster.EndOf("short") == JobState::kDone);
  CHECK(workers.starts() == 8);  // 8 of 9 cores are used.
  workers.SetCapacity(id, {10'000, 32'000, 0});
  cluster.Run(Duration(300));
  CHECK(workers.starts() == 9);
  CheckNoViolation(&cluster);
}

}  // namespace cranberryplank
