#ifndef CRANBERRYPLANK_POLICY_LEAST_LOADED_PLACEMENT_H_
#define CRANBERRYPLANK_POLICY_LEAST_LOADED_PLACEMENT_H_

#include "cranberryplank/policy/placement_policy.h"

namespace cranberryplank {

/// Baseline: chooses the worker with the most estimated free slots, ignoring failures and zones.
class LeastLoadedPlacement : public PlacementPolicy {
 public:
  std::optional<PlacementChoice> Choose(TimePoint now, const PlacementRequest& request,
                                        std::span<const WorkerView> workers,
                                        const WorkerHealth& health,
                                        RandomSource& random) const override;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_POLICY_LEAST_LOADED_PLACEMENT_H_
