#ifndef CRANBERRYPLANK_MODEL_POOL_H_
#define CRANBERRYPLANK_MODEL_POOL_H_

#include <string>

namespace cranberryplank {

/// Maximum number of VMs of a pool that may be unavailable at the same time, planned or not.
struct AvailabilityBudget {
  int per_pool = 1;
  int per_rack = 1;
  int per_zone = 1;

  bool operator==(const AvailabilityBudget&) const = default;
};

/// Set of VMs that serves some queues.
struct Pool {
  std::string name;
  AvailabilityBudget budget;
  bool spare = false;  ///< Spare pool, from which other pools take VMs first.

  bool operator==(const Pool&) const = default;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_MODEL_POOL_H_
