#ifndef CRANBERRYPLANK_POLICY_CAPACITY_ESTIMATOR_H_
#define CRANBERRYPLANK_POLICY_CAPACITY_ESTIMATOR_H_

#include <span>
#include <string_view>

#include "cranberryplank/policy/placement_policy.h"

namespace cranberryplank {

/// Slots of one pool.
struct PoolCapacity {
  int total = 0;   ///< Slots of all VMs of the pool.
  int usable = 0;  ///< Slots of workers that accept new work; shared among the teams.
  int free = 0;    ///< Estimated free slots; input of `FreeCapacity::slots`.
};

/// Counts the total, usable and free slots of a pool.
class CapacityEstimator {
 public:
  static PoolCapacity Estimate(TimePoint now, std::string_view pool,
                               std::span<const WorkerView> workers, const WorkerHealth& health);
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_POLICY_CAPACITY_ESTIMATOR_H_
