#ifndef CRANBERRYPLANK_POLICY_BUDGET_WAVE_PLANNER_H_
#define CRANBERRYPLANK_POLICY_BUDGET_WAVE_PLANNER_H_

#include "cranberryplank/policy/wave_planner.h"

namespace cranberryplank {

/// Order in which VMs are admitted.
enum class WaveOrder {
  kLongestDrain,  ///< Longest drain first.
  /// First the rack or zone whose remaining work takes longest under its own budget, then the
  /// longest drain. A tight rack left to the end would otherwise finish alone.
  kTightestBudget,
};

/// Takes down the largest set that the budgets allow and admits the next VM as one returns.
class BudgetWavePlanner : public WavePlanner {
 public:
  explicit BudgetWavePlanner(WaveOrder order) : m_order(order) {}

  std::vector<std::string> Next(const WaveState& state) const override;

 private:
  WaveOrder m_order;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_POLICY_BUDGET_WAVE_PLANNER_H_
