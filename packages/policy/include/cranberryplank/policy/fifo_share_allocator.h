#ifndef CRANBERRYPLANK_POLICY_FIFO_SHARE_ALLOCATOR_H_
#define CRANBERRYPLANK_POLICY_FIFO_SHARE_ALLOCATOR_H_

#include "cranberryplank/policy/share_allocator.h"

namespace cranberryplank {

/// Baseline: serves requests in arrival order, regardless of teams and other daemons.
class FifoShareAllocator : public ShareAllocator {
 public:
  void Update(TimePoint now, std::uint64_t rotation, std::string_view pool,
              const PoolDemand& demand) override;
  std::optional<TeamChoice> NextTeam(TimePoint now, std::string_view pool, const FreeCapacity& free,
                                     std::span<const LocalTeam> teams) const override;
  RouteChoice Route(TimePoint now, std::string_view pool, const LocalTeam& local,
                    const FreeCapacity& free, std::span<const SlotHolder> holders) const override;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_POLICY_FIFO_SHARE_ALLOCATOR_H_
