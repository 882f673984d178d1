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
/// A start of a deadly task, its crash and the next start take over 3 s, so at most two owners
/// begin during the five starts that are allowed. An owner that begins while a worker is down can
/// not know which tasks that worker had started.
constexpr Duration kBetweenOwners{10'000};

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

/// Returns what is wrong with the ends of the jobs.
std::vector<std::string> WrongEnds(SimulatedCluster* cluster,
                                   const std::map<std::string, JobKind>& jobs) {
  std::vector<std::string> wrong;
  for (const auto& [id, kind] : jobs) {
    if (!cluster->Known(id)) {
      if (cluster->Accepted(id)) {
        wrong.push_back(fmt::format("{} was accepted and is not known", id));
      }
      continue;  // Not stored before its owner was replaced.
    }
    const auto end = cluster->EndOf(id);
    if (end != kind.end) {
      wrong.push_back(fmt::format("{} is {} instead of {}", id, end ? ToString(*end) : "unfinished",
                                  ToString(kind.end)));
    } else if (kind.deadly && cluster->workers().Crashes(id + ".0.0.0") < 2) {
      wrong.push_back(fmt::format("{} was given up after fewer than two crashes", id));
    }
  }
  return wrong;
}

/// Simulates one seed. @return what went wrong
std::vector<std::string> RunSeed(std::uint64_t seed) {
  SimulatedCluster cluster(seed, kWorkers, kCapacity);
  SimulatedWorkers& workers = cluster.workers();
  RandomSource& random = workers.random();
  workers.SetFaults({0.01, 0.01, 0.02});
  workers.SetNewIdShare(0.5);
  WorkerFaults faults(&cluster);
  std::map<std::string, JobKind> jobs;
  const TimePoint quiet = cluster.now() + kFaultyTime;
  TimePoint replaced = cluster.now();
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
    if (cluster.now() >= replaced + kBetweenOwners && random.Below(500) == 0) {
      cluster.ReplaceOwner();
      replaced = cluster.now();
    }
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
  std::vector<std::string> wrong = workers.violations();
  const std::vector<std::string> ends = WrongEnds(&cluster, jobs);
  wrong.insert(wrong.end(), ends.begin(), ends.end());
  return wrong;
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
  for (std::uint64_t seed = 1; seed <= SeedCount(60); ++seed) {
    const std::vector<std::string> wrong = RunSeed(seed);
    INFO("seed " << seed);
    for (const std::string& text : wrong) {
      UNSCOPED_INFO(text);
    }
    CHECK(wrong.empty());
  }
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
