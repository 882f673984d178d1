#ifndef CRANBERRYPLANK_POLICY_WAVE_PLANNER_H_
#define CRANBERRYPLANK_POLICY_WAVE_PLANNER_H_

#include <span>
#include <string>
#include <vector>

#include "cranberryplank/model/pool.h"
#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// VM of a pool as input of a wave.
struct WaveVm {
  std::string id;
  std::string zone;
  std::string rack;
  Duration drain{0};  ///< Estimated time until its running tasks have ended.
};

/// State of a maintenance wave in one pool.
struct WaveState {
  AvailabilityBudget budget;
  std::vector<WaveVm> pending;  ///< Still to be taken down.
  std::vector<WaveVm> down;     ///< Under a permit or down for any other reason, of this pool.
  Duration reboot{0};           ///< Estimated time from empty to serving.
};

/// Chooses the VMs to take down next in a maintenance wave.
class WavePlanner {
 public:
  virtual ~WavePlanner() = default;

  /// Returns ids of pending VMs to take down now. Together with those down they keep the budgets
  /// per pool, rack and zone. Called when the wave starts and whenever a VM goes down or returns.
  virtual std::vector<std::string> Next(const WaveState& state) const = 0;
};

/// Lower bound of the time a wave takes: for each budget, the time of the VMs it covers divided by
/// how many of them may be down at once; and the longest single VM.
Duration WaveDurationLowerBound(const AvailabilityBudget& budget, std::span<const WaveVm> vms,
                                Duration reboot);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_POLICY_WAVE_PLANNER_H_
