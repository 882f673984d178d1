#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <numeric>
#include <string>
#include <vector>

#include "cranberryplank/model/random.h"
#include "cranberryplank/policy/fifo_share_allocator.h"
#include "cranberryplank/policy/local_share_allocator.h"
#include "cranberryplank/policy/max_min_share_allocator.h"

namespace cranberryplank {
namespace {

TimePoint At(int ms) { return TimePoint(Duration(ms)); }

MaxMinSettings SettingsOf(const std::string& daemon, Rounding rounding) {
  MaxMinSettings settings;
  settings.daemon = daemon;
  settings.rounding = rounding;
  return settings;
}

PoolDemand RandomDemand(RandomSource& random) {
  PoolDemand demand;
  demand.capacity = static_cast<int>(random.Below(200));
  const auto daemons = 1 + random.Below(9);
  const auto teams = 1 + random.Below(8);
  for (std::uint64_t d = 0; d < daemons; ++d) {
    demand.daemons.push_back("daemon-" + std::to_string(d));
  }
  for (std::uint64_t t = 0; t < teams; ++t) {
    const std::string team = "team-" + std::to_string(t);
    demand.teams.push_back(
        TeamShare{team, 0.1 + 5 * random.Fraction(), static_cast<int>(random.Below(90))});
    for (const std::string& daemon : demand.daemons) {
      if (random.Below(3) > 0) {
        demand.demand.push_back(DaemonDemand{daemon, team, static_cast<int>(random.Below(10)),
                                             static_cast<int>(random.Below(40))});
      }
    }
  }
  return demand;
}

// Guards against portions that exceed or underuse the pool, exceed a team's limit, or differ
// between daemons.
TEST_CASE(
    "portions add up to the capacity or to the sum of the limits, whichever is smaller, and never "
    "exceed a limit") {
  const Rounding rounding = GENERATE(Rounding::kLargestRemainder, Rounding::kRotatingSum);
  SeededRandom random(11);
  MaxMinShareAllocator one(SettingsOf("daemon-0", rounding));
  MaxMinShareAllocator two(SettingsOf("daemon-1", rounding));
  for (int round = 0; round < 500; ++round) {
    const PoolDemand demand = RandomDemand(random);
    one.Update(At(round * 200), round, "pool", demand);
    two.Update(At(round * 200), round, "pool", demand);
    int limits = 0;
    std::map<std::string, int> limit_of;
    for (const TeamShare& team : demand.teams) {
      limits += team.limit;
      limit_of[team.team] = team.limit;
    }
    int sum = 0;
    std::map<std::string, int> by_team;
    for (const Portion& portion : one.Portions("pool")) {
      REQUIRE(portion.slots >= 0);
      sum += portion.slots;
      by_team[portion.team] += portion.slots;
    }
    REQUIRE(sum == std::min(demand.capacity, limits));
    for (const auto& [team, slots] : by_team) {
      REQUIRE(slots <= limit_of[team]);
    }
    const auto other = two.Portions("pool");
    const auto own = one.Portions("pool");
    for (std::size_t i = 0; i < own.size(); ++i) {
      REQUIRE(own[i].slots == other[i].slots);
    }
  }
}

// Guards against an allocation that gives a team more than its demand, or less than its share
// while another team gets more per weight.
TEST_CASE("the allocation is max-min fair for any demand") {
  SeededRandom random(12);
  for (int round = 0; round < 500; ++round) {
    std::vector<TeamShare> teams;
    std::vector<double> demand;
    for (int t = 0; t < 6; ++t) {
      teams.push_back(TeamShare{"t", 0.5 + random.Fraction(), 1000});
      demand.push_back(static_cast<double>(random.Below(60)));
    }
    const std::vector<double> shares = WeightedMaxMin(80, teams, demand);
    const double wanted = std::accumulate(demand.begin(), demand.end(), 0.0);
    CHECK(std::accumulate(shares.begin(), shares.end(), 0.0) == Approx(std::min(80.0, wanted)));
    for (std::size_t i = 0; i < teams.size(); ++i) {
      REQUIRE(shares[i] <= demand[i] + 1e-9);
      for (std::size_t j = 0; j < teams.size(); ++j) {
        const bool short_of_demand = shares[i] < demand[i] - 1e-6;
        REQUIRE((!short_of_demand ||
                 shares[j] / teams[j].weight <= shares[i] / teams[i].weight + 1e-6));
      }
    }
  }
}

// Guards against a daemon or a team whose fraction of a slot is always rounded down.
TEST_CASE("no team and no daemon starves while fractions of slots are rounded") {
  const Rounding rounding = GENERATE(Rounding::kLargestRemainder, Rounding::kRotatingSum);
  MaxMinShareAllocator allocator(SettingsOf("daemon-0", rounding));
  PoolDemand demand;
  demand.capacity = 8;
  std::map<std::string, int> slots;
  for (int d = 0; d < 9; ++d) {
    demand.daemons.push_back("daemon-" + std::to_string(d));
  }
  for (int t = 0; t < 6; ++t) {
    const std::string team = "team-" + std::to_string(t);
    demand.teams.push_back(TeamShare{team, 1.0, 100});
    for (const std::string& daemon : demand.daemons) {
      demand.demand.push_back(DaemonDemand{daemon, team, 0, 5});
    }
  }
  for (int rotation = 0; rotation < 400; ++rotation) {
    allocator.Update(At(0), rotation, "pool", demand);
    for (const Portion& portion : allocator.Portions("pool")) {
      slots[portion.team] += portion.slots;
      slots[portion.daemon] += portion.slots;
    }
  }
  for (const auto& [name, sum] : slots) {
    const double fair = 400.0 * 8 / (name.starts_with("team") ? 6 : 9);
    CHECK(sum == Approx(fair).epsilon(0.25));
  }
}

// Guards against slots that stay idle while requests wait, and against using slots that other
// daemons claim and that have become idle only recently.
TEST_CASE("a daemon exceeds its portion only with unclaimed slots or slots idle for long") {
  MaxMinShareAllocator allocator(SettingsOf("daemon-0", Rounding::kLargestRemainder));
  PoolDemand demand;
  demand.capacity = 4;
  demand.daemons = {"daemon-0", "daemon-1"};
  demand.teams = {TeamShare{"a", 1, 10}};
  demand.demand = {DaemonDemand{"daemon-0", "a", 2, 2}, DaemonDemand{"daemon-1", "a", 0, 4}};
  allocator.Update(At(0), 0, "pool", demand);
  REQUIRE(allocator.OwnPortion("pool", "a") == 2);
  const std::vector<LocalTeam> teams{LocalTeam{"a", 2, 2, true, At(0)}};
  CHECK_FALSE(allocator.NextTeam(At(1), "pool", FreeCapacity{2, Duration(0)}, teams).has_value());
  CHECK(allocator.NextTeam(At(1), "pool", FreeCapacity{3, Duration(0)}, teams)->team == "a");
  CHECK(allocator.NextTeam(At(1), "pool", FreeCapacity{2, Duration(400)}, teams)->team == "a");
  CHECK_FALSE(allocator.NextTeam(At(1), "pool", FreeCapacity{0, Duration(900)}, teams).has_value());
}

// Guards against a request waiting on a daemon that cannot start it although another daemon can.
TEST_CASE("a request is forwarded to a daemon with a portion or a free slot for its team") {
  MaxMinShareAllocator allocator(SettingsOf("daemon-0", Rounding::kLargestRemainder));
  PoolDemand demand;
  demand.capacity = 2;
  demand.daemons = {"daemon-0", "daemon-1"};
  demand.teams = {TeamShare{"a", 1, 10}};
  demand.demand = {DaemonDemand{"daemon-1", "a", 2, 90}};
  allocator.Update(At(0), 0, "pool", demand);
  const FreeCapacity none{0, Duration(0)};
  const RouteChoice full =
      allocator.Route(At(0), "pool", LocalTeam{"a", 0, 0, true, At(0)}, none, {});
  CHECK((full.forward && full.daemon == "daemon-1"));
  const std::vector<SlotHolder> holders{{"daemon-2", 1}, {"daemon-3", 4}};
  const RouteChoice limited =
      allocator.Route(At(0), "pool", LocalTeam{"a", 1, 0, false, At(0)}, none, holders);
  CHECK((limited.forward && limited.daemon == "daemon-3"));
  demand.demand.clear();
  allocator.Update(At(200), 0, "pool", demand);
  CHECK_FALSE(
      allocator.Route(At(200), "pool", LocalTeam{"a", 0, 0, true, At(0)}, none, {}).forward);
}

// Checks the order in which the two baselines (FIFO and local weights) choose teams.
TEST_CASE("the FIFO allocator follows arrival order and the local one follows local weights") {
  const std::vector<LocalTeam> teams{LocalTeam{"a", 1, 1, true, At(1)},
                                     LocalTeam{"b", 3, 1, true, At(2)},
                                     LocalTeam{"c", 0, 1, false, At(0)}};
  PoolDemand demand;
  demand.teams = {TeamShare{"a", 1, 10}, TeamShare{"b", 4, 10}, TeamShare{"c", 1, 10}};
  LocalShareAllocator local;
  local.Update(At(0), 0, "pool", demand);
  const FreeCapacity free{1, Duration(0)};
  CHECK(FifoShareAllocator().NextTeam(At(3), "pool", free, teams)->team == "a");
  CHECK(local.NextTeam(At(3), "pool", free, teams)->team == "b");
}

}  // namespace
}  // namespace cranberryplank
