#ifndef CRANBERRYPLANK_POLICY_FIXED_POOLS_MOVE_PLANNER_H_
#define CRANBERRYPLANK_POLICY_FIXED_POOLS_MOVE_PLANNER_H_

#include "cranberryplank/policy/move_planner.h"

namespace cranberryplank {

/// Baseline: never moves a VM.
class FixedPoolsMovePlanner : public MovePlanner {
 public:
  std::vector<PlannedMove> Plan(TimePoint now, std::span<const PoolLoad> pools) override;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_POLICY_FIXED_POOLS_MOVE_PLANNER_H_
