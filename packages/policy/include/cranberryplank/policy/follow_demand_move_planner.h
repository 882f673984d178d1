#ifndef CRANBERRYPLANK_POLICY_FOLLOW_DEMAND_MOVE_PLANNER_H_
#define CRANBERRYPLANK_POLICY_FOLLOW_DEMAND_MOVE_PLANNER_H_

#include "cranberryplank/policy/move_planner.h"

namespace cranberryplank {

/// Baseline: moves VMs as soon as one pool's demand exceeds its capacity and another has more
/// VMs than its current demand needs.
class FollowDemandMovePlanner : public MovePlanner {
 public:
  std::vector<PlannedMove> Plan(TimePoint now, std::span<const PoolLoad> pools) override;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_POLICY_FOLLOW_DEMAND_MOVE_PLANNER_H_
