#ifndef CRANBERRYPLANK_POLICY_TWO_CHOICE_PLACEMENT_H_
#define CRANBERRYPLANK_POLICY_TWO_CHOICE_PLACEMENT_H_

#include "cranberryplank/policy/placement_policy.h"

namespace cranberryplank {

/// Chooses the worker with more free slots out of two random ones (power of two choices), within
/// the daemon's own zone if a worker there has a free slot. The random choice prevents daemons with
/// the same outdated estimates from all choosing the same worker.
class TwoChoicePlacement : public PlacementPolicy {
 public:
  std::optional<PlacementChoice> Choose(TimePoint now, const PlacementRequest& request,
                                        std::span<const WorkerView> workers,
                                        const WorkerHealth& health,
                                        RandomSource& random) const override;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_POLICY_TWO_CHOICE_PLACEMENT_H_
