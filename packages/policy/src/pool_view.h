#ifndef CRANBERRYPLANK_POLICY_POOL_VIEW_H_
#define CRANBERRYPLANK_POLICY_POOL_VIEW_H_

#include <set>
#include <span>
#include <string>
#include <vector>

#include "cranberryplank/policy/move_planner.h"

namespace cranberryplank {

/// Working state of a pool while moves are planned.
class PoolView {
 public:
  explicit PoolView(const PoolLoad& load);

  const PoolLoad& load() const { return *m_load; }

  /// Slots of VMs that serve the pool and stay.
  int ServingSlots() const;

  /// VMs that serve the pool and stay.
  int ServingVms() const { return static_cast<int>(m_serving.size()); }

  /// Slots of VMs on their way into the pool.
  int ArrivingSlots() const { return m_arriving_slots; }

  /// Typical slots of a VM of the pool; at least 1.
  int SlotsPerVm() const;

  /// Adds the slots of a VM that is to move into the pool.
  void AddArriving(int slots) { m_arriving_slots += slots; }

  /// Takes out the VM with the fewest running tasks, so that its drain is short. The pool must
  /// have a serving VM.
  MovableVm TakeVm();

 private:
  const PoolLoad* m_load;
  std::vector<MovableVm> m_serving;  // Fewest running tasks last.
  int m_arriving_slots = 0;
};

/// Fewest serving VMs a pool may be left with: as many as its availability budget lets be down at
/// once, and one that serves meanwhile.
int MinServingVms(const Pool& pool);

/// Returns the views of all pools, with VMs on their way counted where they go.
std::vector<PoolView> MakePoolViews(std::span<const PoolLoad> pools);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_POLICY_POOL_VIEW_H_
