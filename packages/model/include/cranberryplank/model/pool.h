#ifndef CRANBERRYPLANK_MODEL_POOL_H_
#define CRANBERRYPLANK_MODEL_POOL_H_

#include <string>

namespace cranberryplank {

/// Limits on how many VMs of a pool may be unavailable at a time, planned or not.
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
  bool spare = false;  ///< Gives VMs to other pools first.

  bool operator==(const Pool&) const = default;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_MODEL_POOL_H_
