#ifndef CRANBERRYPLANK_POLICY_LOCAL_SHARE_ALLOCATOR_H_
#define CRANBERRYPLANK_POLICY_LOCAL_SHARE_ALLOCATOR_H_

#include <map>
#include <string>

#include "cranberryplank/policy/share_allocator.h"

namespace cranberryplank {

/// Baseline: weighted fair queueing of each daemon's own requests, without demand reports
/// from other daemons.
class LocalShareAllocator : public ShareAllocator {
 public:
  void Update(TimePoint now, std::uint64_t rotation, std::string_view pool,
              const PoolDemand& demand) override;
  std::optional<TeamChoice> NextTeam(TimePoint now, std::string_view pool, const FreeCapacity& free,
                                     std::span<const LocalTeam> teams) const override;
  RouteChoice Route(TimePoint now, std::string_view pool, const LocalTeam& local,
                    const FreeCapacity& free, std::span<const SlotHolder> holders) const override;

 private:
  std::map<std::string, double, std::less<>> m_weights;  // By team.
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_POLICY_LOCAL_SHARE_ALLOCATOR_H_
