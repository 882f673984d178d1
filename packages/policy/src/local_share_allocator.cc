#include "cranberryplank/policy/local_share_allocator.h"

namespace cranberryplank {

void LocalShareAllocator::Update(TimePoint /*now*/, std::uint64_t /*rotation*/,
                                 std::string_view /*pool*/, const PoolDemand& demand) {
  for (const TeamShare& team : demand.teams) {
    m_weights[team.team] = team.weight;
  }
}

std::optional<TeamChoice> LocalShareAllocator::NextTeam(TimePoint /*now*/,
                                                        std::string_view /*pool*/,
                                                        const FreeCapacity& free,
                                                        std::span<const LocalTeam> teams) const {
  const LocalTeam* best = nullptr;
  double best_use = 0;
  for (const LocalTeam& team : teams) {
    const auto weight = m_weights.find(team.team);
    if (team.waiting == 0 || !team.may_start || weight == m_weights.end() || weight->second <= 0) {
      continue;
    }
    const double use = team.running / weight->second;
    if (best == nullptr || use < best_use) {
      best = &team;
      best_use = use;
    }
  }
  if (best == nullptr || free.slots <= 0) {
    return std::nullopt;
  }
  return TeamChoice{best->team, "fewest running tasks per weight on this daemon"};
}

RouteChoice LocalShareAllocator::Route(TimePoint /*now*/, std::string_view /*pool*/,
                                       const LocalTeam& /*local*/, const FreeCapacity& /*free*/,
                                       std::span<const SlotHolder> /*holders*/) const {
  return RouteChoice{false, "", "requests are not forwarded"};
}

}  // namespace cranberryplank
