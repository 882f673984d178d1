#include "cranberryplank/policy/max_min_share_allocator.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <utility>

namespace cranberryplank {

namespace {

// Smaller differences are floating-point rounding errors.
constexpr double kEpsilon = 1e-9;

// Fractional parts of the golden ratio and of the square root of 2. Their multiples, modulo 1, are
// evenly distributed over [0, 1); two different steps make the rounding of teams independent of
// the rounding of daemons.
constexpr double kTeamStep = 0.6180339887498949;
constexpr double kDaemonStep = 0.4142135623730951;

// Time constant of the shortfall's decay. It equals the window over which shares are measured, so
// that older shortfall is not compensated.
constexpr double kShortfallMemorySeconds = 10.0;

// Bounds of the corrected share relative to the exact one, so that a team that had more than its
// share is not starved in return.
constexpr double kMinCorrectionFactor = 0.25;
constexpr double kMaxCorrectionFactor = 4.0;

double FractionOf(double value) { return value - std::floor(value); }

// Rounds each of `quotas` up or down to a whole number so that they add up to `total`.
std::vector<int> Apportion(std::span<const double> quotas, int total, double start,
                           std::uint64_t rotation, Rounding rounding) {
  const std::size_t count = quotas.size();
  std::vector<int> result(count);
  std::vector<double> remainders(count);
  int missing = total;
  for (std::size_t i = 0; i < count; ++i) {
    result[i] = static_cast<int>(std::floor(quotas[i] + kEpsilon));
    remainders[i] = std::max(0.0, quotas[i] - result[i]);
    missing -= result[i];
  }
  std::vector<std::size_t> order(count);
  for (std::size_t i = 0; i < count; ++i) {
    order[i] = (i + rotation) % count;
  }
  if (rounding == Rounding::kRotatingSum) {
    // Entries at which the running sum crosses a whole number come first.
    std::vector<bool> crossed(count);
    double sum = start;
    for (std::size_t i = 0; i < count; ++i) {
      const double before = std::floor(sum + kEpsilon);
      sum += remainders[i];
      crossed[i] = std::floor(sum + kEpsilon) > before;
    }
    std::stable_partition(order.begin(), order.end(), [&](std::size_t i) { return crossed[i]; });
  } else {
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
      return remainders[a] > remainders[b] + kEpsilon;
    });
  }
  for (std::size_t i = 0; i < count && missing > 0; ++i, --missing) {
    ++result[order[i]];
  }
  return result;
}

double Sum(std::span<const double> values) {
  return std::accumulate(values.begin(), values.end(), 0.0);
}

}  // namespace

std::vector<double> WeightedMaxMin(double capacity, std::span<const TeamShare> teams,
                                   std::span<const double> demand) {
  std::vector<double> wanted(teams.size());
  for (std::size_t i = 0; i < teams.size(); ++i) {
    wanted[i] = std::min(demand[i], static_cast<double>(std::max(0, teams[i].limit)));
  }
  // Teams are processed in ascending order of demand per weight.
  std::vector<std::size_t> order(teams.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return wanted[a] * teams[b].weight < wanted[b] * teams[a].weight;
  });
  double weights = 0;
  for (const TeamShare& team : teams) {
    weights += team.weight;
  }
  std::vector<double> result(teams.size());
  for (const std::size_t i : order) {
    const double share = weights > 0 ? capacity * teams[i].weight / weights : 0;
    result[i] = std::max(0.0, std::min(wanted[i], share));
    capacity -= result[i];
    weights -= teams[i].weight;
  }
  return result;
}

MaxMinShareAllocator::MaxMinShareAllocator(MaxMinSettings settings)
    : m_settings(std::move(settings)) {}

std::vector<double> MaxMinShareAllocator::CorrectForShortfall(TimePoint now, int capacity,
                                                              std::span<const TeamShare> teams,
                                                              const TeamSums& sums,
                                                              std::span<const double> exact,
                                                              PoolShare* share) const {
  std::vector<double> corrected(exact.begin(), exact.end());
  const double seconds = std::min(1.0, std::chrono::duration<double>(now - share->updated).count());
  if (m_settings.correction <= 0 || !share->full) {
    share->shortfall.clear();
    return corrected;
  }
  std::vector<TeamShare> targets(teams.begin(), teams.end());
  for (std::size_t i = 0; i < teams.size(); ++i) {
    double& shortfall = share->shortfall[teams[i].team];
    shortfall *= std::exp(-seconds / kShortfallMemorySeconds);
    shortfall += (exact[i] - sums.running[i]) * seconds;
    targets[i].weight =
        std::clamp(exact[i] + m_settings.correction * shortfall, kMinCorrectionFactor * exact[i],
                   kMaxCorrectionFactor * exact[i]);
  }
  return WeightedMaxMin(capacity, targets, sums.demand);
}

