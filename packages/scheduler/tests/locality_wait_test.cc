#include "cranberryplank/scheduler/locality_wait.h"

#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <cstdint>
#include <list>
#include <vector>

#include "cranberryplank/model/random.h"
#include "simulated_owner.h"

namespace cranberryplank {

namespace {

constexpr TimePoint kNow{std::chrono::seconds(100)};
constexpr Resources kCore{1'000, 1'000, 0};
constexpr Resources kNone{};

LocalityInput TaskOf(Duration estimate, double far_factor) {
  LocalityInput input;
  input.footprint = kCore;
  input.estimate = estimate;
  input.far_factor = far_factor;
  input.since = kNow;
  input.latest_start = kNow + Duration(60'000);
  return input;
}

// Replay of a pool whose tasks each have their data in one rack, one rack more often than others.

enum class Policy { kNoWait, kBreakEven, kEstimate };

constexpr int kRacks = 4;
constexpr int kWorkersPerRack = 2;
constexpr std::size_t kWorkers = std::size_t{kRacks} * kWorkersPerRack;
constexpr int kSlotsPerWorker = 4;
constexpr int kSlots = kRacks * kWorkersPerRack * kSlotsPerWorker;
constexpr Duration kStep{5};
constexpr Duration kReplayTime{200'000};
constexpr double kMeanMs = 1'000;

struct ReplayTask {
  TimePoint due{};
  int rack = 0;
  Duration estimate{0};
  Duration actual{0};
  TimePoint since{};
  bool waited = false;
};

struct ReplayRun {
  int worker = 0;
  TimePoint begun{};
  Duration expected{0};
  TimePoint end{};
};

struct ReplayResult {
  double mean_ms = 0;        ///< From the arrival to the end.
  double far_share = 0;      ///< Share of tasks that ran on another rack.
  double in_time = 0;        ///< Share of tasks that met their objective.
  double core_ms = 0;        ///< Mean time on a core.
  Duration longest_wait{0};  ///< Longest wait that the rule decided, beyond break-even.
};

Duration Times(Duration time, double factor) {
  return Duration(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

std::vector<ReplayTask> Arrivals(double load, std::uint64_t seed) {
  SeededRandom random(seed);
  const auto uniform = [&] { return (static_cast<double>(random.Below(1'000'000)) + 0.5) / 1e6; };
  std::vector<ReplayTask> tasks;
  double at = 0;
  for (;;) {
    at -= std::log(uniform()) * kMeanMs / (load * kSlots);
    if (at > static_cast<double>(kReplayTime.count())) {
      return tasks;
    }
    ReplayTask task;
    task.due = kNow + Duration(static_cast<std::int64_t>(at));
    // The first rack has the data of 40 % of the tasks.
    task.rack = uniform() < 0.2 ? 0 : static_cast<int>(random.Below(kRacks));
    task.estimate = Duration(static_cast<std::int64_t>(kMeanMs * (0.25 + 1.5 * uniform())));
    // Most tasks differ from their estimate by up to 30 %; one in twenty takes four times as long.
    task.actual = Times(task.estimate, uniform() < 0.05 ? 4 : 0.7 + 0.45 * uniform());
    tasks.push_back(task);
  }
}

/// Adds one replay to the mean of several.
void AddShare(ReplayResult* mean, const ReplayResult& result, double replays) {
  mean->mean_ms += result.mean_ms / replays;
  mean->far_share += result.far_share / replays;
  mean->in_time += result.in_time / replays;
  mean->core_ms += result.core_ms / replays;
  mean->longest_wait = std::max(mean->longest_wait, result.longest_wait);
}

class Replay {
 public:
  /// @param last_first whether the last of several equal workers is chosen, not the first
  Replay(Policy policy, double far_factor, bool last_first = false)
      : m_policy(policy), m_far_factor(far_factor), m_last_first(last_first) {}

  ReplayResult Run(const std::vector<ReplayTask>& arrivals) {
    std::size_t next = 0;
    for (TimePoint now = kNow; next < arrivals.size() || !m_waiting.empty(); now += kStep) {
      std::erase_if(m_runs, [&](const ReplayRun& run) {
        m_free[static_cast<std::size_t>(run.worker)] += run.end <= now ? 1 : 0;
        return run.end <= now;
      });
      for (; next < arrivals.size() && arrivals[next].due <= now; ++next) {
        m_waiting.push_back(arrivals[next]);
      }
      Place(now);
    }
    const auto count = static_cast<double>(arrivals.size());
    m_result.mean_ms /= count;
    m_result.far_share /= count;
    m_result.in_time /= count;
    m_result.core_ms /= count;
    return m_result;
  }

 private:
  static int RackOfWorker(int worker) { return worker / kWorkersPerRack; }

  bool IsFull() const {
    return std::all_of(m_free.begin(), m_free.end(), [](int slots) { return slots == 0; });
  }

  void Place(TimePoint now) {
    std::vector<RackRoom> rooms;
    for (auto task = m_waiting.begin(); task != m_waiting.end() && !IsFull();) {
      const int worker = FreeWorker(task->rack);
      if (RackOfWorker(worker) != task->rack && m_policy != Policy::kNoWait) {
        if (rooms.empty()) {
          rooms = Rooms(now);
        }
        if (Waits(now, &*task, &rooms[static_cast<std::size_t>(task->rack)])) {
          ++task;
          continue;
        }
      }
      Start(now, *task, worker);
      task = m_waiting.erase(task);
    }
  }

  bool Waits(TimePoint now, ReplayTask* task, RackRoom* room) {
    if (!task->waited) {
      task->since = now;
    }
    LocalityInput input = TaskOf(task->estimate, m_far_factor);
    input.since = task->since;
    const Duration far_cost = Times(task->estimate, m_far_factor - 1);
    input.latest_start =
        task->due + ObjectiveOf(*task) - Times(task->estimate, 1.2) - Duration(80) - far_cost;
    bool waits = now < std::min<TimePoint>(task->since + far_cost, input.latest_start);
    if (m_policy == Policy::kEstimate) {
      const auto until = WaitForRack(now, input, *room);
      waits = until.has_value();
      if (until) {
        room->Claim(*until, input.footprint, 1);
      }
    }
    task->waited = task->waited || waits;
    if (waits) {
      const auto beyond = std::chrono::duration_cast<Duration>(now - task->since) - far_cost;
      m_result.longest_wait = std::max(m_result.longest_wait, beyond);
    }
    return waits;
  }

  std::vector<RackRoom> Rooms(TimePoint now) const {
    std::vector<RackRoom> rooms;
    for (int rack = 0; rack < kRacks; ++rack) {
      std::vector<Resources> free;
      std::vector<ExpectedEnd> ends;
      for (int i = 0; i < kWorkersPerRack; ++i) {
        const int worker = rack * kWorkersPerRack + i;
        const int slots = m_free[static_cast<std::size_t>(worker)];
        free.push_back({slots * kCore.cpu_millis, slots * kCore.memory_mb, 0});
      }
      for (const ReplayRun& run : m_runs) {
        if (RackOfWorker(run.worker) == rack) {
          ends.push_back({ExpectedEndOf(now, run.begun, run.expected),
                          static_cast<std::size_t>(run.worker % kWorkersPerRack), kCore});
        }
      }
      rooms.emplace_back(std::move(free), std::move(ends));
    }
    return rooms;
  }

  /// Returns the worker to start a task on: in its rack if it has room; -1 if none has.
  int FreeWorker(int rack) const {
    int best = -1;
    const int workers = static_cast<int>(m_free.size());
    for (int i = 0; i < workers; ++i) {
      const int worker = m_last_first ? workers - 1 - i : i;
      if (m_free[static_cast<std::size_t>(worker)] > 0 &&
          (best < 0 || (RackOfWorker(worker) == rack && RackOfWorker(best) != rack))) {
        best = worker;
      }
    }
    return best;
  }

  static Duration ObjectiveOf(const ReplayTask& task) {
    return 2 * task.estimate + Duration(1'000);
  }

  void Start(TimePoint now, const ReplayTask& task, int worker) {
    const bool far = RackOfWorker(worker) != task.rack;
    const double factor = far ? m_far_factor : 1;
    const Duration time = Times(task.actual, factor);
    --m_free[static_cast<std::size_t>(worker)];
    m_runs.push_back({worker, now, Times(task.estimate, factor), now + time});
    const auto response = std::chrono::duration_cast<Duration>(now + time - task.due);
    m_result.mean_ms += static_cast<double>(response.count());
    m_result.core_ms += static_cast<double>(time.count());
    m_result.far_share += far ? 1 : 0;
    m_result.in_time += response <= ObjectiveOf(task) ? 1 : 0;
  }

  Policy m_policy;
  double m_far_factor;
  bool m_last_first;
  std::vector<int> m_free = std::vector<int>(kWorkers, kSlotsPerWorker);
  std::vector<ReplayRun> m_runs;
  std::list<ReplayTask> m_waiting;
  ReplayResult m_result;
};

}  // namespace

// Guards against a wait where the rack's workers are busy for longer than the far start costs, and
// against a far start just before a worker of the rack is free.
TEST_CASE("a task waits for its rack only while that is expected to be faster") {
  const RackRoom soon({kNone}, {{kNow + Duration(300), 0, kCore}});
  CHECK(WaitForRack(kNow, TaskOf(Duration(1'000), 1.5), soon) == kNow + Duration(300));
  CHECK_FALSE(WaitForRack(kNow, TaskOf(Duration(500), 1.5), soon));
  CHECK_FALSE(WaitForRack(kNow, TaskOf(Duration(1'000), 1), soon));
  CHECK_FALSE(WaitForRack(kNow, TaskOf(Duration(0), 3), soon));
}

// Guards against a wait for a rack whose VMs are parked, draining or in another pool.
TEST_CASE("a task does not wait for a rack without workers or with unknown ends") {
  CHECK_FALSE(WaitForRack(kNow, TaskOf(Duration(1'000), 3), RackRoom({}, {})));
  CHECK_FALSE(WaitForRack(kNow, TaskOf(Duration(1'000), 3), RackRoom({kNone}, {})));
}

// Guards against runs that exceed their estimates and extend the wait again and again.
TEST_CASE("a wrong estimate does not extend the wait beyond break-even") {
  const LocalityInput input = TaskOf(Duration(1'000), 2);
  TimePoint now = kNow;
  for (; now < kNow + Duration(5'000); now += Duration(10)) {
    const RackRoom room({kNone},
                        {{ExpectedEndOf(now, kNow - Duration(500), Duration(600)), 0, kCore}});
    if (!WaitForRack(now, input, room)) {
      break;
    }
  }
  CHECK(now > kNow + Duration(100));
  CHECK(now <= kNow + Duration(1'000));
}

// Guards against a wait that makes a task miss its objective.
TEST_CASE("a task does not wait beyond its latest start") {
  const RackRoom soon({kNone}, {{kNow + Duration(300), 0, kCore}});
  LocalityInput input = TaskOf(Duration(1'000), 3);
  input.latest_start = kNow + Duration(299);
  CHECK_FALSE(WaitForRack(kNow, input, soon));
  input.latest_start = kNow + Duration(301);
  CHECK(WaitForRack(kNow, input, soon));
}

// Guards against many tasks that all wait for the same end of a run.
TEST_CASE("a waiting task counts on the room after that of the tasks before it") {
  RackRoom room({kNone}, {{kNow + Duration(900), 0, kCore}, {kNow + Duration(300), 0, kCore}});
  const LocalityInput input = TaskOf(Duration(1'000), 2);
  REQUIRE(WaitForRack(kNow, input, room) == kNow + Duration(300));
  room.Claim(kNow + Duration(300), kCore, 1);
  REQUIRE(WaitForRack(kNow, input, room) == kNow + Duration(900));
  room.Claim(kNow + Duration(900), kCore, 1);
  CHECK_FALSE(WaitForRack(kNow, input, room));
  room.SetFree(0, kCore);
  CHECK(room.FitTime(kNow, kCore, 1, kNow) == kNow);
}

// Guards against a gang that waits although only some of its tasks fit in the rack in time.
TEST_CASE("a gang waits until all its tasks fit") {
  const RackRoom room({kNone, kCore},
                      {{kNow + Duration(300), 0, kCore}, {kNow + Duration(700), 1, kCore}});
  LocalityInput input = TaskOf(Duration(1'000), 2);
  input.count = 3;
  CHECK(WaitForRack(kNow, input, room) == kNow + Duration(700));
  input.far_factor = 1.5;
  CHECK_FALSE(WaitForRack(kNow, input, room));
}

namespace {

/// Guards against a rule that costs more than it gains when one rack of a loaded pool has more data
/// than others: the mean time must not exceed that without a wait by more than the bound, and no
/// wait may last beyond break-even. Prints the table of docs/design/locality-wait.md.
void CheckReplays(double load) {
  constexpr std::uint64_t kSeeds = 8;
  fmt::print(
      "| load | farX | far share: none, break-even, rule | mean ms: none, break-even, rule | "
      "worst seed, ms: rule - none, other tie - none | core ms: none, rule | in time: none, "
      "break-even, rule |\n"
      "|---|---|---|---|---|---|---|\n");
  for (const double far_factor : {1.5, 2.0, 3.0}) {
    ReplayResult none;
    ReplayResult even;
    ReplayResult rule;
    double worst = -1e9;
    double worst_other = -1e9;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const std::vector<ReplayTask> arrivals = Arrivals(load, seed);
      const ReplayResult without = Replay(Policy::kNoWait, far_factor).Run(arrivals);
      const ReplayResult with = Replay(Policy::kEstimate, far_factor).Run(arrivals);
      AddShare(&none, without, kSeeds);
      AddShare(&even, Replay(Policy::kBreakEven, far_factor).Run(arrivals), kSeeds);
      AddShare(&rule, with, kSeeds);
      const ReplayResult other = Replay(Policy::kNoWait, far_factor, true).Run(arrivals);
      worst = std::max(worst, with.mean_ms - without.mean_ms);
      worst_other = std::max(worst_other, other.mean_ms - without.mean_ms);
      // Where the pool can not keep up with tasks that all run elsewhere, the length of the
      // backlog depends on chance, as that of another choice among equal workers shows.
      if (load * far_factor < 1) {
        CHECK(with.mean_ms <= without.mean_ms + (far_factor - 1) * kMeanMs);
      }
    }
    fmt::print(
        "| {} | {} | {:.1f} %, {:.1f} %, {:.1f} % | {:.0f}, {:.0f}, {:.0f} | {:.0f}, {:.0f} | "
        "{:.0f}, {:.0f} | {:.1f} %, {:.1f} %, {:.1f} % |\n",
        load, far_factor, 100 * none.far_share, 100 * even.far_share, 100 * rule.far_share,
        none.mean_ms, even.mean_ms, rule.mean_ms, worst, worst_other, none.core_ms, rule.core_ms,
        100 * none.in_time, 100 * even.in_time, 100 * rule.in_time);
    CHECK(rule.longest_wait <= Duration(0));
    CHECK(rule.mean_ms <= none.mean_ms + (far_factor - 1) * kMeanMs);
  }
}

}  // namespace

// A test case for each load: all in one take minutes in a sanitized build.
TEST_CASE("replay: waiting for the rack at load 0.3") { CheckReplays(0.3); }

TEST_CASE("replay: waiting for the rack at load 0.5") { CheckReplays(0.5); }

TEST_CASE("replay: waiting for the rack at load 0.7") { CheckReplays(0.7); }

TEST_CASE("replay: waiting for the rack at load 0.8") { CheckReplays(0.8); }

TEST_CASE("replay: waiting for the rack at load 0.9") { CheckReplays(0.9); }

// Guards against a rule that costs more than its bound in a single run, also where the pool can not
// keep up. Listed in KNOWN-RED.txt: it fails at load 0.9 and far factor 3.
TEST_CASE("replay: one seed stays within the bound in every cell") {
  constexpr std::uint64_t kSeed = 7;
  for (const double load : {0.3, 0.5, 0.7, 0.8, 0.9}) {
    for (const double far_factor : {1.5, 2.0, 3.0}) {
      const std::vector<ReplayTask> arrivals = Arrivals(load, kSeed);
      const ReplayResult without = Replay(Policy::kNoWait, far_factor).Run(arrivals);
      const ReplayResult with = Replay(Policy::kEstimate, far_factor).Run(arrivals);
      CAPTURE(load, far_factor);
      CHECK(with.mean_ms <= without.mean_ms + (far_factor - 1) * kMeanMs);
    }
  }
}

namespace {

constexpr Duration kTaskTime{1'000};

JobSpec TaskIn(const std::string& rack, const std::string& id, Duration estimate) {
  JobSpec spec = OneTask(id, estimate);
  spec.steps.front().preferred_rack = rack;
  return spec;
}

/// Two workers of one core in racks r0 and r1, of which the first is expected to be occupied
/// until 400 ms after the constructor.
class TwoRacks {
 public:
  /// @param first_time real time of the first run; its estimate is `kTaskTime`
  explicit TwoRacks(double far_factor, Duration first_time = kTaskTime)
      : cluster(1, 2, kCore), m_far_factor(far_factor) {
    int number = 0;
    for (auto& [id, worker] : cluster.workers().workers()) {
      worker.info.rack = fmt::format("r{}", number++);
    }
    SetUp();
    cluster.Run(Duration(500));
    cluster.Submit(TaskIn("r0", "first", kTaskTime), first_time);
    REQUIRE(cluster.RunUntilStarted("first.0.0.0") == "worker0");
    cluster.Run(Duration(600));
  }

  void ReplaceOwner() {
    cluster.ReplaceOwner();
    SetUp();
  }

  SimulatedCluster cluster;

 private:
  void SetUp() {
    SchedulerSettings settings;
    settings.far_factor = m_far_factor;
    cluster.scheduler().SetSettings(settings);
    for (auto& [id, worker] : cluster.workers().workers()) {
      cluster.scheduler().SetWorker({cluster.now(), 0}, worker.info);
    }
  }

  double m_far_factor;
};

}  // namespace

// Guards against a rule that the placement does not use.
TEST_CASE("the scheduler lets a task wait for the rack of its data") {
  TwoRacks racks(2);
  racks.cluster.Submit(TaskIn("r0", "second", kTaskTime), kTaskTime);
  CHECK(racks.cluster.RunUntilStarted("second.0.0.0") == "worker0");
  CHECK(racks.cluster.scheduler().counters().locality_waits == 1);
}

// Guards against a changed placement where the setting is absent.
TEST_CASE("without a far factor no task waits for the rack of its data") {
  TwoRacks racks(1);
  racks.cluster.Submit(TaskIn("r0", "second", kTaskTime), kTaskTime);
  CHECK(racks.cluster.RunUntilStarted("second.0.0.0") == "worker1");
  CHECK(racks.cluster.scheduler().counters().locality_waits == 0);
}

// Guards against a waiting task that keeps others from the room that it does not use.
TEST_CASE("a task that waits for its rack reserves no resources") {
  TwoRacks racks(2);
  racks.cluster.Submit(TaskIn("r0", "second", kTaskTime), kTaskTime);
  racks.cluster.Run(Duration(50));
  REQUIRE(racks.cluster.scheduler().counters().locality_waits == 1);
  racks.cluster.Submit(OneTask("other", kTaskTime), kTaskTime);
  CHECK(racks.cluster.RunUntilStarted("other.0.0.0") == "worker1");
  CHECK(racks.cluster.RunUntilStarted("second.0.0.0") == "worker0");
}

// Guards against a wait for a worker that drains during the wait.
TEST_CASE("a wait ends when the workers of the rack drain") {
  TwoRacks racks(2);
  racks.cluster.Submit(TaskIn("r0", "second", kTaskTime), kTaskTime);
  racks.cluster.Run(Duration(50));
  REQUIRE(racks.cluster.scheduler().counters().locality_waits == 1);
  WorkerInfo info = racks.cluster.workers().workers().at("worker0").info;
  info.draining = true;
  racks.cluster.scheduler().SetWorker({racks.cluster.now(), 0}, info);
  const TimePoint drained = racks.cluster.now();
  CHECK(racks.cluster.RunUntilStarted("second.0.0.0") == "worker1");
  CHECK(racks.cluster.now() - drained <= Duration(200));
}

// Guards against a wait that is extended because the run in the rack exceeds its estimate, or that
// is not examined again when it ends.
TEST_CASE("a task starts elsewhere by break-even if its rack stays occupied") {
  TwoRacks racks(1.5, Duration(20'000));
  const TimePoint submitted = racks.cluster.now();
  racks.cluster.Submit(TaskIn("r0", "second", 3 * kTaskTime), kTaskTime);
  CHECK(racks.cluster.RunUntilStarted("second.0.0.0") == "worker1");
  CHECK(racks.cluster.scheduler().counters().locality_waits == 1);
  CHECK(racks.cluster.now() - submitted > Duration(400));
  // One interval of the placement passes is allowed for the storing of the job and the order.
  CHECK(racks.cluster.now() - submitted <= 3 * kTaskTime / 2 + Duration(100));
}

// Guards against tasks of one step that all wait for the same end of a run.
TEST_CASE("tasks that find no room in their rack in time start elsewhere at once") {
  TwoRacks racks(2);
  JobSpec spec = TaskIn("r0", "wide", kTaskTime);
  spec.steps.front().count = 2;
  racks.cluster.Submit(spec, kTaskTime);
  CHECK(racks.cluster.RunUntilStarted("wide.0.0.1") == "worker1");
  CHECK(racks.cluster.RunUntilStarted("wide.0.0.0") == "worker0");
}

// Guards against gangs, which are placed by a function of their own, that do not wait.
TEST_CASE("a gang waits for the rack of its data") {
  TwoRacks racks(2);
  JobSpec spec = TaskIn("r0", "gang", kTaskTime);
  spec.steps.front().gang = true;
  racks.cluster.Submit(spec, kTaskTime);
  CHECK(racks.cluster.RunUntilStarted("gang.0.0.0") == "worker0");
  CHECK(racks.cluster.scheduler().counters().locality_waits == 1);
}

// Guards against a gang that waits for a rack in which it never fits.
TEST_CASE("a gang that does not fit in the rack of its data does not wait") {
  TwoRacks racks(2);
  JobSpec spec = TaskIn("r0", "gang", kTaskTime);
  spec.steps.front().gang = true;
  spec.steps.front().count = 2;
  racks.cluster.Submit(spec, kTaskTime);
  CHECK_FALSE(racks.cluster.RunUntilStarted("gang.0.0.0").empty());
  CHECK(racks.cluster.scheduler().counters().locality_waits == 0);
}

// Guards against a second step that leaves the rack in which the first step ran.
TEST_CASE("the second step starts where the first step ran") {
  TwoRacks racks(2);
  JobSpec spec = TaskIn("r0", "steps", kTaskTime);
  spec.steps.push_back(spec.steps.front());
  spec.steps.back().after = {0};
  racks.cluster.Submit(spec, kTaskTime);
  CHECK(racks.cluster.RunUntilStarted("steps.0.0.0") == "worker0");
  CHECK(racks.cluster.RunUntilStarted("steps.0.1.0") == "worker0");
}

// Guards against a task that waits on after a change of the owner, although the run in its rack
// exceeds its estimate.
TEST_CASE("a wait is bounded under the next owner") {
  TwoRacks racks(2);
  racks.cluster.Submit(TaskIn("r0", "second", kTaskTime), kTaskTime);
  racks.cluster.Run(Duration(50));
  racks.ReplaceOwner();
  CHECK_FALSE(racks.cluster.RunUntilStarted("second.0.0.0").empty());
}

}  // namespace cranberryplank
