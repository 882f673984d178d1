#include "cranberryplank/policy/fixed_pools_move_planner.h"

namespace cranberryplank {

std::vector<PlannedMove> FixedPoolsMovePlanner::Plan(TimePoint /*now*/,
                                                     std::span<const PoolLoad> /*pools*/) {
  return {};
}

}  // namespace cranberryplank
