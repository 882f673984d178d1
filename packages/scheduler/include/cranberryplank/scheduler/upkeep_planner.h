#ifndef CRANBERRYPLANK_SCHEDULER_UPKEEP_PLANNER_H_
#define CRANBERRYPLANK_SCHEDULER_UPKEEP_PLANNER_H_

#include <span>
#include <string>
#include <vector>

#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// A VM that a wave of upkeep still has to take down.
struct UpkeepCandidate {
  std::string vm;
  bool standby = false;      ///< In a standby pool: taking it down costs nothing.
  int long_running = 0;      ///< Long-running tasks on it.
  int runs = 0;              ///< All runs on it.
  double pool_pressure = 0;  ///< Work that waits in its pool, in seconds of the pool's capacity.
  int pool_unavailable = 0;  ///< VMs of its pool that are away or being vacated.
  int pool_size = 0;         ///< VMs of its pool.
};

/// The state of a wave.
struct UpkeepWaveState {
  int max_at_once = 0;
  int unavailable = 0;    ///< VMs of the wave that are down, or may be, or are being vacated.
  int remaining = 0;      ///< VMs that have not been begun.
  Duration time_left{0};  ///< Until the wave is late.
};

/// Chooses the VMs to vacate now. Upkeep competes with queues that ask for more than their pool
/// holds by turns: the wave is spread over its time with some reserve, and takes idle VMs of pools
/// without waiting work first.
/// @return names of VMs, in the order in which to begin
std::vector<std::string> ChooseUpkeep(const UpkeepWaveState& wave,
                                      std::span<const UpkeepCandidate> candidates);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SCHEDULER_UPKEEP_PLANNER_H_
