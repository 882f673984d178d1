#ifndef CRANBERRYPLANK_SCHEDULER_POOL_PLANNER_H_
#define CRANBERRYPLANK_SCHEDULER_POOL_PLANNER_H_

#include <map>
#include <span>
#include <string>
#include <vector>

#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// Load of a pool, as the scheduler sees it.
struct JobPoolLoad {
  std::string pool;
  bool standby = false;
  int vms = 0;                    ///< VMs in the pool, with those on their way to it.
  double vm_cores = 0;            ///< Cores of one VM.
  double long_running_cores = 0;  ///< Asked for by long-running tasks.
  int long_running_vms = 0;       ///< VMs that the widest spread of long-running tasks needs.
  double running_cores = 0;       ///< In use by other tasks.
  double waiting_cores = 0;       ///< Asked for by tasks that could start now.
  double backlog_core_s = 0;      ///< Work of accepted jobs that has not been done.
  double arriving_cores = 0;      ///< Work that arrives, in cores, over the last moments.
};

/// Number of VMs that a pool should have now.
/// @param load a pool that is not a standby pool
int WantedVms(const JobPoolLoad& load);

/// A move of one VM.
struct PoolMove {
  std::string from;
  std::string to;
};

/// Plans moves between pools for queues whose demand comes by turns: VMs go to pools that are
/// short, first from pools with more than they want, then from standby pools; what no pool wants
/// goes to a standby pool, where it costs nothing.
/// @param movable VMs of each pool that could go now
std::vector<PoolMove> PlanMoves(std::span<const JobPoolLoad> loads,
                                const std::map<std::string, int>& movable);

/// Follows the work that arrives for a pool.
class ArrivalRate {
 public:
  /// Notes work that arrived, in core-seconds.
  void Add(TimePoint now, double core_s);
  /// Work that arrives, in cores, over the last moments.
  double Current(TimePoint now) const;

 private:
  void Decay(TimePoint now);

  double m_rate = 0;
  TimePoint m_updated{};
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SCHEDULER_POOL_PLANNER_H_
