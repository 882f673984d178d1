#ifndef CRANBERRYPLANK_CONTROL_POOL_USAGE_H_
#define CRANBERRYPLANK_CONTROL_POOL_USAGE_H_

#include <functional>
#include <map>
#include <string>

#include "cranberryplank/model/pool.h"
#include "cranberryplank/model/vm.h"

namespace cranberryplank {

/// Unavailable VMs of a pool, counted in total and by rack and zone.
class PoolUsage {
 public:
  void Add(const Vm& vm);

  /// Tells whether `vm` can be added without exceeding the budget.
  bool Fits(const Vm& vm, const AvailabilityBudget& budget) const;

  /// Tells whether the budget holds in the pool and in the rack and zone of `vm`.
  bool IsWithinBudget(const Vm& vm, const AvailabilityBudget& budget) const;

 private:
  using Counts = std::map<std::string, int, std::less<>>;

  int m_total = 0;
  Counts m_racks;
  Counts m_zones;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CONTROL_POOL_USAGE_H_
