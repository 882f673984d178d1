#ifndef CRANBERRYPLANK_POLICY_CAPACITY_ESTIMATOR_H_
#define CRANBERRYPLANK_POLICY_CAPACITY_ESTIMATOR_H_

#include <span>
#include <string_view>

#include "cranberryplank/policy/placement_policy.h"

namespace cranberryplank {

/// Slots of one pool.
struct PoolCapacity {
  int total = 0;   ///< Of all VMs of the pool.
  int usable = 0;  ///< Of the workers that take new work; the capacity to divide among teams.
  int free = 0;    ///< Estimated; for `FreeCapacity::slots`.
};

/// Counts the slots of a pool that can take work.
class CapacityEstimator {
 public:
  static PoolCapacity Estimate(TimePoint now, std::string_view pool,
                               std::span<const WorkerView> workers, const WorkerHealth& health);
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_POLICY_CAPACITY_ESTIMATOR_H_
