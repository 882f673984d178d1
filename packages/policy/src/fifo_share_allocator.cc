#include "cranberryplank/policy/fifo_share_allocator.h"

namespace cranberryplank {

void FifoShareAllocator::Update(TimePoint /*now*/, std::uint64_t /*rotation*/,
                                std::string_view /*pool*/, const PoolDemand& /*demand*/) {}

std::optional<TeamChoice> FifoShareAllocator::NextTeam(TimePoint /*now*/, std::string_view /*pool*/,
                                                       const FreeCapacity& free,
                                                       std::span<const LocalTeam> teams) const {
  const LocalTeam* best = nullptr;
  for (const LocalTeam& team : teams) {
    if (team.waiting > 0 && team.may_start && (best == nullptr || team.oldest < best->oldest)) {
      best = &team;
    }
  }
  if (best == nullptr || free.slots <= 0) {
    return std::nullopt;
  }
  return TeamChoice{best->team, "oldest request"};
}

RouteChoice FifoShareAllocator::Route(TimePoint /*now*/, std::string_view /*pool*/,
                                      const LocalTeam& /*local*/, const FreeCapacity& /*free*/,
                                      std::span<const SlotHolder> /*holders*/) const {
  return RouteChoice{false, "", "requests are not forwarded"};
}

}  // namespace cranberryplank
