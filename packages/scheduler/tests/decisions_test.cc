#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <utility>

#include "cranberryplank/scheduler/change_choice.h"
#include "cranberryplank/scheduler/cluster_config.h"
#include "cranberryplank/scheduler/job_order.h"
#include "cranberryplank/scheduler/placement.h"
#include "cranberryplank/scheduler/pool_planner.h"
#include "cranberryplank/scheduler/run_watch.h"
#include "cranberryplank/scheduler/start_limit.h"
#include "cranberryplank/scheduler/upkeep_planner.h"
#include "cranberryplank/scheduler/worker_table.h"

namespace cranberryplank {

namespace {

constexpr TimePoint kNow{std::chrono::seconds(100)};

OrderInput InputOf(std::uint64_t serial, Duration due_ago, Duration chain) {
  OrderInput input;
  input.serial = serial;
  input.due = kNow - due_ago;
  input.objective = Duration(2'000);
  input.remaining_chain = chain;
  return input;
}

WorkerCandidate Candidate(std::string_view id, std::int64_t used_cpu) {
  WorkerCandidate candidate;
  candidate.id = id;
  candidate.capacity = {64'000, 128'000, 0};
  candidate.free = {64'000 - used_cpu, 128'000, 0};
  return candidate;
}

StepSpec Step(std::int64_t cpu) {
  StepSpec step;
  step.count = 1;
  step.per_task = {cpu, 1'000, 0};
  return step;
}

JobPoolLoad Load(const std::string& pool, int vms) {
  JobPoolLoad load;
  load.pool = pool;
  load.vms = vms;
  load.vm_cores = 64;
  return load;
}

}  // namespace

// Guards against ordering by arrival, which lets work that is too late delay work that can still
// meet its objective.
TEST_CASE("work that can meet its objective goes before work that can not") {
  const OrderKey late = OrderOf(InputOf(1, Duration(1'900), Duration(800)), kNow);
  const OrderKey soon = OrderOf(InputOf(2, Duration(1'000), Duration(800)), kNow);
  const OrderKey fresh = OrderOf(InputOf(3, Duration(0), Duration(800)), kNow);
  CHECK(soon < fresh);
  CHECK(fresh < late);
}

// Guards against a full pool in which all work begins at the last moment and ends just too late. In
// the worst second only 28 of 445 jobs were in time.
TEST_CASE("work that has not begun needs time to spare") {
  OrderInput tight = InputOf(1, Duration(900), Duration(1'000));
  tight.remaining_steps = 2;
  const OrderInput roomy = InputOf(2, Duration(0), Duration(1'000));
  CHECK(OrderOf(roomy, kNow) < OrderOf(tight, kNow));
  tight.begun = true;
  CHECK(OrderOf(tight, kNow) < OrderOf(roomy, kNow));
  // Guards against an overloaded owner that begins work which its own delay makes late.
  OrderInput delayed = InputOf(2, Duration(500), Duration(1'000));
  delayed.remaining_steps = 2;
  CHECK(OrderOf(delayed, kNow) < OrderOf(roomy, kNow));
  delayed.step_delay = Duration(150);
  CHECK(OrderOf(roomy, kNow) < OrderOf(delayed, kNow));
}

// Guards against a customer that submits more than its share and delays the others.
TEST_CASE("work beyond a customer's share comes after guaranteed work") {
  OrderInput excess = InputOf(1, Duration(1'000), Duration(100));
  excess.over_share = true;
  const OrderKey guaranteed = OrderOf(InputOf(2, Duration(5'000), Duration(800)), kNow);
  CHECK(guaranteed < OrderOf(excess, kNow));
}

// Guards against spreading tasks over all VMs. No VM then becomes idle, and none can be moved when
// demand shifts.
TEST_CASE("a task goes to the fullest worker that fits") {
  const std::vector<WorkerCandidate> candidates{Candidate("a", 10'000), Candidate("b", 50'000),
                                                Candidate("c", 62'000)};
  CHECK(ChoosePlacement(candidates, Step(4'000), "") == 1);
  CHECK(ChoosePlacement(candidates, Step(60'000), "") == -1);
}

// Guards against starts that fail repeatedly on a worker that fails every task.
TEST_CASE("a suspect worker is taken only if no other fits") {
  std::vector<WorkerCandidate> candidates{Candidate("a", 10'000), Candidate("b", 50'000)};
  candidates[1].suspect = true;
  CHECK(ChoosePlacement(candidates, Step(4'000), "") == 0);
  candidates[0].failed_task = true;
  CHECK(ChoosePlacement(candidates, Step(4'000), "") == 1);
}

// Guards against best-effort tasks that slow down tasks which serve users.
TEST_CASE("best-effort tasks and serving tasks are kept apart") {
  std::vector<WorkerCandidate> candidates{Candidate("a", 50'000), Candidate("b", 10'000)};
  candidates[0].serving_runs = 1;
  StepSpec best_effort = Step(4'000);
  best_effort.uses_leftover_cpu = true;
  CHECK(ChoosePlacement(candidates, best_effort, "") == 1);
}

TEST_CASE("at most the configured number of a step's tasks share a worker") {
  std::vector<WorkerCandidate> candidates{Candidate("a", 0)};
  candidates[0].runs_of_step = 2;
  StepSpec step = Step(1'000);
  step.max_per_vm = 2;
  CHECK(ChoosePlacement(candidates, step, "") == -1);
}

// Guards against a load peak in a small pool while the VMs of the previous peak's pool are idle.
TEST_CASE("idle VMs go to the pool that is short, then to standby") {
  std::vector<JobPoolLoad> loads{Load("busy", 10), Load("idle", 12), Load("spare", 8)};
  loads[0].running_cores = 600;
  loads[0].waiting_cores = 400;
  loads[2].standby = true;
  const auto moves = PlanMoves(loads, TargetVms(loads), {{"idle", {12, 0}}, {"spare", {8, 0}}});
  int to_busy = 0;
  int to_standby = 0;
  for (const PoolMove& move : moves) {
    to_busy += move.to == "busy" ? 1 : 0;
    to_standby += move.to == "spare" ? 1 : 0;
  }
  CHECK(to_busy == WantedVms(loads[0]) - loads[0].vms);
  CHECK(to_standby + to_busy >= 12 - WantedVms(loads[1]));
}

// Guards against reserving VMs for later steps that can not start yet.
TEST_CASE("a pool wants VMs for what runs, waits or arrives") {
  JobPoolLoad load = Load("pool", 10);
  const int idle = WantedVms(load);
  load.backlog_core_s = 5'000;
  CHECK(WantedVms(load) == idle);
  load.arriving_cores = 640;
  CHECK(WantedVms(load) > idle + 9);
  load.long_running_vms = 100;
  CHECK(WantedVms(load) == 100);
}

TEST_CASE("the arrival rate follows a load peak within a second") {
  ArrivalRate rate;
  TimePoint now = kNow;
  for (int i = 0; i < 20; ++i) {
    now += Duration(50);
    rate.Add(now, 50);  // 1,000 cores
  }
  CHECK(rate.Current(now) > 600);
  CHECK(rate.Current(now + Duration(4'000)) < 20);
}

// Guards against a wave that shuts down more VMs at once than the operators allow, or that ends
// late.
TEST_CASE("a wave keeps its limit and takes idle VMs before busy ones") {
  std::vector<UpkeepCandidate> candidates;
  for (int i = 0; i < 10; ++i) {
    UpkeepCandidate candidate;
    candidate.vm = std::string(1, static_cast<char>('a' + i));
    candidate.runs = i < 5 ? 3 : 0;
    candidate.pool_size = 20;
    candidates.push_back(candidate);
  }
  UpkeepWaveState wave;
  wave.max_at_once = 3;
  wave.remaining = 10;
  wave.time_left = Duration(5'000);
  CHECK(ChooseUpkeep(wave, candidates) == std::vector<std::string>{"f", "g", "h"});
  wave.unavailable = 3;
  CHECK(ChooseUpkeep(wave, candidates).empty());
}

// Guards against a wave that ends late because the VMs that take longest begin last. In the
// incidents inc-5d99 and inc-8243 one VM each was left when the wave had to end.
TEST_CASE("upkeep begins with VMs that run long-running tasks") {
  std::vector<UpkeepCandidate> candidates(2);
  candidates[0].vm = "idle";
  candidates[1].vm = "long";
  candidates[1].long_running = 4;
  candidates[0].pool_size = candidates[1].pool_size = 10;
  UpkeepWaveState wave;
  wave.max_at_once = 1;
  wave.remaining = 2;
  wave.time_left = Duration(20'000);
  CHECK(ChooseUpkeep(wave, candidates) == std::vector<std::string>{"long"});
}

TEST_CASE("the longest prefix on the host selects the queue") {
  ClusterConfig config;
  QueueConfig outer;
  outer.name = "outer";
  outer.host = "a.example";
  outer.path_prefix = "/x/";
  QueueConfig inner = outer;
  inner.name = "inner";
  inner.path_prefix = "/x/y/";
  config.queues = {outer, inner};
  CHECK(config.Route("a.example", "/x/y/1")->name == "inner");
  CHECK(config.Route("a.example", "/x/z")->name == "outer");
  CHECK(config.Route("b.example", "/x/z") == nullptr);
}

// Guards against jobs that wait for a worker whose tasks stall while its health check passes.
TEST_CASE("a run that stalls or is too slow is restarted on another worker") {
  RunProgress progress;
  progress.estimate = Duration(800);
  progress.elapsed = Duration(1'500);
  progress.since_progress = Duration(1'500);
  CHECK_FALSE(IsStraggler(progress));
  progress.elapsed = progress.since_progress = Duration(2'400);
  CHECK(IsStraggler(progress));
  // A run that only takes longer than its estimate continues.
  progress.percent = 70;
  progress.since_progress = Duration(300);
  CHECK_FALSE(IsStraggler(progress));
  progress.percent = 20;
  CHECK(IsStraggler(progress));
}

// Guards against best-effort tasks that keep the latency of serving tasks above its target.
TEST_CASE("best-effort runs stop before a serving task reaches its target, and speed up slowly") {
  CHECK(NextBestEffortSpeed(0.9, 100) == 0);
  CHECK(NextBestEffortSpeed(0.6, 0) == 0);
  CHECK(NextBestEffortSpeed(0.3, 0) == 20);
  CHECK(NextBestEffortSpeed(0.0, 100) == 100);
}

// Guards against submissions that wait behind the progress of running jobs: with a few thousand
// ended runs per second, callers waited over a second for their reply.
TEST_CASE("new and ended jobs are stored before progress, which keeps a part of the room") {
  std::vector<PendingChange> pending(40);
  pending[38] = {2, true};
  pending[39] = {1, true};
  const std::vector<std::size_t> chosen = ChooseChanges(pending, 29);
  REQUIRE(chosen.size() == 28);
  CHECK(chosen[25] == 25);
  CHECK(chosen[26] == 38);
  CHECK(chosen[27] == 39);

  std::vector<PendingChange> awaited(40, {1, true});
  awaited[39] = {1, false};
  CHECK(ChooseChanges(awaited, 29).back() == 39);
  std::vector<PendingChange> mixed(40, {1, true});
  mixed.insert(mixed.end(), 40, {1, false});
  const std::vector<std::size_t> both = ChooseChanges(mixed, 29);
  CHECK(both.size() == 29);
  CHECK(std::count_if(both.begin(), both.end(), [](std::size_t i) { return i >= 40; }) == 7);
  CHECK(ChooseChanges({}, 29).empty());
}

// Guards against progress that waits for seconds while jobs come and end faster than the store
// accepts: until it is stored, only a worker knows of the ended runs.
TEST_CASE("progress that has waited too long goes before new and ended jobs") {
  std::vector<PendingChange> pending(40, {1, true});
  pending[39] = {1, false, Duration(2'000)};
  CHECK(ChooseChanges(pending, 4).back() == 39);
  CHECK(ChooseChanges(pending, 1) == std::vector<std::size_t>{39});
}

// Guards against leaving progress behind that takes no room, because all of it shares one entry.
TEST_CASE("progress without entries of its own is always chosen") {
  std::vector<PendingChange> pending(10, {1, true});
  pending.insert(pending.end(), 500, {0, false});
  CHECK(ChooseChanges(pending, 4).size() == 504);
}

TEST_CASE("starts slow down while the storing of ends is behind") {
  const auto starts = [](Duration oldest, Duration transaction, bool failing) {
    return StartsAllowed({oldest, transaction, 10.0, failing});
  };
  constexpr Duration kFast{5};
  CHECK(starts(Duration(200), kFast, false) == starts(Duration(0), kFast, false));
  CHECK(starts(Duration(800), kFast, false) < starts(Duration(0), kFast, false));
  CHECK(starts(Duration(3'000), kFast, false) < starts(Duration(800), kFast, false));
  CHECK(starts(Duration(3'000), kFast, false) > 0);
  CHECK(starts(Duration(5'000), kFast, false) == 0);
  // A store that is slow or does not answer shows no overload.
  CHECK(starts(Duration(700), Duration(350), false) == starts(Duration(0), kFast, false));
  CHECK(starts(Duration(5'000), kFast, true) == starts(Duration(0), kFast, false));
}

// Replays demand of three times what the store can carry, with tasks of 0.8 s. Guards against a
// backlog of ends that grows for as long as the demand lasts, and against throttling so much that
// the store has nothing to do.
TEST_CASE("under three times the load the backlog of ends is bounded and the store stays busy") {
  constexpr Duration kPass{10};
  constexpr Duration kRunTime{800};
  constexpr int kDemand = 30;  // Starts per pass.
  constexpr int kStored = 10;  // Ends stored per pass.
  constexpr double kAveragedPasses = 50;
  std::deque<std::pair<Duration, int>> running;
  std::deque<Duration> unstored;
  int stored = 0;
  double ends_per_pass = 0;
  Duration oldest_seen{0};
  const Duration end{30'000};
  for (Duration now{0}; now < end; now += kPass) {
    while (!running.empty() && running.front().first <= now) {
      unstored.insert(unstored.end(), static_cast<std::size_t>(running.front().second), now);
      running.pop_front();
    }
    const int stored_now = std::min(kStored, static_cast<int>(unstored.size()));
    unstored.erase(unstored.begin(), unstored.begin() + stored_now);
    stored += stored_now;
    ends_per_pass += (stored_now - ends_per_pass) / kAveragedPasses;
    const Duration oldest = unstored.empty() ? Duration(0) : now - unstored.front();
    oldest_seen = std::max(oldest_seen, oldest);
    running.emplace_back(now + kRunTime,
                         std::min(kDemand, StartsAllowed({oldest, kPass, ends_per_pass, false})));
  }
  CHECK(oldest_seen <= Duration(3'000));
  CHECK(stored >= 0.95 * kStored * static_cast<double>((end - kRunTime) / kPass));
}

TEST_CASE("lease renewals of idle workers stay within a rate") {
  CHECK(IdleRenewalPause(49, Duration(1'000)) == Duration(0));
  CHECK(IdleRenewalPause(300, Duration(1'000)) == Duration(0));
  CHECK(IdleRenewalPause(3'000, Duration(1'000)) == Duration(9'000));
}

}  // namespace cranberryplank
