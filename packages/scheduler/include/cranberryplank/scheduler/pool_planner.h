#ifndef CRANBERRYPLANK_SCHEDULER_POOL_PLANNER_H_
#define CRANBERRYPLANK_SCHEDULER_POOL_PLANNER_H_

#include <limits>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// Load of a pool, computed from the scheduler's jobs and workers.
struct JobPoolLoad {
  std::string pool;
  bool standby = false;
  int vms = 0;                    ///< VMs in the pool, including those that are being moved to it.
  double vm_cores = 0;            ///< Cores of one VM.
  double long_running_cores = 0;  ///< Requested by long-running tasks.
  /// VMs that the step with the widest required spread of long-running tasks needs.
  int long_running_vms = 0;
  double running_cores = 0;  ///< In use by other tasks.
  double waiting_cores = 0;  ///< Requested by tasks that could start now.
  /// The part of `waiting_cores` whose jobs end too late to have any value; 0 if it is not known.
  double worthless_cores = 0;
  /// Of the most urgent queue with unfinished batch jobs; 0 is the most urgent.
  int priority = std::numeric_limits<int>::max();
  double backlog_core_s = 0;  ///< Remaining work of accepted jobs.
  double arriving_cores = 0;  ///< Recent arrival rate of work, in cores.
};

/// Returns the number of VMs that a pool should have now.
/// @param load a pool that is not a standby pool
int WantedVms(const JobPoolLoad& load);

/// Returns the number of VMs that each pool should have now. While the pools together want more VMs
/// than there are, the fleet is divided among them; see `DivideFleet`.
/// @return targets in the order of `loads`; 0 for standby pools
std::vector<int> TargetVms(std::span<const JobPoolLoad> loads);

/// Returns whether the pools together want more VMs than there are.
bool IsShortOfVms(std::span<const JobPoolLoad> loads);

/// A move of one VM between pools.
struct PoolMove {
  std::string from;
  std::string to;
  bool vacate = false;  ///< The VM is busy: it runs its tasks to their end first.
};

/// VMs of one pool that can be moved now.
struct MovableVms {
  int idle = 0;
  int busy = 0;  ///< With batch tasks only.
};

/// Plans moves between pools for queues whose demand peaks at different times. VMs go to pools with
/// a shortage, first from pools with a surplus, then from standby pools. The remaining surplus goes
/// to a standby pool, where it costs nothing.
/// @param targets VMs that each pool should have, in the order of `loads`
/// @param movable VMs of each pool that can be moved now
std::vector<PoolMove> PlanMoves(std::span<const JobPoolLoad> loads, std::span<const int> targets,
                                const std::map<std::string, MovableVms>& movable);

/// Moving average of the work that arrives for a pool.
class ArrivalRate {
 public:
  /// Adds arrived work, in core-seconds.
  void Add(TimePoint now, double core_s);
  /// Recent arrival rate of work, in cores.
  double Current(TimePoint now) const;

 private:
  void Decay(TimePoint now);

  double m_rate = 0;
  TimePoint m_updated{};
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SCHEDULER_POOL_PLANNER_H_
