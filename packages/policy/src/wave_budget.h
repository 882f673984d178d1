#ifndef CRANBERRYPLANK_POLICY_WAVE_BUDGET_H_
#define CRANBERRYPLANK_POLICY_WAVE_BUDGET_H_

#include <map>
#include <string>

#include "cranberryplank/policy/wave_planner.h"

namespace cranberryplank {

/// Tracks the VMs that are down against an availability budget.
class WaveBudget {
 public:
  explicit WaveBudget(const WaveState& state);

  /// Returns whether `vm` may go down as well.
  bool Allows(const WaveVm& vm) const;

  /// Counts a VM as down.
  void Add(const WaveVm& vm);

 private:
  AvailabilityBudget m_budget;
  int m_down = 0;
  std::map<std::string, int, std::less<>> m_racks;
  std::map<std::string, int, std::less<>> m_zones;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_POLICY_WAVE_BUDGET_H_
