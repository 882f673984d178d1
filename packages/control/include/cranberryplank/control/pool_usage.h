#ifndef CRANBERRYPLANK_CONTROL_POOL_USAGE_H_
#define CRANBERRYPLANK_CONTROL_POOL_USAGE_H_

#include <functional>
#include <map>
#include <string>

#include "cranberryplank/model/pool.h"
#include "cranberryplank/model/vm.h"

namespace cranberryplank {

/// Counts the unavailable VMs of a pool in total, per rack and per availability zone.
class PoolUsage {
 public:
  void Add(const Vm& vm);

  /// Returns whether `vm` can be added without exceeding the budget.
  bool Fits(const Vm& vm, const AvailabilityBudget& budget) const;

  /// Returns whether the counts of the pool and of the rack and availability zone of `vm` are
  /// within the budget.
  bool IsWithinBudget(const Vm& vm, const AvailabilityBudget& budget) const;

 private:
  using Counts = std::map<std::string, int, std::less<>>;

  int m_total = 0;
  Counts m_racks;
  Counts m_zones;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CONTROL_POOL_USAGE_H_
