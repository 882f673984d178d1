#include "cranberryplank/scheduler/fleet_division.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <map>
#include <numeric>
#include <string>
#include <vector>

#include "cranberryplank/scheduler/pool_planner.h"

namespace cranberryplank {

namespace {

PoolClaim Claim(int required, int useful, int wanted, int held, int priority = 0) {
  return {required, useful, wanted, held, priority};
}

int Sum(const std::vector<int>& numbers) {
  return std::accumulate(numbers.begin(), numbers.end(), 0);
}

/// A pool whose VMs have 64 cores each.
JobPoolLoad Pool(const std::string& name, int vms) {
  JobPoolLoad load;
  load.pool = name;
  load.vms = vms;
  load.vm_cores = 64;
  load.priority = 0;
  return load;
}

int MovesTo(const std::vector<PoolMove>& moves, const std::string& pool, bool vacate) {
  return static_cast<int>(std::count_if(moves.begin(), moves.end(), [&](const PoolMove& move) {
    return move.to == pool && move.vacate == vacate;
  }));
}

}  // namespace

TEST_CASE("each pool gets what it wants while there are VMs enough") {
  const std::vector<PoolClaim> claims{Claim(10, 80, 90, 20), Claim(12, 30, 30, 40),
                                      Claim(5, 5, 5, 5)};
  CHECK(DivideFleet(200, claims) == std::vector<int>{90, 30, 5});
}

// Guards against the pool with the longest backlog taking nearly all VMs.
TEST_CASE("two pools that both want the whole fleet share it") {
  const std::vector<PoolClaim> claims{Claim(21, 300, 1'500, 280), Claim(19, 320, 320, 25),
                                      Claim(12, 12, 12, 12)};
  const std::vector<int> targets = DivideFleet(349, claims);
  CHECK(Sum(targets) == 349);
  CHECK(targets[2] == 12);
  CHECK(std::abs(targets[0] - targets[1]) <= 3);
}

// Guards against a division that takes VMs from pools whose demand is small.
TEST_CASE("a pool that wants less than its share gets all of it") {
  const std::vector<PoolClaim> claims{Claim(20, 900, 900, 300), Claim(20, 60, 60, 20)};
  CHECK(DivideFleet(300, claims) == std::vector<int>{240, 60});
}

// Guards against VMs for jobs that end too late to have any value, while others could be in time.
TEST_CASE("work that has lost its value gets what is left") {
  const std::vector<PoolClaim> claims{Claim(20, 40, 900, 250), Claim(20, 200, 200, 50)};
  CHECK(DivideFleet(300, claims) == std::vector<int>{100, 200});
}

TEST_CASE("a less urgent pool gets a smaller share, and never less than it requires") {
  const std::vector<PoolClaim> claims{Claim(0, 500, 500, 0, 0), Claim(0, 500, 500, 0, 1)};
  CHECK(DivideFleet(300, claims) == std::vector<int>{200, 100});
  const std::vector<PoolClaim> required{Claim(0, 500, 500, 0, 0), Claim(150, 500, 500, 0, 4)};
  CHECK(DivideFleet(200, required)[1] >= 150);
}

// Guards against moves back and forth because of rounding.
TEST_CASE("VMs that are left over by rounding stay where they are") {
  const std::vector<PoolClaim> first{Claim(0, 100, 100, 4), Claim(0, 100, 100, 3),
                                     Claim(0, 100, 100, 3)};
  CHECK(DivideFleet(10, first) == std::vector<int>{4, 3, 3});
  const std::vector<PoolClaim> last{Claim(0, 100, 100, 3), Claim(0, 100, 100, 3),
                                    Claim(0, 100, 100, 4)};
  CHECK(DivideFleet(10, last) == std::vector<int>{3, 3, 4});
}

// Guards against an overloaded pool that keeps its VMs because none of them is ever idle.
TEST_CASE("busy VMs are vacated for a pool that is far below its share") {
  std::vector<JobPoolLoad> loads{Pool("first", 280), Pool("second", 20)};
  loads[0].running_cores = 14'000;
  loads[0].waiting_cores = 40'000;
  loads[1].waiting_cores = 20'000;
  const std::vector<int> targets = TargetVms(loads);
  const auto moves = PlanMoves(loads, targets, {{"first", {0, 260}}});
  CHECK(MovesTo(moves, "second", true) == targets[1] - 20);
  CHECK(MovesTo(moves, "second", false) == 0);
  // Small differences are not worth the time in which a vacated VM does nothing.
  loads[0].vms = 160;
  loads[1].vms = 140;
  CHECK(PlanMoves(loads, TargetVms(loads), {{"first", {0, 160}}}).empty());
}

// Replays two queues that submit two and a half times their peaks for nine seconds, one a second
// before the other. Guards against a division that swings: each VM that moves is lost for seconds.
TEST_CASE("the shares of two overloaded pools settle without swings") {
  std::vector<JobPoolLoad> loads{Pool("first", 20), Pool("second", 20), Pool("spare", 309)};
  loads[2].standby = true;
  int moves_from_first = 0;
  for (int second = 0; second < 9; ++second) {
    loads[0].running_cores = loads[0].vms * 54.0;
    loads[0].waiting_cores = 15'000.0 * (second + 1);
    loads[1].running_cores = second == 0 ? 0 : loads[1].vms * 54.0;
    loads[1].waiting_cores = 15'000.0 * second;
    const auto moves = PlanMoves(loads, TargetVms(loads),
                                 {{"first", {0, loads[0].vms}},
                                  {"second", {0, loads[1].vms}},
                                  {"spare", {loads[2].vms, 0}}});
    for (const PoolMove& move : moves) {
      for (JobPoolLoad& load : loads) {
        load.vms += (load.pool == move.to ? 1 : 0) - (load.pool == move.from ? 1 : 0);
      }
      moves_from_first += move.from == "first" ? 1 : 0;
      CHECK(move.from != "second");
    }
  }
  CHECK(loads[0].vms + loads[1].vms == 349);
  CHECK(std::abs(loads[0].vms - loads[1].vms) <= 3);
  CHECK(moves_from_first <= 349 / 2);
}

}  // namespace cranberryplank
