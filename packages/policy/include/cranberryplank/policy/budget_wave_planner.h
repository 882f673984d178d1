#ifndef CRANBERRYPLANK_POLICY_BUDGET_WAVE_PLANNER_H_
#define CRANBERRYPLANK_POLICY_BUDGET_WAVE_PLANNER_H_

#include "cranberryplank/policy/wave_planner.h"

namespace cranberryplank {

/// Order in which VMs are admitted.
enum class WaveOrder {
  kLongestDrain,  ///< Longest drain first.
  /// VMs of the rack or zone with the longest remaining time under its own budget first, then the
  /// longest drain. A rack with a tight budget that is left to the end would prolong the wave.
  kTightestBudget,
};

/// Takes down as many VMs as the budgets allow and admits the next one whenever a VM returns.
class BudgetWavePlanner : public WavePlanner {
 public:
  explicit BudgetWavePlanner(WaveOrder order) : m_order(order) {}

  std::vector<std::string> Next(const WaveState& state) const override;

 private:
  WaveOrder m_order;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_POLICY_BUDGET_WAVE_PLANNER_H_