void MaxMinShareAllocator::ComputeEntitlements(const PoolDemand& demand, const TeamSums& sums,
                                               std::span<const double> exact, PoolShare* share) {
  // Slots per unit of weight of the teams whose demand exceeds their share.
  double per_weight = demand.capacity;
  for (std::size_t i = 0; i < demand.teams.size(); ++i) {
    const double wanted = std::min<double>(sums.demand[i], demand.teams[i].limit);
    if (exact[i] + kEpsilon < wanted && demand.teams[i].weight > 0) {
      per_weight = std::min(per_weight, exact[i] / demand.teams[i].weight);
    }
  }
  share->entitlements.clear();
  for (std::size_t i = 0; i < demand.teams.size(); ++i) {
    const TeamShare& team = demand.teams[i];
    Entitlement& entitlement = share->entitlements[team.team];
    entitlement.fair_slots = std::min<double>(per_weight * team.weight, team.limit);
    entitlement.satisfied = exact[i] + kEpsilon >= sums.demand[i];
    for (const auto& [daemon, cell] : share->cells[team.team]) {
      entitlement.running_elsewhere += cell.running;
    }
  }
}

bool MaxMinShareAllocator::BelowShare(const PoolShare& share, const LocalTeam& team) {
  const auto found = share.entitlements.find(team.team);
  return found != share.entitlements.end() && found->second.satisfied &&
         found->second.running_elsewhere + team.running + 1 <= found->second.fair_slots;
}

void MaxMinShareAllocator::Update(TimePoint now, std::uint64_t rotation, std::string_view pool,
                                  const PoolDemand& demand) {
  PoolShare& share = m_pools[std::string(pool)];
  share.cells.clear();
  for (const TeamShare& team : demand.teams) {
    for (const std::string& daemon : demand.daemons) {
      share.cells[team.team][daemon] = Cell{};
    }
  }
  for (const DaemonDemand& report : demand.demand) {
    const auto team = share.cells.find(report.team);
    if (team == share.cells.end()) {
      continue;
    }
    const auto cell = team->second.find(report.daemon);
    if (cell != team->second.end()) {
      cell->second.running += report.running;
      cell->second.waiting += report.waiting;
    }
  }
  ComputePortions(now, rotation, demand, &share);
  share.updated = now;
  for (auto& [team, entitlement] : share.entitlements) {
    const Cell* own = OwnCell(share, team);
    entitlement.running_elsewhere -= own == nullptr ? 0 : own->running;
  }
  share.unmet_elsewhere = 0;
  for (const auto& [team, cells] : share.cells) {
    for (const auto& [daemon, cell] : cells) {
      if (daemon != m_settings.daemon) {
        share.unmet_elsewhere += std::max(0, std::min(cell.waiting, cell.slots - cell.running));
      }
    }
  }
}

void MaxMinShareAllocator::ComputePortions(TimePoint now, std::uint64_t rotation,
                                           const PoolDemand& demand, PoolShare* share) const {
  const std::vector<TeamShare>& teams = demand.teams;
  TeamSums sums;
  double usable = 0;
  double headroom_limit = 0;
  std::vector<double> limits;
  for (const TeamShare& team : teams) {
    double running = 0;
    double total = 0;
    for (const auto& [daemon, cell] : share->cells[team.team]) {
      running += cell.running;
      total += cell.running + cell.waiting;
    }
    sums.running.push_back(running);
    sums.demand.push_back(total);
    limits.push_back(std::max(0, team.limit));
    usable += std::min(total, limits.back());
    headroom_limit += limits.back();
  }
  const std::vector<double> exact = WeightedMaxMin(demand.capacity, teams, sums.demand);
  share->full = usable >= demand.capacity;
  const std::vector<double> target =
      CorrectForShortfall(now, demand.capacity, teams, sums, exact, share);

  ComputeEntitlements(demand, sums, exact, share);

  // Unrequested capacity is assigned as well, so that new work can start at once.
  std::vector<double> open(teams.size());
  for (std::size_t i = 0; i < teams.size(); ++i) {
    open[i] = limits[i] - target[i];
  }
  const double total = std::min<double>(demand.capacity, headroom_limit);
  const std::vector<double> headroom = WeightedMaxMin(total - Sum(target), teams, open);
  std::vector<double> quotas(teams.size());
  for (std::size_t i = 0; i < teams.size(); ++i) {
    quotas[i] = target[i] + headroom[i];
  }
  const auto turn = static_cast<double>(rotation % 1'000'000);
  const std::vector<int> team_slots =
      Apportion(quotas, static_cast<int>(std::lround(total)), FractionOf(turn * kTeamStep),
                rotation, m_settings.rounding);
  for (std::size_t i = 0; i < teams.size(); ++i) {
    auto& cells = share->cells[teams[i].team];
    std::vector<double> parts;
    for (const auto& [daemon, cell] : cells) {
      const double even = 1.0 / static_cast<double>(cells.size());
      const double part =
          sums.demand[i] > 0 ? (cell.running + cell.waiting) / sums.demand[i] : even;
      const double asked = quotas[i] > 0 ? target[i] / quotas[i] : 0.0;
      parts.push_back(team_slots[i] * (asked * part + (1 - asked) * even));
    }
    const double start = FractionOf(turn * kDaemonStep + static_cast<double>(i) * kTeamStep);
    const std::vector<int> slots =
        Apportion(parts, team_slots[i], start, rotation + i, m_settings.rounding);
    std::size_t next = 0;
    for (auto& [daemon, cell] : cells) {
      cell.slots = slots[next++];
    }
  }
}

