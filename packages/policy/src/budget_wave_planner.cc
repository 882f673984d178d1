#include "cranberryplank/policy/budget_wave_planner.h"

#include <algorithm>
#include <map>

#include "wave_budget.h"

namespace cranberryplank {

namespace {

// Remaining time of a VM's rack or zone under its budget, whichever takes longer.
class RemainingWaveTime {
 public:
  explicit RemainingWaveTime(const WaveState& state) : m_state(state) {
    for (const WaveVm& vm : state.pending) {
      m_racks[vm.rack] += vm.drain + state.reboot;
      m_zones[vm.zone] += vm.drain + state.reboot;
    }
  }

  Duration Of(const WaveVm& vm) const {
    return std::max(m_racks.at(vm.rack) / std::max(1, m_state.budget.per_rack),
                    m_zones.at(vm.zone) / std::max(1, m_state.budget.per_zone));
  }

 private:
  const WaveState& m_state;
  std::map<std::string, Duration> m_racks;
  std::map<std::string, Duration> m_zones;
};

}  // namespace

std::vector<std::string> BudgetWavePlanner::Next(const WaveState& state) const {
  const RemainingWaveTime remaining_time(state);
  std::vector<const WaveVm*> order;
  for (const WaveVm& vm : state.pending) {
    order.push_back(&vm);
  }
  std::stable_sort(order.begin(), order.end(), [&](const WaveVm* a, const WaveVm* b) {
    if (m_order == WaveOrder::kTightestBudget) {
      const Duration left = remaining_time.Of(*a);
      const Duration right = remaining_time.Of(*b);
      if (left != right) {
        return left > right;
      }
    }
    return a->drain > b->drain;
  });
  // Each rack belongs to one zone, so the budgets form a laminar matroid and greedy admission in
  // any order yields a set of maximum size.
  WaveBudget budget(state);
  std::vector<std::string> admitted;
  for (const WaveVm* vm : order) {
    if (budget.Allows(*vm)) {
      budget.Add(*vm);
      admitted.push_back(vm->id);
    }
  }
  return admitted;
}

}  // namespace cranberryplank
