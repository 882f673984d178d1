#ifndef CRANBERRYPLANK_POLICY_POOL_VIEW_H_
#define CRANBERRYPLANK_POLICY_POOL_VIEW_H_

#include <set>
#include <span>
#include <string>
#include <vector>

#include "cranberryplank/policy/move_planner.h"

namespace cranberryplank {

/// State of a pool that is updated while moves are planned.
class PoolView {
 public:
  explicit PoolView(const PoolLoad& load);

  const PoolLoad& load() const { return *m_load; }

  /// Returns the slots of VMs that serve the pool and are not moving.
  int ServingSlots() const;

  /// Returns the number of VMs that serve the pool and are not moving.
  int ServingVms() const { return static_cast<int>(m_serving.size()); }

  /// Returns the slots of VMs that are moving into the pool.
  int ArrivingSlots() const { return m_arriving_slots; }

  /// Returns the mean slots per VM of the pool, rounded down; at least 1.
  int SlotsPerVm() const;

  /// Adds the slots of a VM that is to move into the pool.
  void AddArriving(int slots) { m_arriving_slots += slots; }

  /// Removes and returns the VM with the fewest running tasks, which has the shortest drain. The
  /// pool must have a serving VM.
  MovableVm TakeVm();

 private:
  const PoolLoad* m_load;
  std::vector<MovableVm> m_serving;  // In descending order of running tasks.
  int m_arriving_slots = 0;
};

/// Returns the minimum number of serving VMs of a pool: as many as its availability budget allows
/// to be down at once, plus one that keeps serving.
int MinServingVms(const Pool& pool);

/// Returns the views of all pools; moving VMs count as arriving in their target pool.
std::vector<PoolView> MakePoolViews(std::span<const PoolLoad> pools);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_POLICY_POOL_VIEW_H_
