#ifndef CRANBERRYPLANK_SCHEDULER_FLEET_DIVISION_H_
#define CRANBERRYPLANK_SCHEDULER_FLEET_DIVISION_H_

#include <span>
#include <vector>

namespace cranberryplank {

/// What one pool needs and could use of the fleet, in VMs.
struct PoolClaim {
  int required = 0;  ///< For its long-running tasks, and for the first jobs of a load peak.
  int useful = 0;    ///< For all running work, and for waiting work that still has value.
  int wanted = 0;    ///< For all running and waiting work.
  int held = 0;      ///< VMs that it has, or will have once the moves in progress have ended.
  int priority = 0;  ///< Of its most urgent queue with unfinished batch jobs; 0 is the most urgent.
};

/// Divides a fleet among pools that together want more VMs than there are, for example while two
/// queues submit several times the work of their peaks for seconds. Each pool gets what it
/// requires, as far as the VMs suffice. The rest is a weighted max-min division of useful work, in
/// which a pool of priority P weighs 1 / (1 + P). Work that has lost its value gets what is left.
/// @param vms VMs of all pools, including standby pools
/// @return VMs for each claim, in the same order; at most what it wants. If all wants can be met,
///   each pool gets what it wants
std::vector<int> DivideFleet(int vms, std::span<const PoolClaim> claims);

/// Returns whether a pool is so far below its target that VMs with running work are vacated for it.
/// A vacated VM does nothing for the rest of its tasks and for the move, so small differences are
/// left to the VMs that become idle by themselves.
bool IsFarBelow(int held, int target);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SCHEDULER_FLEET_DIVISION_H_
