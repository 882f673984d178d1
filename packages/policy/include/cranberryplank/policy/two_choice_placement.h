#ifndef CRANBERRYPLANK_POLICY_TWO_CHOICE_PLACEMENT_H_
#define CRANBERRYPLANK_POLICY_TWO_CHOICE_PLACEMENT_H_

#include "cranberryplank/policy/placement_policy.h"

namespace cranberryplank {

/// Takes the worker with more free slots out of two random ones, of the own zone if any there has
/// a free slot. Two choices keep daemons with equal, old estimates from all choosing one worker.
class TwoChoicePlacement : public PlacementPolicy {
 public:
  std::optional<PlacementChoice> Choose(TimePoint now, const PlacementRequest& request,
                                        std::span<const WorkerView> workers,
                                        const WorkerHealth& health,
                                        RandomSource& random) const override;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_POLICY_TWO_CHOICE_PLACEMENT_H_