const MaxMinShareAllocator::Cell* MaxMinShareAllocator::OwnCell(const PoolShare& share,
                                                                std::string_view team) const {
  const auto cells = share.cells.find(team);
  if (cells == share.cells.end()) {
    return nullptr;
  }
  const auto cell = cells->second.find(m_settings.daemon);
  return cell == cells->second.end() ? nullptr : &cell->second;
}

std::optional<TeamChoice> MaxMinShareAllocator::NextTeam(TimePoint /*now*/, std::string_view pool,
                                                         const FreeCapacity& free,
                                                         std::span<const LocalTeam> teams) const {
  const auto share = m_pools.find(pool);
  if (free.slots <= 0 || share == m_pools.end()) {
    return std::nullopt;
  }
  const LocalTeam* best = nullptr;
  int best_deficit = std::numeric_limits<int>::min();
  const LocalTeam* below_share = nullptr;
  for (const LocalTeam& team : teams) {
    const Cell* cell = OwnCell(share->second, team.team);
    if (cell == nullptr || team.waiting == 0 || !team.may_start) {
      continue;
    }
    if (BelowShare(share->second, team) &&
        (below_share == nullptr || team.oldest < below_share->oldest)) {
      below_share = &team;
    }
    const int deficit = cell->slots - team.running;
    if (deficit > best_deficit || (deficit == best_deficit && team.oldest < best->oldest)) {
      best = &team;
      best_deficit = deficit;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  if (m_settings.satisfied_first && below_share != nullptr) {
    return TeamChoice{below_share->team, "asks for less than its share"};
  }
  if (best_deficit > 0) {
    return TeamChoice{best->team, "team is below its portion"};
  }
  if (free.slots > share->second.unmet_elsewhere) {
    return TeamChoice{best->team, "free capacity exceeds the portions of other daemons"};
  }
  if (free.idle_for >= m_settings.borrow_after) {
    return TeamChoice{best->team, "idle capacity reserved for another daemon"};
  }
  return std::nullopt;
}

RouteChoice MaxMinShareAllocator::Route(TimePoint /*now*/, std::string_view pool,
                                        const LocalTeam& local, const FreeCapacity& free,
                                        std::span<const SlotHolder> holders) const {
  if (!local.may_start) {
    const auto most =
        std::max_element(holders.begin(), holders.end(),
                         [](const SlotHolder& a, const SlotHolder& b) { return a.free < b.free; });
    if (most != holders.end() && most->free > 0) {
      return RouteChoice{true, most->daemon, "daemon holds free slots of the team's limit"};
    }
  }
  const auto share = m_pools.find(pool);
  if (share == m_pools.end() || !share->second.full) {
    return RouteChoice{false, "", "pool is not full"};
  }
  const Cell* own = OwnCell(share->second, local.team);
  if (own == nullptr || own->slots > 0 || local.running > 0) {
    return RouteChoice{false, "", "team has a portion on this daemon"};
  }
  if (free.slots > share->second.unmet_elsewhere) {
    return RouteChoice{false, "", "free capacity exceeds the portions of other daemons"};
  }
  const auto& cells = share->second.cells.find(local.team)->second;
  const auto largest = std::max_element(
      cells.begin(), cells.end(),
      [](const auto& a, const auto& b) { return a.second.slots < b.second.slots; });
  if (largest->second.slots == 0) {
    return RouteChoice{false, "", "no daemon has a portion for the team"};
  }
  return RouteChoice{true, largest->first, "portion on this daemon is below one slot"};
}

std::vector<Portion> MaxMinShareAllocator::Portions(std::string_view pool) const {
  std::vector<Portion> portions;
  const auto share = m_pools.find(pool);
  if (share == m_pools.end()) {
    return portions;
  }
  for (const auto& [team, cells] : share->second.cells) {
    for (const auto& [daemon, cell] : cells) {
      portions.push_back(Portion{daemon, team, cell.slots});
    }
  }
  return portions;
}

int MaxMinShareAllocator::OwnPortion(std::string_view pool, std::string_view team) const {
  const auto share = m_pools.find(pool);
  const Cell* cell = share == m_pools.end() ? nullptr : OwnCell(share->second, team);
  return cell == nullptr ? 0 : cell->slots;
}

}  // namespace cranberryplank
