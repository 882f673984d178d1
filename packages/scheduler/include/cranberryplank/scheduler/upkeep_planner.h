#ifndef CRANBERRYPLANK_SCHEDULER_UPKEEP_PLANNER_H_
#define CRANBERRYPLANK_SCHEDULER_UPKEEP_PLANNER_H_

#include <span>
#include <string>
#include <vector>

#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// A VM that an upkeep wave still has to shut down.
struct UpkeepCandidate {
  std::string vm;
  bool standby = false;      ///< In a standby pool, where shutting it down costs nothing.
  int long_running = 0;      ///< Long-running tasks on it.
  int runs = 0;              ///< All runs on it.
  double pool_pressure = 0;  ///< Waiting work of its pool, in seconds of the pool's capacity.
  int pool_unavailable = 0;  ///< VMs of its pool that are down or being vacated.
  int pool_size = 0;         ///< VMs of its pool.
};

/// State of an upkeep wave.
struct UpkeepWaveState {
  int max_at_once = 0;
  int unavailable = 0;    ///< VMs of the wave that are down, or may be, or are being vacated.
  int remaining = 0;      ///< VMs on which upkeep has not begun.
  Duration time_left{0};  ///< Until the wave is late.
};

/// Chooses the VMs to vacate now. Upkeep competes with queues that at times request more than the
/// capacity of their pool. Therefore the wave is spread over its time with some reserve, and idle
/// VMs of pools without waiting work are chosen first.
/// @return names of VMs, in the order in which to begin
std::vector<std::string> ChooseUpkeep(const UpkeepWaveState& wave,
                                      std::span<const UpkeepCandidate> candidates);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SCHEDULER_UPKEEP_PLANNER_H_
