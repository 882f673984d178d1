#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cranberryplank/model/random.h"
#include "cranberryplank/policy/batch_wave_planner.h"
#include "cranberryplank/policy/budget_wave_planner.h"
#include "cranberryplank/policy/follow_demand_move_planner.h"
#include "cranberryplank/policy/one_at_a_time_wave_planner.h"
#include "cranberryplank/policy/shortage_move_planner.h"

namespace cranberryplank {
namespace {

TimePoint At(int seconds) { return TimePoint(std::chrono::seconds(seconds)); }

PoolLoad MakePool(const std::string& name, int vms, bool spare = false) {
  PoolLoad load;
  load.pool = Pool{name, AvailabilityBudget{2, 1, 2}, spare};
  for (int i = 0; i < vms; ++i) {
    MovableVm vm;
    vm.id = name + "-" + std::to_string(i);
    vm.slots = 8;
    vm.running = i % 8;
    load.vms.push_back(vm);
  }
  return load;
}

// Plans with a growing backlog, once a second for at most `seconds`, until moves are planned.
// Returns the last plan.
std::vector<PlannedMove> PlanPeak(MovePlanner* planner, std::vector<PoolLoad> pools, int seconds) {
  std::vector<PlannedMove> moves;
  for (int second = 0; second < seconds; ++second) {
    pools[0].running = 80;
    pools[0].waiting = 60 * second;
    moves = planner->Plan(At(second), pools);
    if (!moves.empty()) {
      break;
    }
  }
  return moves;
}

// Guards against moves caused by noise. A single reading above the capacity is not a shortage.
TEST_CASE("VMs move only when a shortage lasts") {
  std::vector<PoolLoad> pools{MakePool("busy", 10), MakePool("spare", 10, true)};
  ShortageMovePlanner planner{ShortageMoveSettings{}};
  planner.Plan(At(0), pools);
  pools[0].running = 80;
  pools[0].waiting = 60;
  CHECK(planner.Plan(At(1), pools).empty());
  FollowDemandMovePlanner follow;
  CHECK(follow.Plan(At(1), pools).size() == 7);
}

// Guards against a delay between the prediction of late work and the move. With a delay of one
// second a fleet needed one more VM to serve the same work in time.
TEST_CASE("VMs move as soon as late work is predicted") {
  ShortageMovePlanner planner{ShortageMoveSettings{}};
  std::vector<PoolLoad> pools{MakePool("busy", 10), MakePool("spare", 20, true)};
  pools[0].allowed_wait = Duration(10'000);
  pools[0].running = 80;
  REQUIRE(planner.Plan(At(0), pools).empty());
  pools[0].waiting = 40;
  CHECK_FALSE(planner.Plan(At(1), pools).empty());
}

// Guards against taking VMs from a pool with its own queue while the spare pool has VMs left, and
// against long drains.
TEST_CASE("VMs come from the spare pool first, those with fewest tasks first") {
  ShortageMovePlanner planner{ShortageMoveSettings{}};
  const auto moves = PlanPeak(
      &planner, {MakePool("busy", 10), MakePool("idle", 10), MakePool("spare", 10, true)}, 9);
  REQUIRE_FALSE(moves.empty());
  CHECK(moves.front().from == "spare");
  CHECK(moves.front().to == "busy");
  CHECK((moves.front().vm == "spare-0" || moves.front().vm == "spare-8"));
  CHECK_FALSE(moves.front().reason.empty());
}

// Guards against a donor that falls below its own demand or availability budget, and against a VM
// that appears twice in one plan.
TEST_CASE("no plan takes VMs that a pool's own demand and budget need") {
  SeededRandom random(21);
  for (int run = 0; run < 60; ++run) {
    ShortageMovePlanner planner{ShortageMoveSettings{}};
    std::vector<PoolLoad> pools;
    pools.reserve(4);
    for (int p = 0; p < 4; ++p) {
      pools.push_back(
          MakePool("pool-" + std::to_string(p), 1 + static_cast<int>(random.Below(12)), p == 3));
    }
    for (int second = 0; second < 40; ++second) {
      for (PoolLoad& load : pools) {
        const int slots = static_cast<int>(load.vms.size()) * 8;
        load.running = static_cast<int>(random.Below(slots + 1));
        load.waiting = load.running == slots ? static_cast<int>(random.Below(300)) : 0;
      }
      pools[0].running = static_cast<int>(pools[0].vms.size()) * 8;
      pools[0].waiting = 30 * second;
      std::map<std::string, int> given;
      std::set<std::string> moved;
      for (const PlannedMove& move : planner.Plan(At(second), pools)) {
        REQUIRE(move.from != move.to);
        REQUIRE(moved.insert(move.vm).second);
        ++given[move.from];
      }
      for (const PoolLoad& load : pools) {
        const int left = static_cast<int>(load.vms.size()) - given[load.pool.name];
        if (given[load.pool.name] > 0) {
          REQUIRE(left > load.pool.budget.per_pool);
          REQUIRE(left * 8 >= load.running + load.waiting);
        }
      }
    }
  }
}

// Guards against planning more moves than needed while VMs are already moving.
TEST_CASE("moving VMs count as capacity of their target pool") {
  std::vector<PoolLoad> pools{MakePool("busy", 10), MakePool("spare", 20, true)};
  FollowDemandMovePlanner follow;
  pools[0].running = 80;
  pools[0].waiting = 16;
  REQUIRE(follow.Plan(At(0), pools).size() == 2);
  pools[1].vms[0].target_pool = "busy";
  pools[1].vms[1].target_pool = "busy";
  CHECK(follow.Plan(At(1), pools).empty());
}

WaveState RandomWave(RandomSource& random) {
  WaveState state;
  state.budget = AvailabilityBudget{1 + static_cast<int>(random.Below(5)),
                                    1 + static_cast<int>(random.Below(2)),
                                    1 + static_cast<int>(random.Below(3))};
  state.reboot = Duration(60'000);
  for (int i = 0; i < 20; ++i) {
    const auto rack = random.Below(6);
    state.pending.push_back(WaveVm{"vm-" + std::to_string(i), "zone-" + std::to_string(rack % 3),
                                   "rack-" + std::to_string(rack), Duration(random.Below(30'000))});
  }
  return state;
}

bool WithinBudget(const WaveState& state) {
  std::map<std::string, int> racks;
  std::map<std::string, int> zones;
  bool within = static_cast<int>(state.down.size()) <= state.budget.per_pool;
  for (const WaveVm& vm : state.down) {
    within = within && ++racks[vm.rack] <= state.budget.per_rack &&
             ++zones[vm.zone] <= state.budget.per_zone;
  }
  return within;
}

void TakeDown(const std::string& id, WaveState* state) {
  const auto vm = std::find_if(state->pending.begin(), state->pending.end(),
                               [&](const WaveVm& pending) { return pending.id == id; });
  REQUIRE(vm != state->pending.end());
  state->down.push_back(*vm);
  state->pending.erase(vm);
}

// Guards against a wave that takes down more VMs than a budget allows, that leaves a budget unused
// or that never ends.
TEST_CASE("no wave exceeds a budget and every wave ends") {
  const BudgetWavePlanner longest(WaveOrder::kLongestDrain);
  const BudgetWavePlanner tightest(WaveOrder::kTightestBudget);
  const OneAtATimeWavePlanner one;
  const BatchWavePlanner batch;
  SeededRandom random(31);
  for (const WavePlanner* planner :
       std::initializer_list<const WavePlanner*>{&longest, &tightest, &one, &batch}) {
    for (int run = 0; run < 100; ++run) {
      WaveState state = RandomWave(random);
      int steps = 0;
      while (!state.pending.empty() && ++steps < 100) {
        for (const std::string& id : planner->Next(state)) {
          TakeDown(id, &state);
        }
        REQUIRE(WithinBudget(state));
        REQUIRE_FALSE(state.down.empty());
        state.down.erase(state.down.begin() +
                         static_cast<std::ptrdiff_t>(random.Below(state.down.size())));
      }
      REQUIRE(state.pending.empty());
    }
  }
}

// Guards against a wave that ignores failed VMs. VMs that are already down count against the
// budget.
TEST_CASE("a VM that is down for another reason counts against the budgets of a wave") {
  WaveState state;
  state.budget = AvailabilityBudget{2, 1, 2};
  state.pending = {WaveVm{"a", "z1", "r1", Duration(5)}, WaveVm{"b", "z1", "r2", Duration(9)},
                   WaveVm{"c", "z2", "r3", Duration(7)}};
  state.down = {WaveVm{"failed", "z1", "r2", Duration(0)}};
  const auto next = BudgetWavePlanner(WaveOrder::kLongestDrain).Next(state);
  CHECK(next == std::vector<std::string>{"c"});
}

// Guards against a value that is not a lower bound and would hide a slow planner.
TEST_CASE("the bound covers pool, rack, zone and the longest VM") {
  const std::vector<WaveVm> vms{WaveVm{"a", "z1", "r1", Duration(10)},
                                WaveVm{"b", "z1", "r1", Duration(20)},
                                WaveVm{"c", "z2", "r2", Duration(30)}};
  CHECK(WaveDurationLowerBound(AvailabilityBudget{3, 2, 3}, vms, Duration(5)) == Duration(35));
  CHECK(WaveDurationLowerBound(AvailabilityBudget{3, 1, 3}, vms, Duration(5)) == Duration(40));
  CHECK(WaveDurationLowerBound(AvailabilityBudget{1, 1, 1}, vms, Duration(5)) == Duration(75));
}

}  // namespace
}  // namespace cranberryplank
