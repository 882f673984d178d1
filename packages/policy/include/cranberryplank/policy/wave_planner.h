#ifndef CRANBERRYPLANK_POLICY_WAVE_PLANNER_H_
#define CRANBERRYPLANK_POLICY_WAVE_PLANNER_H_

#include <span>
#include <string>
#include <vector>

#include "cranberryplank/model/pool.h"
#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// VM of a pool, as input of a wave plan.
struct WaveVm {
  std::string id;
  std::string zone;
  std::string rack;
  Duration drain{0};  ///< Estimated time until its running tasks end.
};

/// State of a maintenance wave in one pool.
struct WaveState {
  AvailabilityBudget budget;
  std::vector<WaveVm> pending;  ///< Still to be taken down.
  std::vector<WaveVm> down;     ///< VMs of this pool under a permit or down for another reason.
  Duration reboot{0};           ///< Estimated time from empty to serving again.
};

/// Chooses the VMs to take down next in a maintenance wave.
class WavePlanner {
 public:
  virtual ~WavePlanner() = default;

  /// Returns the ids of pending VMs to take down now. Together with the VMs already down they stay
  /// within the budgets per pool, rack and zone. Called when the wave starts and whenever a VM goes
  /// down or returns.
  virtual std::vector<std::string> Next(const WaveState& state) const = 0;
};

/// Returns a lower bound of the duration of a wave. It is the maximum of the longest time of a
/// single VM and, for each budget, the total time of the VMs it covers divided by the number that
/// may be down at once.
Duration WaveDurationLowerBound(const AvailabilityBudget& budget, std::span<const WaveVm> vms,
                                Duration reboot);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_POLICY_WAVE_PLANNER_H_
